package prepaid

import (
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/record"
)

// otherProcess is another process as described by its newest record.
type otherProcess struct {
	ClaimRecord
	claimsByTeam map[record.Team]BudgetClaim
	lastSeen     time.Duration
}

func newOtherProcess(rec *ClaimRecord, now time.Duration) *otherProcess {
	p := &otherProcess{ClaimRecord: *rec, claimsByTeam: make(map[record.Team]BudgetClaim, len(rec.Claims)), lastSeen: now}
	for _, claim := range rec.Claims {
		p.claimsByTeam[claim.Team] = claim
	}
	return p
}

// claim returns the process's claim on a team's budget; the zero value if it has none.
func (p *otherProcess) claim(team record.Team) BudgetClaim { return p.claimsByTeam[team] }

// recordSums are sums over the other processes' claims on one budget. They are cached until
// the next record is applied: a flood of refused requests needs them some thousand times a
// second, and computing them visits the record of each instance.
type recordSums struct {
	claimed int64
	// permanentlySpent is what settled requests used, plus the allotments of
	// processes that are certainly dead and may have used them.
	permanentlySpent int64
}

// permanentlySpent returns how much of a budget is known to be spent by settled requests of
// all processes, or allotted to processes that are certainly dead.
func (a *Accounts) permanentlySpent(team record.Team) int64 {
	return a.account(team).settled + a.sumsOf(team).permanentlySpent
}

// sumsOf returns the sums of a team's budget, from the cache if possible.
func (a *Accounts) sumsOf(team record.Team) recordSums {
	if known, ok := a.recordSums[team]; ok {
		return known
	}
	var s recordSums
	for _, p := range a.others {
		claim := p.claim(team)
		s.claimed += claim.Claimed
		if p.Closed || a.isReplaced(p) {
			s.permanentlySpent += claim.allotment()
		} else {
			s.permanentlySpent += claim.Used - claim.Reserved
		}
	}
	a.recordSums[team] = s
	return s
}

// claimedByOthers returns the sum of the other processes' published claims on a budget.
func (a *Accounts) claimedByOthers(team record.Team) int64 {
	return a.sumsOf(team).claimed
}

// fleetTotals are sums over the other processes' claims on all budgets, as needed to prepare
// one record.
type fleetTotals struct {
	instances int // Living claimants and allocators, this process included.
	budgets   map[record.Team]*budgetTotals
}

// budgetTotals are sums over the other processes' claims on one budget. used, rate (tokens
// per second) and shortfall cover living processes; lost is the allotment of dead ones, and
// unusedLost what is certainly lost of it and was not used.
type budgetTotals struct{ used, rate, shortfall, lost, unusedLost int64 }

// budget returns the totals of a team's budget.
func (t fleetTotals) budget(team record.Team) budgetTotals {
	if s := t.budgets[team]; s != nil {
		return *s
	}
	return budgetTotals{}
}

// fleetTotals sums up the records in one pass over all claims. With 81 instances and 24
// organisations, preparing a record takes 0.13 ms; with one pass per budget it took 0.27 ms.
func (a *Accounts) fleetTotals() fleetTotals {
	t := fleetTotals{instances: 1, budgets: make(map[record.Team]*budgetTotals, len(a.prepaidTotals))}
	for _, p := range a.others {
		alive := a.isAlive(p)
		if alive && !p.Member {
			t.instances++
		}
		for i := range p.Claims {
			t.add(&p.Claims[i], alive, a.lossOf(p, &p.Claims[i]))
		}
	}
	return t
}

// othersTotals returns the other processes' totals of a single budget.
func (a *Accounts) othersTotals(team record.Team) budgetTotals {
	t := fleetTotals{budgets: map[record.Team]*budgetTotals{}}
	for _, p := range a.others {
		if claim, has := p.claimsByTeam[team]; has {
			t.add(&claim, a.isAlive(p), a.lossOf(p, &claim))
		}
	}
	return t.budget(team)
}

// lossOf returns how many tokens of a process's claim are lost unused; 0 unless it is certainly
// dead.
func (a *Accounts) lossOf(p *otherProcess, claim *BudgetClaim) int64 {
	if !p.Closed && !a.isReplaced(p) {
		return 0
	}
	return claim.expectedLoss(p.Closed)
}

// add adds the claim of a living or dead process, of which unusedLost tokens are lost.
func (t fleetTotals) add(claim *BudgetClaim, alive bool, unusedLost int64) {
	s := t.budgets[claim.Team]
	if s == nil {
		s = &budgetTotals{}
		t.budgets[claim.Team] = s
	}
	if !alive {
		s.lost += claim.allotment()
		s.unusedLost += unusedLost
		return
	}
	s.used += claim.Used
	s.rate += claim.Rate
	s.shortfall += claim.Shortfall
}

// Instances returns the number of living processes according to their records, this one
// included.
func (a *Accounts) Instances() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.instances()
}

func (a *Accounts) instances() int {
	if a.role == allocator.Member {
		return a.memberView.size()
	}
	n := 1
	for _, p := range a.others {
		if a.isAlive(p) {
			n++
		}
	}
	return n
}

// countClaimants returns the number of living processes that claim tokens, this one included.
func (a *Accounts) countClaimants() int {
	n := 1
	for _, p := range a.others {
		if !p.Member && a.isAlive(p) {
			n++
		}
	}
	return n
}

// isAlive reports whether another process appears to be running. It only affects how much is
// claimed: the claims of a dead process count like all others.
func (a *Accounts) isAlive(p *otherProcess) bool {
	if p.Closed || p.lastSeen < a.caughtUpAt-a.policy.LivenessTimeout || p.Node == a.self.Node {
		return false
	}
	return !a.isReplaced(p)
}

// isReplaced reports whether a later process of the same node is known.
func (a *Accounts) isReplaced(p *otherProcess) bool {
	if p.Node == a.self.Node && p.Started < a.self.Started {
		return true
	}
	return a.latestStart[p.Node] > p.Started
}
