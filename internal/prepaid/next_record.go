package prepaid

import (
	"slices"
	"strings"
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/record"
)

// NextRecord returns the next claim record to publish, or nil if none is due. Tokens that it
// returns to the log are no longer used from now on; tokens that it claims may be used once
// the record has been read back. The caller writes one record at a time and repeats the write
// until the log acknowledges it.
func (a *Accounts) NextRecord(now time.Duration) *ClaimRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending != nil || a.closed || !a.caughtUp && a.role != allocator.Member {
		return nil
	}
	// A new allocator publishes its role immediately. New members don't: when a fleet
	// starts, many of them would only delay the allocators' records.
	immediate := a.sequence == 0 || a.role != a.publishedRole && a.role == allocator.Allocator
	sincePrepared := now - a.preparedAt
	if !immediate && sincePrepared < a.publishInterval(a.hasWaitingRequests()) {
		return nil // Checked before the claims are computed, which takes 0.1 ms in a large fleet.
	}
	claims, urgent, changed := a.prepareClaims(now)
	if !immediate && (sincePrepared < a.publishInterval(urgent) || !changed && !urgent && sincePrepared < a.policy.Heartbeat) {
		return nil
	}
	return a.newRecord(claims, false, now)
}

// hasWaitingRequests reports whether any request waits for tokens.
func (a *Accounts) hasWaitingRequests() bool {
	for _, acct := range a.accounts {
		if acct.shortfall > 0 {
			return true
		}
	}
	return false
}

// publishInterval is the minimum time between two records. Every claimant reads the records of
// all others: 70 instances with 7 records a second each cause 9 Mbit/s on every link. Only
// claimants and allocators publish urgent records, for which requests wait.
func (a *Accounts) publishInterval(urgent bool) time.Duration {
	if urgent && a.role != allocator.Member {
		interval := a.largeFleetExcess(a.countClaimants()) * a.policy.LargeFleetUrgentInterval
		if a.role == allocator.Allocator {
			return min(interval, a.policy.MaxAllocatorUrgentInterval)
		}
		return interval
	}
	interval := a.policy.MinInterval + a.largeFleetExcess(a.instances())*a.policy.LargeFleetInterval
	if a.role == allocator.Allocator {
		return min(interval, a.policy.MaxAllocatorInterval)
	}
	return interval
}

// largeFleetExcess is the number of instances above Policy.LargeFleetSize. It has the type of a
// duration because it multiplies one.
func (a *Accounts) largeFleetExcess(instances int) time.Duration {
	return time.Duration(max(0, instances-a.policy.LargeFleetSize))
}

// Close returns the last record of the process, which returns all unused tokens to the log.
func (a *Accounts) Close(now time.Duration) *ClaimRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	var claims []BudgetClaim
	for _, team := range a.sortedTeams() {
		acct := a.account(team)
		claim := acct.budgetClaim(team, now)
		claim.Claimed, claim.InitialBound = acct.claimConsumed(), acct.claimConsumed()
		claims = append(claims, claim)
	}
	return a.newRecord(claims, true, now)
}

// budgetClaim returns the account's published amounts, without a claim and a spending bound.
func (a *account) budgetClaim(team record.Team, now time.Duration) BudgetClaim {
	return BudgetClaim{
		Team: team, Used: a.used(), Reserved: a.reserved, Received: a.received, Transferred: a.transferred,
		Rate: int64(a.rate.perSecond(now)), Shortfall: a.shortfall,
	}
}

// newRecord makes the claims the pending record. Reduced claims take effect at
// once, and the new spending bounds apply in addition to the logged ones.
func (a *Accounts) newRecord(claims []BudgetClaim, closed bool, now time.Duration) *ClaimRecord {
	for _, claim := range claims {
		acct := a.account(claim.Team)
		acct.claimed = min(acct.claimed, claim.Claimed)
		acct.publishedClaim, acct.publishedConsumed = claim.Claimed, claim.Used+claim.Transferred
		acct.preparedBound = claim.spendingBound(a.renewedAt, a.hasRenewed)
	}
	a.sequence++
	a.preparedAt, a.publishedRole = now, a.role
	a.pending = &ClaimRecord{
		Node: a.self.Node, Started: a.self.Started, Sequence: a.sequence, Closed: closed, Claims: claims,
		Renewed: a.renewed, Wall: a.clocks.Wall(), Peer: a.self.Peer, Zone: a.self.Zone,
		Member: a.role == allocator.Member,
	}
	return a.pending
}

// sortedTeams returns all teams with a budget or an account, in order of their names.
func (a *Accounts) sortedTeams() []record.Team {
	var teams []record.Team
	for team := range a.prepaidTotals {
		teams = append(teams, team)
	}
	for team := range a.accounts {
		if _, known := a.prepaidTotals[team]; !known {
			teams = append(teams, team)
		}
	}
	slices.SortFunc(teams, func(x, y record.Team) int { return strings.Compare(string(x), string(y)) })
	return teams
}

// prepareClaims computes the claims and spending bounds of all budgets. urgent reports that a
// waiting request needs a claim that grows; changed that a claim differs from the last record
// that was published.
func (a *Accounts) prepareClaims(now time.Duration) (claims []BudgetClaim, urgent, changed bool) {
	totals := a.fleetTotals()
	for _, team := range a.sortedTeams() {
		acct := a.account(team)
		acct.recordShortfall(now)
		remainder := a.remainder(team, acct, totals, now)
		claim := acct.budgetClaim(team, now)
		claim.Claimed = a.nextClaim(team, acct, remainder, totals.budget(team).shortfall, now)
		acct.setSpendingBound(&claim, remainder, now)
		if acct.shortfall > 0 && (claim.Claimed > acct.claimed || claim.InitialBound > acct.loggedBound.initial) {
			urgent = true
		}
		if claim.Claimed != acct.publishedClaim || claim.Used+claim.Transferred != acct.publishedConsumed {
			changed = true
		}
		if a.role == allocator.Member {
			claim.Rate, claim.Shortfall = 0, 0
		}
		if a.role != allocator.Member || !claim.isEmpty() || acct.claimed != 0 || acct.publishedClaim != 0 {
			claims = append(claims, claim)
		}
	}
	return claims, urgent, changed
}
