// Package retry limits how often an instance sends requests to a service
// again. It does no I/O and has no clock: the caller passes the time.
//
// A retry must not multiply the load on a service that fails because it is
// overloaded. So in any window the fleet may repeat a ratio of the service's
// requests plus a fixed number. The instances do not communicate about it:
// each keeps to the ratio of its own requests and to its part of the fixed
// number, so that the sum holds whatever the others do.
package retry

import (
	"sync"
	"time"
)

// Budget is how many requests to one service the fleet may repeat in a
// window.
type Budget struct {
	// Ratio is the number of repeats allowed for each request.
	Ratio float64
	// Extra is the number of repeats allowed in each Window in addition.
	Extra  float64
	Window time.Duration
}

const (
	// safetyFactor reduces the whole budget: whoever counts the repeats has
	// other windows than this instance, and may not have seen requests that were
	// counted here.
	safetyFactor = 0.8
	// burstShare is the part of the instance's share of Extra that may be used
	// at once. The rest accrues over the window, so that no window holds more
	// than the whole.
	burstShare = 0.5
)

// bucket is the token bucket of one service. A token is one repeat.
type bucket struct {
	tokens     float64
	refilledAt time.Duration // On the caller's clock.
}

// Limiter limits the repeats of one instance. It is safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	budget    Budget
	instances int
	buckets   map[string]*bucket
	allowed   int64
	denied    int64
}

// NewLimiter returns a Limiter for one of the given number of instances,
// which SetInstances changes.
func NewLimiter(b Budget, instances int) *Limiter {
	return &Limiter{budget: b, instances: max(1, instances), buckets: map[string]*bucket{}}
}

// SetInstances sets how many instances share the budget, at least one.
func (l *Limiter) SetInstances(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = max(1, n)
}

// CountRequest counts a caller's request to the service, which adds Ratio
// repeats to the budget.
func (l *Limiter) CountRequest(service string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.refill(service, now)
	a.tokens = min(a.tokens+safetyFactor*l.budget.Ratio, max(l.extraShare()*burstShare, 1)+l.maxEarned())
}

// Allow reports whether the budget covers one more repeat, and takes it if
// so.
func (l *Limiter) Allow(service string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.refill(service, now)
	if a.tokens < 1 {
		l.denied++
		return false
	}
	a.tokens--
	l.allowed++
	return true
}

// Counts returns how many repeats were allowed and denied since the start.
func (l *Limiter) Counts() (allowed, denied int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowed, l.denied
}

// extraShare returns this instance's share of Budget.Extra.
func (l *Limiter) extraShare() float64 { return safetyFactor * l.budget.Extra / float64(l.instances) }

// maxEarned returns how many repeats CountRequest may add on top of those of
// Extra that may be used at once: the same number again.
func (l *Limiter) maxEarned() float64 { return l.extraShare() * burstShare }

// refill returns the service's bucket with the tokens that have accrued until
// now.
func (l *Limiter) refill(service string, now time.Duration) *bucket {
	a := l.buckets[service]
	if a == nil {
		a = &bucket{tokens: l.extraShare() * burstShare, refilledAt: now}
		l.buckets[service] = a
	}
	inflow := l.extraShare() * (1 - burstShare) * float64(now-a.refilledAt) / float64(l.budget.Window)
	a.refilledAt = now
	if capacity := l.extraShare() * burstShare; a.tokens < capacity {
		a.tokens = min(capacity, a.tokens+inflow)
	}
	return a
}

// SetBudget changes the fleet's budget.
func (l *Limiter) SetBudget(b Budget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget = b
}
