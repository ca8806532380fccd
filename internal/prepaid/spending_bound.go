package prepaid

import (
	"math"
	"time"
)

// spendingBound limits how much of its own claim on a budget a process may have consumed at
// a given time, according to one of its records. Tokens received from others are covered by
// the senders' claims and add to the limit. The bound grows while the log acknowledges no
// further record, so that a process cut off from the log can continue. A later process that
// knows the maximum age of the dead one's last renewal knows how much it can have consumed.
//
// The unused part of a bound is lost when its process is killed, so that bounds start at a part
// of the loss allowance (see loss_allowance.go) and stay there while the log can be expected to
// acknowledge the next record. A process that exceeds its part waits for a record. Bounds grow
// only once the log has been silent for longer than a restart takes.
type spendingBound struct {
	initial                    int64 // Bound at the time since.
	growthRate, lateGrowthRate int64 // Tokens per second, before and after lateRateAfter.
	lateRateAfter              time.Duration
	since                      time.Duration
	bounded                    bool // If false, no limit is known and all held tokens may be used.
}

const (
	// lateRateDelay is how long after the last renewal a bound stays at its initial value.
	// It exceeds the time from the last record of a process to the start of the next
	// process, which is up to 2.7 s when all hosts lose power.
	lateRateDelay = 2750 * time.Millisecond
	// defaultLateRateAfter applies to records that do not state their LateRateAfter. It is part of
	// their format.
	defaultLateRateAfter = 3 * time.Second
	// unboundedAfter is the age at which a process may use all tokens that it holds. At
	// its late growth rate it reaches them earlier.
	unboundedAfter = 30 * time.Second

	// lateGrowthRateFactor is the minimum ratio of the late growth rate to the recent
	// rate of use.
	lateGrowthRateFactor = 2
	// initialBoundRequests is the number of requests of the largest recent size that an
	// initial bound covers.
	initialBoundRequests = 2
	// heldReleaseTime is the maximum time in which the late growth rate makes all held
	// tokens spendable.
	heldReleaseTime = 6 * time.Second
)

// growth is how much the bound exceeds its initial value after a time.
func (s spendingBound) growth(after time.Duration) int64 {
	early := min(after, s.lateRateAfter)
	return s.growthRate*early.Milliseconds()/1000 + s.lateGrowthRate*(after-early).Milliseconds()/1000
}

// spendingBound returns the bound of a claim, which grows from the time since.
func (c BudgetClaim) spendingBound(since time.Duration, bounded bool) spendingBound {
	s := spendingBound{initial: c.InitialBound, growthRate: c.GrowthRate, lateGrowthRate: c.LateGrowthRate, lateRateAfter: c.LateRateAfter, since: since, bounded: bounded}
	if s.lateRateAfter == 0 {
		s.lateRateAfter = defaultLateRateAfter
	}
	return s
}

// at returns the bound at a time.
func (s spendingBound) at(now time.Duration) int64 {
	after := max(0, now-s.since)
	if !s.bounded || after >= unboundedAfter {
		return math.MaxInt64
	}
	return s.initial + s.growth(after)
}

// timeUntil returns the time from now until the bound reaches that many tokens.
func (s spendingBound) timeUntil(tokens int64, now time.Duration) time.Duration {
	missing := tokens - s.at(now)
	if missing <= 0 {
		return 0
	}
	untilLateRate := max(0, s.since+s.lateRateAfter-now)
	if early := s.growthRate * untilLateRate.Milliseconds() / 1000; early < missing {
		return min(untilLateRate+growthTime(missing-early, s.lateGrowthRate), s.since+unboundedAfter-now)
	}
	return growthTime(missing, s.growthRate)
}

// growthTime returns the time in which a bound grows by that many tokens, at most
// unboundedAfter. rate is in tokens per second.
func growthTime(tokens, rate int64) time.Duration {
	if rate <= 0 {
		return unboundedAfter
	}
	return min(unboundedAfter, time.Duration(float64(tokens)/float64(rate)*float64(time.Second)))
}

// maxConsumed returns how much of its claim a process can have consumed if it lived for
// at most age after the last renewal. One millisecond and one token cover rounding.
func (c BudgetClaim) maxConsumed(age time.Duration) int64 {
	if age >= unboundedAfter {
		return math.MaxInt64
	}
	return c.InitialBound + c.spendingBound(0, true).growth(age+time.Millisecond) + 1
}

// setSpendingBound sets the spending bound of a claim that is being prepared. It covers the need of
// waiting requests, and beyond that the expected use until the late rate applies, as far as the loss
// allowance goes.
func (a *account) setSpendingBound(claim *BudgetClaim, r budgetRemainder, now time.Duration) {
	rate := a.rate.perSecond(now)
	if r.isAllocator {
		rate = a.rate.steadyPerSecond(now)
	}
	ahead := r.allowedLoss()
	if a.largestRequest > 0 {
		expectedUse := initialBoundRequests*a.largestRequest + lateRateDelay.Seconds()*rate
		ahead = max(min(expectedUse, ahead), r.idleAllowedLoss())
	}
	claim.InitialBound = min(a.claimConsumed()+a.recordedShortfall+int64(ahead), max(claim.Claimed, a.claimed))
	claim.LateRateAfter = lateRateDelay
	held := float64(max(claim.Claimed, a.claimed) - claim.InitialBound)
	claim.LateGrowthRate = int64(max(lateGrowthRateFactor*rate, held/heldReleaseTime.Seconds()))
}
