package membership

import (
	"cmp"
	"slices"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

// liveInstances decides whom to offer work to. Load: every claim and grant asks for
// peers. Harm prevented: a peer that is known to be silent costs each asker a
// timeout. The own zone goes first since other zones may be cut off.
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

// selectProbeTargets decides which peers get a heartbeat in this round: those that waited
// longest for one. Load: hundreds of peers, a few of them silent. Harm
// prevented: heartbeats whose cost grows with the fleet, and a peer that came
// back but is not asked. Limit: probesPerRound, at most half of it for peers
// marked unreachable while there are others.
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

// leastRecentlyProbed returns the n ids whose last turn is the leastRecentlyProbed ago.
func leastRecentlyProbed(ids []record.InstanceID, lastProbeRound map[record.InstanceID]int, n int) []record.InstanceID {
	slices.SortFunc(ids, func(a, b record.InstanceID) int {
		return cmp.Or(cmp.Compare(lastProbeRound[a], lastProbeRound[b]), cmp.Compare(a, b))
	})
	return ids[:min(n, len(ids))]
}
