package prepaid

import (
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/record"
)

// Policy sizes an instance's claims. No value can cause an overspend; they
// trade refusals behind a cut against tokens that lie unused elsewhere.
type Policy struct {
	// Horizon is how long an instance can go on from what it holds, at its
	// recent rate: longer than the cuts that are to be served through.
	Horizon time.Duration
	// Heartbeat is the longest pause between two statements.
	Heartbeat time.Duration
	// MinInterval is the shortest pause between two statements that nobody waits for.
	MinInterval time.Duration
	// LargeFleetSize is the number of instances from which on each further one adds
	// CrowdQuiet to Quiet and CrowdPressing to the pause before a statement that
	// a request waits for: every statement is read by all.
	LargeFleetSize                               int
	LargeFleetInterval, LargeFleetUrgentInterval time.Duration
	// AllocatorFleetSize is the number of instances from which on each zone has allocators.
	AllocatorFleetSize int
	// MaxAllocatorInterval is the longest of an allocator's pauses between two statements:
	// what a whole zone may use is bounded by the last one.
	MaxAllocatorInterval time.Duration
	// MaxAllocatorUrgentInterval is the longest before a statement that a request waits for:
	// where many claim, after a restart of all, whole zones wait for theirs.
	MaxAllocatorUrgentInterval time.Duration
	// LivenessTimeout is how long after its last statement a process counts as alive.
	LivenessTimeout time.Duration
}

// DefaultPolicy returns the policy for all fleets. Of the crowd: 16 instances may
// make 100 statements a second; 70 then make 100 too, and 300 while requests wait
// at all of them, at 2 KB each a link of 10 Mbit/s half full.
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
	// evenHoldShare and rateHoldShare are the parts of what is left of a budget that
	// all instances together hold unused: evenHoldShare evenly, rateHoldShare by their
	// rates. The rest stays on the log, where any instance finds it within one
	// round trip. Near the end of a budget this keeps what lies unused in the
	// wrong place under 0.7 of what is left.
	evenHoldShare, rateHoldShare = 0.2, 0.5
	// raiseThreshold and returnThreshold are the shares of the target between which
	// nothing is claimed or given back, so that quiet budgets write nothing.
	raiseThreshold, returnThreshold = 0.8, 1.4
	// holdTaperThreshold is the share of the prepaid total below which instances hold
	// ever less of what is left. The last tokens then lie on the log: of 3 % that
	// may stay unused, the unused tokens of all instances take under 1.
	holdTaperThreshold = 0.25
	// rebalanceShare is the part of its target that an instance keeps while another
	// one is short and nothing is left to claim.
	rebalanceShare = 0.25
	// largestRequestDecay forgets a large request after some hundred small ones.
	largestRequestDecay = 0.995
)

// lateTokensTTL is how long a claim or mark that came after its request had given up
// is kept for the caller's return: a slow log must not bring what is given back before
// the caller is. Nothing else is kept, since a kill of all loses what is marked.
const lateTokensTTL = 2 * time.Second

// recordShortfall notes what waiting requests lack at a draft.
func (a *account) recordShortfall(now time.Duration) {
	if a.shortfall >= a.recordedShortfall || now >= a.shortfallKeptUntil {
		a.recordedShortfall = a.shortfall
		a.shortfallKeptUntil = 0
	}
}

// keepLateTokens notes whether a confirmed row brought what requests wanted that have
// given up meanwhile.
func (a *account) keepLateTokens(claim BudgetClaim, now time.Duration) {
	if a.shortfallKeptUntil != 0 {
		return // The time runs: every statement is confirmed, and none may begin it anew.
	}
	if a.shortfall < a.recordedShortfall && a.unspent() >= a.recordedShortfall && claim.InitialBound-a.claimConsumed() >= a.recordedShortfall {
		a.shortfallKeptUntil = now + lateTokensTTL
	}
}

// nextClaim returns what to nextClaim of a budget in all.
func (a *Accounts) nextClaim(team record.Team, acct *account, r budgetRemainder, shortfallElsewhere int64, now time.Duration) int64 {
	if a.role == allocator.Member {
		return a.memberClaim(acct, now)
	}
	unclaimed := a.prepaidTotals[team] - a.claimedByOthers(team) - acct.claimed
	if unclaimed < 0 {
		return min(acct.claimed, acct.claimConsumed()) // The total was lowered: nothing unused is kept.
	}
	target := max(a.target(acct, r, now), float64(acct.recordedShortfall))
	if shortfallElsewhere > 0 && unclaimed < shortfallElsewhere {
		target *= rebalanceShare
	}
	unspent := float64(acct.unspent())
	switch {
	case acct.recordedShortfall > acct.unspent():
		// Waiting requests go before the target.
		return acct.claimed + min(unclaimed, int64(max(target, float64(acct.recordedShortfall)))-acct.unspent())
	case unspent < raiseThreshold*target:
		return acct.claimed + min(unclaimed, int64(target)-acct.unspent())
	case unspent > returnThreshold*target:
		return acct.claimed - (acct.unspent() - int64(target))
	}
	return acct.claimed
}

// budgetRemainder is what is left of a budget.
type budgetRemainder struct {
	total       float64 // The prepaid total.
	remaining   float64 // Neither used nor lost.
	useShare    float64 // This instance's share of the use.
	instances   float64
	isAllocator bool // This instance claims for its zone.
}

// taper is 1 while at least that share of the total is left, and falls to 0
// with what is left below that.
func (r budgetRemainder) taper(threshold float64) float64 {
	if r.total <= 0 {
		return 0
	}
	return min(1, r.remaining/(threshold*r.total))
}

func (a *Accounts) remainder(team record.Team, acct *account, totals fleetTotals, now time.Duration) budgetRemainder {
	total, others := float64(a.prepaidTotals[team]), totals.budget(team)
	own := acct.rate.perSecond(now)
	useShare := 1 / float64(totals.instances)
	if own+float64(others.rate) > 0 {
		useShare = own / (own + float64(others.rate))
	}
	remaining := total - float64(acct.used()+others.used+others.lost)
	return budgetRemainder{total: total, remaining: max(0, remaining), useShare: useShare, instances: float64(totals.instances), isAllocator: a.role == allocator.Allocator}
}

// Leave makes the next statements give back what no request has or waits for: the last
// requests of an instance that ends run for seconds, and others can use the rest.
func (a *Accounts) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// target is how many unused tokens of the budget this instance is to hold. With the
// first statement nothing: instances that start at once don't know of each other yet.
func (a *Accounts) target(acct *account, r budgetRemainder, now time.Duration) float64 {
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
