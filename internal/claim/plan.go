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

// shardView is one instance's view of one shard; see nextAction.
type shardView struct {
	self     record.InstanceID
	hasEpoch bool
	latest   fold.Shard
	// witnessLost reports that this instance holds the epoch but can no longer
	// rely on its witness's acknowledgements.
	witnessLost bool
	// isGone reports whether an instance has been unreachable for
	// Options.UnreachableGracePeriod.
	isGone func(record.InstanceID) bool
	// holders and witnesses are the live candidates in order of preference.
	holders, witnesses []record.InstanceID
}

// nextAction decides what to do about a shard whose instances may crash,
// freeze, be partitioned and recover, so that no shard stays without a working
// holder. Safety does not depend on it: the fold ignores records that are out
// of turn, and a seal ends every use of an epoch before its close. Only the
// preferred instance acquires a shard, so that instances do not race for it.
// Only the witness seals and only the holder closes, because no other instance
// knows all claims of the epoch. An epoch that works is left alone, because
// each change costs two appends and a short time without a holder.
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

// actionIf returns a if cond is true, else actNone.
func actionIf(cond bool, a action) action {
	if cond {
		return a
	}
	return actNone
}

// bestWitness returns the preferred live witness other than this instance, or
// "".
func (v shardView) bestWitness() record.InstanceID {
	for _, id := range v.witnesses {
		if id != v.self {
			return id
		}
	}
	return ""
}

// rankCandidates returns the candidates for a shard in the order of a
// rendezvous hash, with those of the shard's home zone first; a shard without a
// home zone treats all alike. While the home zone has a listed instance, only
// its instances may hold the shard: if the zone is cut off from here, its
// callers still reach them. Any instance may be the witness.
func rankCandidates(id shardID, live []logstore.Instance, isZoneListed func(record.Zone) bool) (holders, witnesses []record.InstanceID) {
	type scored struct {
		id    record.InstanceID
		home  bool
		score uint64
	}
	candidates := make([]scored, 0, len(live))
	for _, in := range live {
		candidates = append(candidates, scored{id: in.ID, home: id.Zone == "" || in.Zone == id.Zone, score: rendezvousScore(id, in.ID)})
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		if a.home != b.home {
			return compareHome(a.home)
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	homeOnly := id.Zone != "" && isZoneListed(id.Zone)
	for _, candidate := range candidates {
		if candidate.home || !homeOnly {
			holders = append(holders, candidate.id)
		}
		witnesses = append(witnesses, candidate.id)
	}
	return holders, witnesses
}

// compareHome sorts instances of the home zone before others.
func compareHome(home bool) int {
	if home {
		return -1
	}
	return 1
}

// rendezvousScore returns the weight of an instance for a shard; the highest one
// is preferred.
func rendezvousScore(id shardID, instance record.InstanceID) uint64 {
	return xxhash.Sum64String(string(id.Zone) + "/" + strconv.Itoa(id.Shard) + "/" + string(instance))
}
