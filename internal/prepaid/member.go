package prepaid

import (
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/record"
)

// memberView is what a member of a zone knows of its allocators and, through them, of the
// fleet.
type memberView struct {
	zoneAllocators []allocator.Announcement
	fleetSize      int       // Living processes; 0 until an allocator has reported it.
	skew           clockSkew // Own wall clock against the fleet's median.
}

// defaultFleetSize is the fleet size that a member assumes until an allocator reports it. It
// is high so that the member underestimates its share.
const defaultFleetSize = 500

// size returns the number of living processes, or an assumption.
func (v *memberView) size() int {
	if v.fleetSize == 0 {
		return defaultFleetSize
	}
	return v.fleetSize
}

// address returns the address of one of the zone's allocators.
func (v *memberView) address(id record.InstanceID) (string, bool) {
	for _, candidate := range v.zoneAllocators {
		if candidate.Key == id {
			return candidate.Peer, true
		}
	}
	return "", false
}

// transferTargets returns the allocators as targets for tokens of a terminating member.
func (v *memberView) transferTargets() []TransferPeer {
	var list []TransferPeer
	for _, candidate := range v.zoneAllocators {
		list = append(list, TransferPeer{Key: candidate.Key, sameZone: true})
	}
	return list
}

const (
	// maxHeadroom is the maximum use, in time at the recent rate, for which a member
	// holds tokens. It spares most requests a call to an allocator.
	maxHeadroom = 2 * time.Second
	// maxHeadroomShare is the share of the remaining budget that all members together may
	// hold: other instances cannot use these tokens.
	maxHeadroomShare = 0.02
	// extraShare is the share of an allocator's spendable tokens that one call may
	// withdraw beyond the need of waiting requests. Near the end of a budget it keeps
	// tokens from lying unused at members.
	extraShare = 1.0 / 16
)

// SetRole sets the instance's role in its zone. A member does not read the log: it forgets
// all other processes except dead ones of its own host, whose tokens it reclaims. A process
// that becomes a claimant or allocator must read the log anew, starting with ResetOthers.
func (a *Accounts) SetRole(role allocator.Role) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if role == allocator.Member && a.role != role {
		a.forgetOtherHosts()
	}
	a.role = role
}

// forgetOtherHosts forgets the processes of other hosts and drops the pending record.
func (a *Accounts) forgetOtherHosts() {
	for key, p := range a.others {
		if p.Node != a.self.Node {
			delete(a.others, key)
		}
	}
	clear(a.recordSums)
	a.pending, a.caughtUpAt, a.caughtUp = nil, 0, false // As in ResetOthers.
}

// Role returns the instance's role in its zone.
func (a *Accounts) Role() allocator.Role {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.role
}

// NeedsAllocators reports whether the fleet is large enough for allocators.
func (a *Accounts) NeedsAllocators() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.instances() >= a.policy.AllocatorFleetSize
}

// SetAllocators sets the known allocators of the zone.
func (a *Accounts) SetAllocators(list []allocator.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.memberView.zoneAllocators = list
}

// FleetStatus is what an allocator reports to members about the fleet.
type FleetStatus struct {
	// Instances is the number of living processes.
	Instances int
	// Wall is the time of day by the fleet's median clock in Unix milliseconds; 0 if
	// unknown.
	Wall int64
}

// Status returns the fleet status for members.
func (a *Accounts) Status(now time.Duration) FleetStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := FleetStatus{Instances: a.instances()}
	if ms, ok := a.medianSkewMS(now); ok {
		status.Wall = a.clocks.Wall() - ms
	}
	return status
}

// ObserveStatus updates the member's view from an allocator's report. The report's age is
// limited by the timeout of one call, which is well below skewMargin.
func (a *Accounts) ObserveStatus(s FleetStatus, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.memberView.fleetSize = s.Instances
	if s.Wall == 0 {
		return
	}
	a.detectClockStep()
	a.memberView.skew = clockSkew{ms: a.clocks.Wall() - s.Wall, observedAt: now}
}

// Need states how many tokens a member wants to withdraw.
type Need struct {
	// Least is the smallest amount that serves a waiting request, All the amount that
	// serves all of them.
	Least, All int64
	// Ahead is the amount wanted beyond All for future requests.
	Ahead int64
}

// WithdrawalNeed returns the tokens to withdraw for a request, including the need of all other
// waiting requests.
func (a *Accounts) WithdrawalNeed(team record.Team, tokens int64, now time.Duration) Need {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(team)
	deficit := max(0, -acct.spendable(now)) // Zero, unless consumption exceeds the spending bound.
	return Need{Least: tokens + deficit, All: max(tokens, acct.shortfall) + deficit, Ahead: int64(acct.rate.perSecond(now) * acct.headroom.Seconds())}
}

// TransferToMember transfers tokens to a member of the zone. It returns the cumulative amount
// transferred to the member; ok is false if fewer than need.Least are spendable.
func (a *Accounts) TransferToMember(to record.InstanceID, team record.Team, need Need, now time.Duration) (total int64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(team)
	spendable := acct.spendable(now)
	if spendable < need.Least || a.closed || need.Least <= 0 {
		return acct.transferredTo[to], false
	}
	amount := min(spendable, max(need.All, need.Least))
	amount += min(max(0, need.Ahead), int64(float64(spendable-amount)*extraShare))
	acct.transferredTo[to] += amount
	acct.transferred += amount
	acct.rate.addTokens(float64(amount), now)
	acct.largestRequest = max(acct.largestRequest*largestRequestDecay, float64(need.Least))
	return acct.transferredTo[to], true
}

// AcceptReturn records the cumulative amount that a member has returned and subtracts the
// increase from the zone's rate of use.
func (a *Accounts) AcceptReturn(from record.InstanceID, team record.Team, total int64, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	more := a.receive(from, team, total)
	a.account(team).rate.addTokens(-float64(more), now)
}

// TransferExcess transfers tokens that this member does not need soon to an allocator. It
// returns the cumulative amounts by budget: those that changed, or all of them if the reply to
// the previous call was lost.
func (a *Accounts) TransferExcess(to record.InstanceID, all bool, now time.Duration) map[record.Team]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	totals := map[record.Team]int64{}
	for team, acct := range a.accounts {
		amount := acct.spendable(now) - acct.retained(a.leaving, now)
		if amount > 0 && !a.closed {
			acct.transferredTo[to] += amount
			acct.transferred += amount
		}
		if acct.transferredTo[to] > 0 && (amount > 0 || all) {
			totals[team] = acct.transferredTo[to]
		}
	}
	return totals
}

// memberClaim returns a member's claim. Unneeded tokens that it claimed itself in another
// role are returned to the log; those it withdrew are returned to allocators.
func (a *Accounts) memberClaim(acct *account, now time.Duration) int64 {
	excess := acct.unspent() - acct.retained(a.leaving, now)
	return acct.claimed - max(0, min(excess, acct.claimed))
}

// retained is how many tokens a member keeps.
func (a *account) retained(leaving bool, now time.Duration) int64 {
	if leaving {
		return a.shortfall
	}
	return a.shortfall + int64(a.rate.perSecond(now)*a.headroom.Seconds())
}

// Headroom returns the use, in time at the recent rate, for which each member may hold tokens
// of a budget. It shrinks with the remaining budget and with the loss allowance.
func (a *Accounts) Headroom(team record.Team, now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct, others := a.account(team), a.othersTotals(team)
	rate := acct.rate.perSecond(now) + float64(others.rate)
	if rate <= 0 {
		return maxHeadroom
	}
	total := float64(a.prepaidTotals[team])
	remaining := total - float64(acct.used()+others.used+others.lost)
	held := min(lossOfOneKill(total, float64(others.unusedLost))*memberLossShare, max(0, remaining)*maxHeadroomShare)
	return min(time.Duration(held/rate*float64(time.Second)), maxHeadroom)
}

// SetHeadroom sets the headroom that an allocator reported.
func (a *Accounts) SetHeadroom(team record.Team, headroom time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account(team).headroom = headroom
}

// Predecessors returns the newest records of a node's processes that started before the given
// time (Unix milliseconds) and are not closed; ok is false if the log has not been read.
func (a *Accounts) Predecessors(node string, started int64) (list []Predecessor, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, p := range a.others {
		if p.Node == node && p.Started < started && !p.Closed {
			list = append(list, Predecessor{Key: key, Statement: p.ClaimRecord})
		}
	}
	return list, a.caughtUp
}

// PermanentlySpent returns how much of a budget is permanently spent by all processes, as far
// as this one knows.
func (a *Accounts) PermanentlySpent(team record.Team) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.permanentlySpent(team)
}

// reportedSpentTTL is how long an allocator's report of what is permanently spent counts for
// requests that are refused without asking again. Reclaimed tokens reduce that amount.
const reportedSpentTTL = time.Second

// ObserveSpent records how much of a budget an allocator reported as permanently spent.
func (a *Accounts) ObserveSpent(team record.Team, spent int64, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(team)
	acct.reportedSpent, acct.reportedSpentAt = spent, now
}

// IsReportedSpent reports whether an allocator has reported lately that a request does not fit into
// the budget.
func (a *Accounts) IsReportedSpent(team record.Team, tokens int64, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(team)
	return acct.reportedSpent > 0 && now-acct.reportedSpentAt < reportedSpentTTL && acct.reportedSpent+tokens > a.prepaidTotals[team]
}

// PrepaidTotal returns the prepaid total of a budget.
func (a *Accounts) PrepaidTotal(team record.Team) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.prepaidTotals[team]
}

// ExceedsTotal reports whether a request exceeds the prepaid total if that many tokens are
// spent already.
func (a *Accounts) ExceedsTotal(team record.Team, spent, tokens int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return spent+tokens > a.prepaidTotals[team]
}
