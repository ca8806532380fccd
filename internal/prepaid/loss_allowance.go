package prepaid

// What a killed process held within its spending bound is lost, because nobody knows whether it
// was used. The loss allowance limits what all kills together may cost an organisation: each kill
// of all instances may cost a part of what is left of the allowance, so that the losses of any
// number of kills add up to less than the whole. Once little is left, requests wait for the
// acknowledgement of a record that covers just them, and kills cost next to nothing.
const (
	// maxLostShare is the share of a prepaid total that kills may cost in all. At most 0.03 of a
	// total may stay unused.
	maxLostShare = 0.025
	// lossPerKillShare is the share of what is left of the allowance that one kill of all
	// instances may cost.
	lossPerKillShare = 0.8
	// evenLossShare is the share of that which is divided evenly among the instances. The
	// rest is divided in proportion to their rates of use.
	evenLossShare = 0.2
	// memberLossShare is the share that members of zones may hold, in a fleet with allocators.
	memberLossShare = 0.25
	// boundTaperThreshold is the share of the prepaid total below which the bounds run less
	// and less ahead of the use.
	boundTaperThreshold = 0.5
)

// expectedLoss returns how many tokens of the claim are lost, or will be once a later process of
// the host has reclaimed the rest. The process is dead.
func (c BudgetClaim) expectedLoss(reclaimed bool) int64 {
	if !reclaimed {
		c.Claimed = min(c.Claimed, c.maxConsumed(lateRateDelay))
	}
	return max(0, c.allotment()-c.Used)
}

// lossOfOneKill returns how many tokens of a budget a kill of all instances may cost.
func lossOfOneKill(total, lost float64) float64 {
	return max(0, maxLostShare*total-lost) * lossPerKillShare
}

// allowedLoss returns how far ahead of its use this instance may go.
func (r budgetRemainder) allowedLoss() float64 {
	return r.idleAllowedLoss() + r.lossOfClaimants()*(1-evenLossShare)*r.useShare
}

// idleAllowedLoss is the part of allowedLoss that does not depend on the rate of use.
func (r budgetRemainder) idleAllowedLoss() float64 {
	return r.lossOfClaimants() * evenLossShare / r.instances
}

// lossOfClaimants returns what all claimants together may lose in one kill. It tapers off with the
// remaining budget, whose last tokens are drawn from the log one request at a time.
func (r budgetRemainder) lossOfClaimants() float64 {
	loss := lossOfOneKill(r.total, r.lost) * r.taper(boundTaperThreshold)
	if r.isAllocator {
		loss *= 1 - memberLossShare
	}
	return loss
}
