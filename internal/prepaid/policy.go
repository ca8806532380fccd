package prepaid

import (
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/record"
)

// Policy determines how much an instance claims and how often it publishes records. No
// value can cause overspending: the values balance refusals during a partition against
// tokens that lie unused at other instances.
type Policy struct {
	// Horizon is how long an instance can continue on the tokens that it holds at its
	// recent rate of use. It exceeds the partitions that are to be survived.
	Horizon time.Duration
	// Heartbeat is the maximum interval between two records.
	Heartbeat time.Duration
	// MinInterval is the minimum interval between two records that no request waits for.
	MinInterval time.Duration
	// LargeFleetSize is the fleet size above which each further instance adds
	// LargeFleetInterval to MinInterval, and LargeFleetUrgentInterval to the interval
	// before a record that a request waits for. All claimants read every record.
	LargeFleetSize                               int
	LargeFleetInterval, LargeFleetUrgentInterval time.Duration
	// AllocatorFleetSize is the fleet size from which on each zone has allocators.
	AllocatorFleetSize int
	// MaxAllocatorInterval limits the interval between two records of an allocator,
	// since its last record bounds what a whole zone may use.
	MaxAllocatorInterval time.Duration
	// MaxAllocatorUrgentInterval limits the interval before an allocator's record that a
	// request waits for. After a restart of all instances there are many claimants, and
	// whole zones wait for their allocators' records.
	MaxAllocatorUrgentInterval time.Duration
	// LivenessTimeout is how long after its last record a process counts as alive.
	LivenessTimeout time.Duration
}

// DefaultPolicy returns the policy for fleets of any size. 16 instances publish up to 100
// records a second. With the intervals for large fleets, 70 instances publish 100 as well,
// and 300 while requests wait at all of them, which at 2 KB each is half of a 10 Mbit/s link.
func DefaultPolicy() Policy {
	return Policy{
		Horizon:         12 * time.Second,
		Heartbeat:       time.Second,
		MinInterval:     150 * time.Millisecond,
		LivenessTimeout: 8 * time.Second,

		LargeFleetSize: 15, LargeFleetInterval: 10 * time.Millisecond, LargeFleetUrgentInterval: 4 * time.Millisecond,

		AllocatorFleetSize: 24, MaxAllocatorInterval: 300 * time.Millisecond, MaxAllocatorUrgentInterval: 50 * time.Millisecond,
	}
}

const (
	// evenHoldShare and rateHoldShare are the shares of the remaining budget that all
	// instances together hold unused: evenHoldShare is divided evenly, rateHoldShare in
	// proportion to their rates of use. The rest stays unclaimed on the log, where any
	// instance can claim it within one round trip. Near the end of a budget, less than
	// 0.7 of the remainder thus lies unused at instances that do not need it.
	evenHoldShare, rateHoldShare = 0.2, 0.5
	// raiseThreshold and returnThreshold are the shares of the target between which
	// nothing is claimed or returned, so that idle budgets cause no records.
	raiseThreshold, returnThreshold = 0.8, 1.4
	// holdTaperThreshold is the share of the prepaid total below which instances hold a
	// decreasing share of the remainder, so that the last tokens stay unclaimed on the
	// log. At most 3 % of a budget may stay unused; tokens held by instances account for
	// less than 1 %.
	holdTaperThreshold = 0.25
	// rebalanceShare is the share of its target that an instance keeps while another one
	// has a shortfall that the unclaimed tokens do not cover.
	rebalanceShare = 0.25
	// largestRequestDecay makes a large request lose its effect after a few hundred small
	// ones.
	largestRequestDecay = 0.995
)

// lateTokensTTL is how long tokens that arrived after their request had given up are kept
// for a retry. Otherwise a slow log would return them before the caller retries. Nothing
// else is kept, because a kill of all instances loses everything within the bounds.
const lateTokensTTL = 2 * time.Second

// recordShortfall updates recordedShortfall for the record being prepared.
func (a *account) recordShortfall(now time.Duration) {
	if a.shortfall >= a.recordedShortfall || now >= a.shortfallKeptUntil {
		a.recordedShortfall = a.shortfall
		a.shortfallKeptUntil = 0
	}
}

// keepLateTokens starts to keep the tokens of a confirmed claim if they cover a recorded
// shortfall whose requests have given up in the meantime.
func (a *account) keepLateTokens(claim BudgetClaim, now time.Duration) {
	if a.shortfallKeptUntil != 0 {
		return // Already kept. Each record is confirmed, and none may restart the time.
	}
	if a.shortfall < a.recordedShortfall && a.unspent() >= a.recordedShortfall && a.claimConsumed() <= claim.claimConsumed() {
		a.shortfallKeptUntil = now + lateTokensTTL
	}
}

// nextClaim returns the cumulative amount to claim of a budget.
func (a *Accounts) nextClaim(team record.Team, acct *account, r budgetRemainder, shortfallElsewhere int64, now time.Duration) int64 {
	if a.role == allocator.Member {
		return a.memberClaim(acct, now)
	}
	unclaimed := a.prepaidTotals[team] - a.claimedByOthers(team) - acct.claimed
	if unclaimed < 0 {
		return min(acct.claimed, acct.claimConsumed()) // The prepaid total was lowered: keep nothing unused.
	}
	target := max(a.holdTarget(acct, r, now), float64(acct.recordedShortfall))
	if shortfallElsewhere > 0 && unclaimed < shortfallElsewhere {
		target *= rebalanceShare
	}
	unspent := float64(acct.unspent())
	switch {
	case acct.recordedShortfall > acct.unspent():
		// The need of waiting requests takes precedence over the target.
		return acct.claimed + min(unclaimed, int64(max(target, float64(acct.recordedShortfall)))-acct.unspent())
	case unspent < raiseThreshold*target:
		return acct.claimed + min(unclaimed, int64(target)-acct.unspent())
	case unspent > returnThreshold*target:
		return acct.claimed - (acct.unspent() - int64(target))
	}
	return acct.claimed
}

// budgetRemainder describes what is left of a budget and who uses it.
type budgetRemainder struct {
	total       float64 // Prepaid total.
	remaining   float64 // Neither used nor lost.
	lost        float64 // Unused, and lost with dead processes.
	useShare    float64 // This instance's share in the rate of use of all.
	instances   float64
	isAllocator bool // This instance claims for its zone.
}

// taper is 1 while at least the threshold's share of the total remains, and decreases
// linearly to 0 with what remains below that.
func (r budgetRemainder) taper(threshold float64) float64 {
	if r.total <= 0 {
		return 0
	}
	return min(1, r.remaining/(threshold*r.total))
}

// remainder computes what is left of a budget for the record being prepared.
func (a *Accounts) remainder(team record.Team, acct *account, totals fleetTotals, now time.Duration) budgetRemainder {
	total, others := float64(a.prepaidTotals[team]), totals.budget(team)
	own := acct.rate.perSecond(now)
	useShare := 1 / float64(totals.instances)
	if own+float64(others.rate) > 0 {
		useShare = own / (own + float64(others.rate))
	}
	remaining := total - float64(acct.used()+others.used+others.lost)
	return budgetRemainder{total: total, remaining: max(0, remaining), lost: float64(others.unusedLost), useShare: useShare, instances: float64(totals.instances), isAllocator: a.role == allocator.Allocator}
}

// Leave makes the next records return all tokens that no request has reserved or waits for.
// The last requests of a terminating instance run for seconds, while others can use the rest.
func (a *Accounts) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// holdTarget returns how many unused tokens of a budget this instance should hold. It is 0 for
// the first record, since instances that start together do not know each other yet.
func (a *Accounts) holdTarget(acct *account, r budgetRemainder, now time.Duration) float64 {
	if a.leaving || a.sequence == 0 {
		return 0
	}
	available := r.remaining * r.taper(holdTaperThreshold)
	minHold := evenHoldShare * available / r.instances
	maxHold := minHold + rateHoldShare*available*r.useShare
	perSecond := acct.rate.perSecond(now)
	if a.role == allocator.Allocator {
		perSecond = acct.rate.steadyPerSecond(now)
	}
	demand := perSecond*a.policy.Horizon.Seconds() + acct.largestRequest
	return max(0, min(max(demand, minHold), maxHold))
}
