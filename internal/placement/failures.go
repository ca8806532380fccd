package placement

import (
	"time"

	"guavapier/internal/discovery"
)

const (
	// initialBackoff and maxBackoff bound how long an endpoint is avoided after
	// consecutive failures; the time doubles with each back-off. A restarted
	// endpoint is back within seconds, a lost one is removed from the list of
	// endpoints.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// failuresBeforeBackoff is the number of consecutive failures that lead to a
	// back-off; an occasional single failure does not.
	failuresBeforeBackoff = 2
)

// Unreachable returns the endpoints to which the latest connection attempt failed,
// in no particular order.
func (t *Table) Unreachable() []discovery.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []discovery.Endpoint
	for _, e := range t.endpoints {
		if e.unreachable {
			list = append(list, e.Endpoint)
		}
	}
	return list
}

// MarkReachable records that a connection to the endpoint could be made. An unknown
// endpoint is ignored.
func (t *Table) MarkReachable(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[endpoint]; e != nil {
		e.unreachable = false
	}
}

// isAvoided reports whether the endpoint is only used if there is no other. One that
// is unreachable stays so until a connection succeeds, so that callers' requests
// don't find out one after the other that a network partition persists.
func (e *endpointState) isAvoided(now time.Duration) bool {
	return e.unreachable || now < e.avoidedUntil
}

// startBackoff avoids the endpoint for twice as long as the last time. Failures
// during a back-off don't extend it, so that concurrent ones count as one.
func (e *endpointState) startBackoff(now time.Duration) {
	if now < e.avoidedUntil {
		return
	}
	e.backoff = min(max(2*e.backoff, initialBackoff), maxBackoff)
	e.avoidedUntil = now + e.backoff
}
