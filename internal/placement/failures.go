package placement

import (
	"time"

	"guavapier/internal/discovery"
)

const (
	// initialBackoff and longestPause bound how long an endpoint is avoided after
	// failures in a row; each doubles it. A restarted endpoint is back within
	// seconds, a lost one leaves the list.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// failuresBeforeBackoff spares an endpoint that fails now and then.
	failuresBeforeBackoff = 2
)

// Unreachable lists the endpoints to which no connection could be made since
// the last one that could.
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

// MarkReachable tells that a connection to the endpoint could be made.
func (t *Table) MarkReachable(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[endpoint]; e != nil {
		e.unreachable = false
	}
}

// isAvoided says whether other endpoints go first: callers' requests must not find out, one
// after the other, that a cut still lasts.
func (e *endpointState) isAvoided(now time.Duration) bool {
	return e.unreachable || now < e.avoidedUntil
}

// startBackoff pauses the endpoint, twice as long each time. Attempts that failed
// together count as one.
func (e *endpointState) startBackoff(now time.Duration) {
	if now < e.avoidedUntil {
		return
	}
	e.backoff = min(max(2*e.backoff, initialBackoff), maxBackoff)
	e.avoidedUntil = now + e.backoff
}
