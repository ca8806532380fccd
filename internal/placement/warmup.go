package placement

import (
	"math"
	"time"
)

// WarmUp is how the cold endpoints of a service may be used. An endpoint is cold for some
// seconds after it has started, and crashes if it gets far more requests than it bears.
type WarmUp struct {
	// Duration is how long an endpoint is cold.
	Duration time.Duration
	// MaxPerSecond bounds the requests that one cold endpoint gets from all instances in
	// any second; 0 for no bound.
	MaxPerSecond float64
}

const (
	// warmUpWindow is the window of WarmUp.MaxPerSecond.
	warmUpWindow = time.Second
	// sharedBudgetRatio is the part of WarmUp.MaxPerSecond that the instances divide among
	// them. The rest allows for instances that don't know the same others: one that was
	// added behind a partition, or has not heard of a new one.
	sharedBudgetRatio = 0.8
)

// SetWarmUps sets the warm-up of each service; a service without one has no cold endpoints.
func (t *Table) SetWarmUps(byService map[string]WarmUp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmUps = byService
	t.fleet.version++
}

// updateShare updates this instance's share of a cold endpoint.
func (t *Table) updateShare(e *endpointState) {
	if e.shareVersion == t.fleet.version {
		return
	}
	e.shareVersion = t.fleet.version
	e.limited = t.warmUps[e.Service].MaxPerSecond > 0
	e.share = t.fleet.share(e.idHash, t.warmUps[e.Service].MaxPerSecond)
}

// share returns how many requests this instance may send to a cold endpoint in any
// warmUpWindow, so that all instances together send at most maxPerSecond.
//
// Whole requests have to be divided: an even share of 19 requests among 59 instances is a
// third of a request. So some instances own the endpoint and the others send it nothing. The
// owners are those with the highest hashes of instance and endpoint (rendezvous hashing),
// which all instances find out without a message.
func (f *fleet) share(endpoint uint64, maxPerSecond float64) int {
	owners, each := divide(int(math.Floor(sharedBudgetRatio*maxPerSecond)), len(f.instances))
	if rank, listed := f.rank(endpoint); !listed || rank >= owners {
		return 0
	}
	return each
}

// divide divides a number of requests among at most n owners with the same whole number each,
// so that as few as possible are left over, and among as many owners as possible.
func divide(requests, n int) (owners, each int) {
	for k := min(requests, n); k > 0; k-- {
		if k*(requests/k) > owners*each {
			owners, each = k, requests/k
		}
	}
	return owners, each
}

// sendWindow counts the requests of this instance to one cold endpoint.
type sendWindow struct {
	pending int             // Placed and not sent.
	sentAt  []time.Duration // In order of time.
}

// count returns the number of requests that are pending or were sent in the last
// warmUpWindow.
func (w *sendWindow) count(now time.Duration) int {
	expired := 0
	for expired < len(w.sentAt) && now-w.sentAt[expired] >= warmUpWindow {
		expired++
	}
	w.sentAt = w.sentAt[expired:]
	return w.pending + len(w.sentAt)
}
