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
	actNone  action = iota
	actTake         // Begin the next epoch.
	actClose        // Close the epoch that this instance holds.
	actSeal         // Seal and close the epoch that this instance witnesses.
)

// outlook is what one instance sees of one shard.
type outlook struct {
	self  record.InstanceID
	known bool
	last  fold.Shard
	// broken says that this instance holds the epoch but may not use its
	// witness's acknowledgement any more.
	broken bool
	// gone says that an instance has been out of reach for Options.Gone.
	gone func(record.InstanceID) bool
	// holders and witnesses are the live candidates in order of preference.
	holders, witnesses []record.InstanceID
}

// plan decides what to do about a shard. Load: instances that die, freeze, are
// cut off and come back, many shards each. Harm prevented: a shard without a
// holder, and a dead holder's shard that nobody takes over. Nothing here is
// needed for safety: the fold voids what is out of turn, and a seal ends every
// use before a close. Limits: only the preferred instance takes, so that takers
// do not race; only the witness seals and only the holder closes, since nobody
// else knows all uses; an epoch that works is left alone, since each change
// costs two appends and a moment without holder.
func plan(o outlook) action {
	first := len(o.holders) > 0 && o.holders[0] == o.self
	if !o.known || o.last.Closed {
		return when(first, actTake)
	}
	switch {
	case o.last.Holder == o.self:
		alone := o.last.Witness == "" && o.witness() != ""
		lost := o.last.Witness != "" && (o.broken || o.gone(o.last.Witness))
		return when(alone || lost, actClose)
	case o.last.Witness == o.self:
		return when(o.gone(o.last.Holder), actSeal)
	case o.last.Supersedable():
		return when(first && o.gone(o.last.Holder), actTake)
	}
	return actNone
}

func when(yes bool, a action) action {
	if yes {
		return a
	}
	return actNone
}

// witness returns the best live candidate but this instance, or "".
func (o outlook) witness() record.InstanceID {
	for _, id := range o.witnesses {
		if id != o.self {
			return id
		}
	}
	return ""
}

// rank orders the candidates of a shard by rendezvous hash, those of its home
// zone first; a shard without a home zone takes all alike. While the home zone
// has a listed instance only its own hold the shard: the zone may be cut off
// from here, and its callers are there. Any may be the witness.
func rank(id shardID, live []logstore.Instance, listed func(record.Zone) bool) (holders, witnesses []record.InstanceID) {
	type scored struct {
		id    record.InstanceID
		home  bool
		score uint64
	}
	rows := make([]scored, 0, len(live))
	for _, in := range live {
		rows = append(rows, scored{id: in.ID, home: id.Zone == "" || in.Zone == id.Zone, score: score(id, in.ID)})
	}
	slices.SortFunc(rows, func(a, b scored) int {
		if a.home != b.home {
			return homeFirst(a.home)
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	strict := id.Zone != "" && listed(id.Zone)
	for _, r := range rows {
		if r.home || !strict {
			holders = append(holders, r.id)
		}
		witnesses = append(witnesses, r.id)
	}
	return holders, witnesses
}

func homeFirst(home bool) int {
	if home {
		return -1
	}
	return 1
}

func score(id shardID, instance record.InstanceID) uint64 {
	return xxhash.Sum64String(string(id.Zone) + "/" + strconv.Itoa(id.Shard) + "/" + string(instance))
}
