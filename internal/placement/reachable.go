package placement

import (
	"time"

	"guavapier/internal/discovery"
)

// Unreachable returns the endpoints that may be used again once a connection succeeds, in
// no particular order.
func (t *Table) Unreachable() []discovery.Endpoint {
	return t.probed(func(e *endpointState) bool { return e.unreachable })
}

// WithoutLink returns the endpoints to which connections by the own link fail, in no
// particular order.
func (t *Table) WithoutLink() []discovery.Endpoint {
	return t.probed(func(e *endpointState) bool { return e.linkLost })
}

// probed returns the endpoints that need a probe and meet the condition.
func (t *Table) probed(condition func(*endpointState) bool) []discovery.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []discovery.Endpoint
	for _, e := range t.endpoints {
		if e.needsProbe() && condition(e) {
			list = append(list, e.Endpoint)
		}
	}
	return list
}

// HasLink implements tunnel.Links. An unknown endpoint is assumed to have one.
func (t *Table) HasLink(endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[endpoint]
	return e == nil || !e.linkLost
}

// RecordLink records whether a connection to the endpoint could be made by the own link, and
// reports whether that has changed. An unknown endpoint is ignored.
func (t *Table) RecordLink(endpoint string, connected bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[endpoint]
	if e == nil || e.linkLost == !connected {
		return false
	}
	e.linkLost = !connected
	return true
}

// UnconfirmedLinks returns endpoints, chosen at random, whose link is not known to be lost and
// which have not answered in the last silence: a share of them, but at least least. When links
// to some endpoints are lost, these may be lost too.
func (t *Table) UnconfirmedLinks(least int, share float64, silence, now time.Duration) []discovery.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []discovery.Endpoint
	for _, e := range t.endpoints {
		if !e.linkLost && e.mayGetRequests() && now-e.lastAnswerAt > silence {
			list = append(list, e.Endpoint)
		}
	}
	t.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	n := max(least, int(share*float64(len(list))))
	return list[:min(n, len(list))]
}

// HasAnyLink implements tunnel.Links.
func (t *Table) HasAnyLink() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.endpoints {
		if !e.linkLost && e.mayGetRequests() {
			return true
		}
	}
	return len(t.endpoints) == 0
}

// Address returns the address of an endpoint that may get requests; false for any other.
func (t *Table) Address(endpoint string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[endpoint]
	if e == nil || !e.mayGetRequests() {
		return "", false
	}
	return e.Address, true
}

// Reach is how many endpoints of a service this instance knows, has no link to, and can't
// reach through another instance either.
type Reach struct{ Listed, WithoutLink, Unreachable int }

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
		if e.linkLost {
			reach.WithoutLink++
		}
		if e.unreachable {
			reach.Unreachable++
		}
		byService[e.Service] = reach
	}
	return byService
}

// MarkReachable records that a connection to the endpoint could be made, and reports whether
// it was unreachable before. An unknown endpoint is ignored.
func (t *Table) MarkReachable(endpoint string, now time.Duration) (wasUnreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[endpoint]
	if e == nil {
		return false
	}
	wasUnreachable = e.unreachable
	e.onConnected(t.warmUps[e.Service].Duration, now)
	return wasUnreachable
}

// RecordProbeFailure records that a probe of an unreachable endpoint has failed. An unknown
// endpoint is ignored.
func (t *Table) RecordProbeFailure(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[endpoint]; e != nil {
		e.onProbeFailed()
	}
}
