package prepaid

import (
	"math"
	"time"
)

// spendingBound bounds what a process may have used and given of its own claim on a
// budget at a time, by one of its statements. What it took from others since is
// claimed by them and free. It grows while the log takes no further statement,
// so that a process behind a cut can go on, and a later process that knows how
// long the dead one can have lived knows what it can have used.
//
// It weighs requests refused in the first seconds of a cut, although tokens are held,
// against tokens lost with a process that is killed: those are the spendingBound at the time
// from Touched to the next process's start.
type spendingBound struct {
	initial                    int64 // At from.
	growthRate, lateGrowthRate int64 // Tokens a second, before and after lateAfter.
	lateRateAfter              time.Duration
	since                      time.Duration
	bounded                    bool // False: nothing is known, all that is held may be used.
}

const (
	// lateRateDelay is how long after Touched an allowance grows at its first
	// pace: longer than from a last statement to the start of the next process
	// (2.7 s at most over 40 losses of all machines).
	lateRateDelay = 3 * time.Second
	// allocatorLateRateDelay is the same for an allocator, whose statements lie closer.
	allocatorLateRateDelay = 2 * time.Second
	// unboundedAfter is the time after which a process may use all that it holds: at
	// its late pace it has reached that before.
	unboundedAfter = 30 * time.Second

	// powerLossAge is the age of an allowance for which killShare and killEven bound
	// its growth: that of an ordinary loss of power.
	powerLossAge = 1500 * time.Millisecond
	// powerLossRateShare and powerLossEvenShare are the parts of what is left that all instances
	// together may use within killAge of their last statements: powerLossRateShare by
	// their rates, powerLossEvenShare evenly. A kill of all instances loses their sum.
	powerLossRateShare, powerLossEvenShare = 0.15, 0.04
	// boundTaperThreshold is the share of the prepaid total below which instances use
	// ahead ever less of what is left: of 3 % that may stay unused, what a kill
	// loses takes under 1.
	boundTaperThreshold = 0.5
	// initialBoundUseTime is the use, at the recent rate, that an allowance starts
	// ahead: two statements lie 0.15 to 0.3 s apart.
	initialBoundUseTime = 500 * time.Millisecond
	// growthRateFactor is the pace for each token a second of recent use: rates double
	// within a cut.
	growthRateFactor = 2
	// allocatorGrowthRateFactor is the same for an allocator: with what it starts ahead it covers
	// most of zonePaceChanges, and a zone's use changes little within that.
	allocatorGrowthRateFactor = 0.6
	// lateGrowthRateFactor is the late pace for each token a second of recent use.
	lateGrowthRateFactor = 2
	// initialBoundRequests are the largest recent requests that an allowance starts ahead.
	initialBoundRequests = 2
	// heldReleaseTime is the time over which the late pace frees what is held.
	heldReleaseTime = 6 * time.Second
)

// growth is how far an allowance has growth after that long, without its mark.
func (s spendingBound) growth(after time.Duration) int64 {
	early := min(after, s.lateRateAfter)
	return s.growthRate*early.Milliseconds()/1000 + s.lateGrowthRate*(after-early).Milliseconds()/1000
}

// spendingBound is what the row states, from a moment on.
func (c BudgetClaim) spendingBound(since time.Duration, bounded bool) spendingBound {
	s := spendingBound{initial: c.InitialBound, growthRate: c.GrowthRate, lateGrowthRate: c.LateGrowthRate, lateRateAfter: c.LateRateAfter, since: since, bounded: bounded}
	if s.lateRateAfter == 0 {
		s.lateRateAfter = lateRateDelay
	}
	return s
}

// at is the allowance at a time.
func (s spendingBound) at(now time.Duration) int64 {
	after := max(0, now-s.since)
	if !s.bounded || after >= unboundedAfter {
		return math.MaxInt64
	}
	return s.initial + s.growth(after)
}

// timeUntil is how long it takes from now timeUntil the allowance is that large.
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

// growthTime is how long so many tokens take at a pace.
func growthTime(tokens, rate int64) time.Duration {
	if rate <= 0 {
		return unboundedAfter
	}
	return min(unboundedAfter, time.Duration(float64(tokens)/float64(rate)*float64(time.Second)))
}

// maxConsumed is what a process that lived so long after Touched can have drawn from
// its claim by this row.
func (c BudgetClaim) maxConsumed(age time.Duration) int64 {
	if age >= unboundedAfter {
		return math.MaxInt64
	}
	return c.InitialBound + c.spendingBound(0, true).growth(age+time.Millisecond) + 1
}

// setSpendingBound sets the row's allowance.
func (a *account) setSpendingBound(claim *BudgetClaim, r budgetRemainder, now time.Duration) {
	taper := r.taper(boundTaperThreshold)
	available := r.remaining * taper * taper
	evenShare := available * powerLossEvenShare / r.instances
	maxLoss := available*powerLossRateShare*r.useShare + evenShare
	rate := a.rate.perSecond(now)
	initial := initialBoundRequests*a.largestRequest + initialBoundUseTime.Seconds()*rate
	growthRate := growthRateFactor * rate
	if r.isAllocator {
		rate = a.rate.steadyPerSecond(now)
		initial, growthRate = a.largestRequest+initialBoundUseTime.Seconds()*rate, allocatorGrowthRateFactor*rate
		claim.LateRateAfter = allocatorLateRateDelay
	}
	if loss := initial + growthRate*powerLossAge.Seconds(); loss > maxLoss {
		initial, growthRate = initial*maxLoss/loss, growthRate*maxLoss/loss
	}
	initial = max(initial, float64(a.recordedShortfall), evenShare/2)
	growthRate = max(growthRate, evenShare/2/powerLossAge.Seconds())
	claim.InitialBound = min(a.claimConsumed()+int64(initial), max(claim.Claimed, a.claimed))
	claim.GrowthRate = int64(growthRate)
	held := float64(max(claim.Claimed, a.claimed) - claim.InitialBound)
	claim.LateGrowthRate = int64(max(lateGrowthRateFactor*rate, held/heldReleaseTime.Seconds()))
}
