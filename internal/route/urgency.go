package route

import "slices"

// UrgencyLevels is how many levels of urgency endpoints tell apart, 0 first.
const UrgencyLevels = 10

// distinctPriorities lists the priorities that a state gives to requests, in order.
func distinctPriorities(s State) []int {
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

// Urgency returns the level of a request among those that endpoints tell apart:
// by its effective priority, and within it by size, 0 the smallest. Sizes share
// the levels that the state's priorities leave; none is put behind the next
// priority.
func (c *Config) Urgency(r *Route, org *Organisation, size int) int {
	rank, _ := slices.BinarySearch(c.priorities, EffectivePriority(r, org))
	levelsPerPriority := max(1, UrgencyLevels/max(1, len(c.priorities)))
	return min(rank*levelsPerPriority+min(max(size, 0), levelsPerPriority-1), UrgencyLevels-1)
}
