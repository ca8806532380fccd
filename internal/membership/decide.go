package membership

import (
	"cmp"
	"slices"

	"guavapier/internal/platform"
	"guavapier/internal/record"
)

// live decides whom to offer work to. Load: every claim and grant asks for
// peers. Harm prevented: a peer that is known to be silent costs each asker a
// timeout. The own zone goes first since other zones may be cut off.
func live(listed []platform.Instance, self platform.Instance, unreachable map[record.InstanceID]struct{}) []platform.Instance {
	out := make([]platform.Instance, 0, len(listed))
	for _, in := range listed {
		if _, bad := unreachable[in.ID]; bad || in.Leaving {
			continue
		}
		out = append(out, in)
	}
	rank := func(in platform.Instance) int {
		if in.Zone == self.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(out, func(a, b platform.Instance) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// pick decides which peers get a heartbeat in this round, and where the next
// round starts. Load: hundreds of peers, a few of them silent. Harm prevented:
// heartbeats whose cost grows with the fleet, and a peer that came back but is
// not asked. Limit: probesPerRound, half of it for peers marked unreachable.
func pick(listed []platform.Instance, self record.InstanceID, unreachable map[record.InstanceID]struct{}, turn int) ([]record.InstanceID, int) {
	var good, bad []record.InstanceID
	for _, in := range listed {
		if in.ID == self || in.Peer == "" {
			continue
		}
		if _, is := unreachable[in.ID]; is {
			bad = append(bad, in.ID)
		} else {
			good = append(good, in.ID)
		}
	}
	slices.Sort(good)
	slices.Sort(bad)
	out := slots(bad, turn, probesPerRound/2)
	out = append(out, slots(good, turn, probesPerRound-len(out))...)
	return out, turn + 1
}

// slots returns n of the ids, other ones with each turn.
func slots(ids []record.InstanceID, turn, n int) []record.InstanceID {
	n = min(n, len(ids))
	out := make([]record.InstanceID, 0, n)
	for i := range n {
		out = append(out, ids[(turn*n+i)%len(ids)])
	}
	return out
}
