package claim

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"guavapier/internal/fold"
	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

// action is what an instance does about a shard in one tick.
type action int

const (
	actNone    action = iota
	actAcquire        // Begin the next epoch.
	actClose          // Close the epoch that this instance holds.
	actSeal           // Seal and close the epoch that this instance witnesses.
)

// shardView is what one instance sees of one shard.
type shardView struct {
	self     record.InstanceID
	hasEpoch bool
	latest   fold.Shard
	// witnessLost says that this instance holds the epoch but may not use its
	// witness's acknowledgement any more.
	witnessLost bool
	// isGone says that an instance has been out of reach for Options.Gone.
	isGone func(record.InstanceID) bool
	// holders and witnesses are the live candidates in order of preference.
	holders, witnesses []record.InstanceID
}

// nextAction decides what to do about a shard. Load: instances that die, freeze, are
// cut off and come back, many shards each. Harm prevented: a shard without a
// holder, and a dead holder's shard that nobody takes over. Nothing here is
// needed for safety: the fold voids what is out of turn, and a seal ends every
// use before a close. Limits: only the preferred instance takes, so that takers
// do not race; only the witness seals and only the holder closes, since nobody
// else knows all uses; an epoch that works is left alone, since each change
// costs two appends and a moment without holder.
func nextAction(view shardView) action {
	preferred := len(view.holders) > 0 && view.holders[0] == view.self
	if !view.hasEpoch || view.latest.Closed {
		return actionIf(preferred, actAcquire)
	}
	switch {
	case view.latest.Holder == view.self:
		canAddWitness := view.latest.Witness == "" && view.bestWitness() != ""
		mustClose := view.latest.Witness != "" && (view.witnessLost || view.isGone(view.latest.Witness))
		return actionIf(canAddWitness || mustClose, actClose)
	case view.latest.Witness == view.self:
		return actionIf(view.isGone(view.latest.Holder), actSeal)
	case view.latest.Supersedable():
		return actionIf(preferred && view.isGone(view.latest.Holder), actAcquire)
	}
	return actNone
}

func actionIf(yes bool, a action) action {
	if yes {
		return a
	}
	return actNone
}

// bestWitness returns the best live candidate but this instance, or "".
func (view shardView) bestWitness() record.InstanceID {
	for _, id := range view.witnesses {
		if id != view.self {
			return id
		}
	}
	return ""
}

// rankCandidates orders the candidates of a shard by rendezvous hash, those of its home
// zone first; a shard without a home zone takes all alike. While the home zone
// has a listed instance only its own hold the shard: the zone may be cut off
// from here, and its callers are there. Any may be the witness.
func rankCandidates(id shardID, live []logstore.Instance, isZoneListed func(record.Zone) bool) (holders, witnesses []record.InstanceID) {
	type scored struct {
		id    record.InstanceID
		home  bool
		score uint64
	}
	rows := make([]scored, 0, len(live))
	for _, in := range live {
		rows = append(rows, scored{id: in.ID, home: id.Zone == "" || in.Zone == id.Zone, score: rendezvousScore(id, in.ID)})
	}
	slices.SortFunc(rows, func(a, b scored) int {
		if a.home != b.home {
			return compareHome(a.home)
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	homeOnly := id.Zone != "" && isZoneListed(id.Zone)
	for _, r := range rows {
		if r.home || !homeOnly {
			holders = append(holders, r.id)
		}
		witnesses = append(witnesses, r.id)
	}
	return holders, witnesses
}

func compareHome(home bool) int {
	if home {
		return -1
	}
	return 1
}

func rendezvousScore(id shardID, instance record.InstanceID) uint64 {
	return xxhash.Sum64String(string(id.Zone) + "/" + strconv.Itoa(id.Shard) + "/" + string(instance))
}
