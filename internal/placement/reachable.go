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

// MarkReachable records that a connection to the endpoint could be made. An unknown
// endpoint is ignored.
func (t *Table) MarkReachable(endpoint string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[endpoint]; e != nil {
		e.onConnected(t.warmUps[e.Service].Duration, now)
	}
}
