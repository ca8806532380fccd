package membership

import (
	"cmp"
	"slices"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

// liveInstances returns the instances to offer work to. Those known to be
// unreachable are left out, because every claim and grant contacts peers, and a
// silent one would cost each caller a timeout. The own zone goes first, because
// other zones may be partitioned off.
func liveInstances(listed []logstore.Instance, self logstore.Instance, unreachable map[record.InstanceID]struct{}) []logstore.Instance {
	out := make([]logstore.Instance, 0, len(listed))
	for _, in := range listed {
		if _, isUnreachable := unreachable[in.ID]; isUnreachable || in.Leaving {
			continue
		}
		out = append(out, in)
	}
	zoneRank := func(in logstore.Instance) int {
		if in.Zone == self.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(out, func(a, b logstore.Instance) int {
		return cmp.Or(cmp.Compare(zoneRank(a), zoneRank(b)), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// selectProbeTargets returns the peers that get a heartbeat in this round:
// those whose latest heartbeat is the longest ago. Their number does not depend
// on the size of the fleet. At most half of maxProbesPerRound go to peers marked
// unreachable, which must be probed to notice a recovery but must not delay the
// probes of the others.
func selectProbeTargets(listed []logstore.Instance, self record.InstanceID, unreachable map[record.InstanceID]struct{}, lastProbeRound map[record.InstanceID]int) []record.InstanceID {
	var reachable, silent []record.InstanceID
	for _, in := range listed {
		if in.ID == self || in.Peer == "" {
			continue
		}
		if _, isUnreachable := unreachable[in.ID]; isUnreachable {
			silent = append(silent, in.ID)
		} else {
			reachable = append(reachable, in.ID)
		}
	}
	out := leastRecentlyProbed(silent, lastProbeRound, maxProbesPerRound/2)
	return append(out, leastRecentlyProbed(reachable, lastProbeRound, maxProbesPerRound-len(out))...)
}

// leastRecentlyProbed returns the n ids whose latest heartbeat is the longest
// ago.
func leastRecentlyProbed(ids []record.InstanceID, lastProbeRound map[record.InstanceID]int, n int) []record.InstanceID {
	slices.SortFunc(ids, func(a, b record.InstanceID) int {
		return cmp.Or(cmp.Compare(lastProbeRound[a], lastProbeRound[b]), cmp.Compare(a, b))
	})
	return ids[:min(n, len(ids))]
}
