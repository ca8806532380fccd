package route

import "slices"

// UrgencyLevels is the number of urgency levels that endpoints distinguish. Level 0 is
// served first.
const UrgencyLevels = 10

// distinctPriorities returns the priorities of a state's routes and organisations, sorted
// and without duplicates.
func distinctPriorities(s DesiredState) []int {
	var list []int
	for i := range s.Routes {
		list = append(list, s.Routes[i].Priority)
	}
	for i := range s.Organisations {
		if p := s.Organisations[i].Priority; p != nil {
			list = append(list, *p)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// PriorityShare returns the part of the desired state's priorities, from above 0 to 1, that are
// at least as urgent as the request's.
func (c *Config) PriorityShare(r *Route, org *Organisation) float64 {
	rank, _ := slices.BinarySearch(c.priorities, EffectivePriority(r, org))
	return float64(rank+1) / float64(max(1, len(c.priorities)))
}

// Urgency returns the urgency level, from 0 to UrgencyLevels-1, of a request with the given
// size class, 0 being the smallest. Requests are ordered by effective priority, and those of
// one priority by size class. The levels are divided evenly among the state's priorities;
// size classes for which a priority has no levels left share its last one. With more than
// UrgencyLevels priorities, the least urgent ones share the last level.
func (c *Config) Urgency(r *Route, org *Organisation, size int) int {
	rank, _ := slices.BinarySearch(c.priorities, EffectivePriority(r, org))
	levelsPerPriority := max(1, UrgencyLevels/max(1, len(c.priorities)))
	return min(rank*levelsPerPriority+min(max(size, 0), levelsPerPriority-1), UrgencyLevels-1)
}
