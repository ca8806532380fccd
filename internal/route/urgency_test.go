package route_test

import (
	"testing"

	"pgregory.net/rapid"

	"guavapier/internal/route"
)

// newDesiredState returns a desired state with one route and one organisation for each given priority.
func newDesiredState(routes []int, organisations []int) route.DesiredState {
	var s route.DesiredState
	for _, p := range routes {
		s.Routes = append(s.Routes, route.Route{Priority: p})
	}
	for _, p := range organisations {
		s.Organisations = append(s.Organisations, route.Organisation{Priority: &p})
	}
	return s
}

// For random priorities, every request of a more urgent priority has a lower level than every
// request of a less urgent one, whatever their size classes. All levels are in range. With up
// to three distinct priorities, the three size classes of a priority have different levels.
func TestPriorityOutranksSizeClass(t *testing.T) {
	priority := rapid.IntRange(0, 9)
	rapid.Check(t, func(t *rapid.T) {
		routes := rapid.SliceOfN(priority, 1, 12).Draw(t, "routes")
		organisations := rapid.SliceOfN(priority, 0, 4).Draw(t, "organisations")
		c := route.Compile(newDesiredState(routes, organisations))
		distinct := map[int]bool{}
		for _, p := range append(routes, organisations...) {
			distinct[p] = true
		}
		a, b := &c.Routes[0], &c.Routes[len(c.Routes)-1]
		for size := range 3 {
			level := c.Urgency(a, nil, size)
			if level < 0 || level >= route.UrgencyLevels {
				t.Fatalf("urgency level %d is out of range", level)
			}
			for other := range 3 {
				if a.Priority < b.Priority && level >= c.Urgency(b, nil, other) {
					t.Fatalf("priority %d, size class %d has level %d, not before priority %d, size class %d with level %d",
						a.Priority, size, level, b.Priority, other, c.Urgency(b, nil, other))
				}
			}
			if size > 0 && len(distinct) <= 3 && level <= c.Urgency(a, nil, size-1) {
				t.Fatalf("size classes %d and %d are not in separate levels", size-1, size)
			}
		}
	})
}

func TestAnOrganisationsPriorityGoesBeforeItsRoutes(t *testing.T) {
	c := route.Compile(newDesiredState([]int{4, 7}, []int{2}))
	org := &c.Organisations[0]
	if got, want := c.Urgency(&c.Routes[1], org, 0), 0; got != want {
		t.Errorf("with the organisation's priority: level %d, want %d", got, want)
	}
	if got, want := c.Urgency(&c.Routes[0], nil, 1), 4; got != want {
		t.Errorf("with the route's priority: level %d, want %d", got, want)
	}
}
