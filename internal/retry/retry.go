// Package retry shares the fleet's budget of repeated sends among instances
// that do not talk to each other. It does no input or output and has no clock.
//
// The fleet may send, in any window, a share of the service's requests plus a
// fixed number more than once: retries must not multiply the load on a service that
// fails because it is overloaded. Each instance keeps to the share of its own requests
// and to its part of the fixed number, so that the sum holds whatever the others do.
package retry

import (
	"sync"
	"time"
)

// Budget is what the fleet may repeat to one service.
type Budget struct {
	// Ratio is the repeats for each request.
	Ratio float64
	// Extra is the repeats beyond that in each Window.
	Extra  float64
	Window time.Duration
}

const (
	// safetyFactor is kept back of everything: the windows of whoever counts are
	// not ours, and requests that were counted here may have been lost there.
	safetyFactor = 0.8
	// burstShare is the part of the fixed number that may be used at once; the
	// rest flows in over the window, so that any window holds at most all.
	burstShare = 0.5
)

type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// Limiter counts one instance's repeats. It is safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	budget    Budget
	instances int
	buckets   map[string]*bucket
	allowed   int64
	denied    int64
}

// NewLimiter returns a Keeper that takes itself to be one of so many instances
// until SetInstances says otherwise.
func NewLimiter(b Budget, instances int) *Limiter {
	return &Limiter{budget: b, instances: max(1, instances), buckets: map[string]*bucket{}}
}

// SetInstances tells how many instances share the budget.
func (k *Limiter) SetInstances(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.instances = max(1, n)
}

// CountRequest counts a caller's request to the service.
func (k *Limiter) CountRequest(service string, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.refill(service, now)
	a.tokens = min(a.tokens+safetyFactor*k.budget.Ratio, max(k.extraShare()*burstShare, 1)+k.maxEarned())
}

// Allow takes one repeat and tells whether the budget covers it.
func (k *Limiter) Allow(service string, now time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.refill(service, now)
	if a.tokens < 1 {
		k.denied++
		return false
	}
	a.tokens--
	k.allowed++
	return true
}

// Counts returns how many repeats were allowed and denied since the start.
func (k *Limiter) Counts() (allowed, denied int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.allowed, k.denied
}

// extraShare is this instance's part of the fixed number.
func (k *Limiter) extraShare() float64 { return safetyFactor * k.budget.Extra / float64(k.instances) }

// maxEarned is what requests may save up: as much again as the stored share.
func (k *Limiter) maxEarned() float64 { return k.extraShare() * burstShare }

func (k *Limiter) refill(service string, now time.Duration) *bucket {
	a := k.buckets[service]
	if a == nil {
		a = &bucket{tokens: k.extraShare() * burstShare, refilledAt: now}
		k.buckets[service] = a
	}
	inflow := k.extraShare() * (1 - burstShare) * float64(now-a.refilledAt) / float64(k.budget.Window)
	a.refilledAt = now
	if capacity := k.extraShare() * burstShare; a.tokens < capacity {
		a.tokens = min(capacity, a.tokens+inflow)
	}
	return a
}

// SetBudget changes the fleet's budget.
func (k *Limiter) SetBudget(b Budget) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.budget = b
}
