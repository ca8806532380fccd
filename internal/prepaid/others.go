package prepaid

import (
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/record"
)

// otherProcess is another process as its newest statement shows it.
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

// claim returns the statement's claim of a budget; a zero one if it has none.
func (p *otherProcess) claim(team record.Team) BudgetClaim { return p.claimsByTeam[team] }

// recordSums are what the others' statements say of one budget in all. They are kept
// between two records of the log: a flood of refused requests asks for them some
// thousand times a second, and there are as many statements as instances.
type recordSums struct {
	claimed int64
	// permanentlySpent is what ended requests have used, and what processes that are
	// certainly dead may have used.
	permanentlySpent int64
}

// permanentlySpent is what ended requests have used, as far as it is known, and all
// that processes which are certainly dead may have used.
func (a *Accounts) permanentlySpent(team record.Team) int64 {
	return a.account(team).settled + a.sumsOf(team).permanentlySpent
}

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

func (a *Accounts) claimedByOthers(team record.Team) int64 {
	return a.sumsOf(team).claimed
}

// fleetTotals is what the other processes say of all budgets, as one draft needs it.
type fleetTotals struct {
	instances int // Those alive that claim for themselves or others, this one included.
	budgets   map[record.Team]*budgetTotals
}

// budgetTotals is what the others have of one budget: the living have used and lack so
// much, at such a rate a second; the dead hold so much for good.
type budgetTotals struct{ used, rate, shortfall, lost int64 }

// budget returns the others' share budget a budget.
func (t fleetTotals) budget(team record.Team) budgetTotals {
	if s := t.budgets[team]; s != nil {
		return *s
	}
	return budgetTotals{}
}

// fleetTotals adds the statements up, each row once: among 81 instances with 24
// organisations a statement takes 0.13 ms to draft, with a sum for each budget 0.27.
func (a *Accounts) fleetTotals() fleetTotals {
	t := fleetTotals{instances: 1, budgets: make(map[record.Team]*budgetTotals, len(a.prepaidTotals))}
	for _, p := range a.others {
		alive := a.isAlive(p)
		if alive && !p.Member {
			t.instances++
		}
		for i := range p.Claims {
			t.add(&p.Claims[i], alive)
		}
	}
	return t
}

// othersTotals is the others' share of one budget.
func (a *Accounts) othersTotals(team record.Team) budgetTotals {
	t := fleetTotals{budgets: map[record.Team]*budgetTotals{}}
	for _, p := range a.others {
		if claim, has := p.claimsByTeam[team]; has {
			t.add(&claim, a.isAlive(p))
		}
	}
	return t.budget(team)
}

func (t fleetTotals) add(claim *BudgetClaim, alive bool) {
	s := t.budgets[claim.Team]
	if s == nil {
		s = &budgetTotals{}
		t.budgets[claim.Team] = s
	}
	if !alive {
		s.lost += claim.allotment()
		return
	}
	s.used += claim.Used
	s.rate += claim.Rate
	s.shortfall += claim.Shortfall
}

// Instances returns how many processes are alive as far as their statements
// show, this one included.
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

// countClaimants is how many of the living processes claim tokens, this one included.
func (a *Accounts) countClaimants() int {
	n := 1
	for _, p := range a.others {
		if !p.Member && a.isAlive(p) {
			n++
		}
	}
	return n
}

// isAlive says whether the other process counts as running. It guides sizes
// only: the claims of a dead one count like all others.
func (a *Accounts) isAlive(p *otherProcess) bool {
	if p.Closed || p.lastSeen < a.caughtUpAt-a.policy.LivenessTimeout || p.Node == a.self.Node {
		return false
	}
	return !a.isReplaced(p)
}

// isReplaced says whether a later process of the same node has been heard.
func (a *Accounts) isReplaced(p *otherProcess) bool {
	if p.Node == a.self.Node && p.Started < a.self.Started {
		return true
	}
	return a.latestStart[p.Node] > p.Started
}
