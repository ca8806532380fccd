package placement

import (
	"time"

	"guavapier/internal/discovery"
)

// Unreachable returns the endpoints that may be used again once a connection succeeds, in
// no particular order.
func (t *Table) Unreachable() []discovery.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []discovery.Endpoint
	for _, e := range t.endpoints {
		if e.needsProbe() {
			list = append(list, e.Endpoint)
		}
	}
	return list
}

// Reach is how many endpoints of a service this instance knows and can't connect to.
type Reach struct{ Listed, Unreachable int }

// ReachByService returns the reach of each service. Endpoints that are leaving or cordoned
// don't count: nothing is sent to them.
func (t *Table) ReachByService() map[string]Reach {
	t.mu.Lock()
	defer t.mu.Unlock()
	byService := map[string]Reach{}
	for _, e := range t.endpoints {
		if !e.mayGetRequests() {
			continue
		}
		reach := byService[e.Service]
		reach.Listed++
		if e.unreachable {
			reach.Unreachable++
		}
		byService[e.Service] = reach
	}
	return byService
}

// MarkReachable records that a connection to the endpoint could be made. An unknown
// endpoint is ignored.
func (t *Table) MarkReachable(endpoint string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[endpoint]; e != nil {
		e.onConnected(t.warmUps[e.Service].Duration, now)
	}
}
