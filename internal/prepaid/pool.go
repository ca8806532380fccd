package prepaid

import (
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/record"
)

// memberView is what a member of a zone knows of its allocators, and by them of the fleet.
type memberView struct {
	zoneAllocators []allocator.Announcement
	fleetSize      int       // Alive; 0 until an allocator has said.
	skew           clockSkew // Against the fleet's median.
}

// defaultFleetSize is the size that a member assumes until an allocator has said: its part
// of what all share errs on the small side.
const defaultFleetSize = 500

func (v *memberView) size() int {
	if v.fleetSize == 0 {
		return defaultFleetSize
	}
	return v.fleetSize
}

// address returns where an allocator is reached.
func (v *memberView) address(id record.InstanceID) (string, bool) {
	for _, candidate := range v.zoneAllocators {
		if candidate.Key == id {
			return candidate.Peer, true
		}
	}
	return "", false
}

// transferTargets are the allocators as processes that can take over what is left.
func (v *memberView) transferTargets() []TransferPeer {
	var list []TransferPeer
	for _, candidate := range v.zoneAllocators {
		list = append(list, TransferPeer{Key: candidate.Key, sameZone: true})
	}
	return list
}

const (
	// maxHeadroom is the use, at the recent rate, that a member holds at most: most
	// of its requests then need not ask.
	maxHeadroom = 2 * time.Second
	// headroomShare is the part of what is left of a budget that all members together
	// may hold: what they hold serves nobody else.
	headroomShare = 0.02
	// extraShare is the part of an allocator's tokens at hand that one call may
	// take beyond what requests wait for, so that near a budget's end tokens don't
	// lie at members.
	extraShare = 1.0 / 16
)

// SetRole tells the instance's part in its zone. A member does not read the log: it
// forgets the others, but for dead processes of its own host, whose tokens it gives
// back. Whoever is no member any more must read the log anew, beginning with Reload.
func (a *Accounts) SetRole(role allocator.Role) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if role == allocator.Member && a.role != role {
		a.forgetOtherHosts()
	}
	a.role = role
}

func (a *Accounts) forgetOtherHosts() {
	for key, p := range a.others {
		if p.Node != a.self.Node {
			delete(a.others, key)
		}
	}
	clear(a.recordSums)
	a.pending, a.caughtUpAt, a.caughtUp = nil, 0, false // As in Reload.
}

// Role returns the instance's part in its zone.
func (a *Accounts) Role() allocator.Role {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.role
}

// NeedsAllocators says whether the fleet is large enough for allocators.
func (a *Accounts) NeedsAllocators() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.instances() >= a.policy.AllocatorFleetSize
}

// SetAllocators takes the allocators of the zone.
func (a *Accounts) SetAllocators(list []allocator.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.memberView.zoneAllocators = list
}

// FleetStatus is what an allocator tells members of the fleet.
type FleetStatus struct {
	// Instances is how many processes are alive.
	Instances int
	// Wall is the time of day by the fleet's median clock, in Unix milliseconds; 0
	// for unknown.
	Wall int64
}

// Status returns what members are told.
func (a *Accounts) Status(now time.Duration) FleetStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := FleetStatus{Instances: a.instances()}
	if ms, ok := a.medianSkewMS(now); ok {
		status.Wall = a.clocks.Wall() - ms
	}
	return status
}

// ObserveStatus takes an allocator's word. It comes within the bound of one call, well
// under skewMargin.
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

// Need is what a member draws for requests that wait.
type Need struct {
	// Least is the smallest amount that serves one of them, All serves them all.
	Least, All int64
	// Ahead is what it would like beyond that.
	Ahead int64
}

// WithdrawalNeed returns what to draw for a request of so many tokens, the others that wait
// included.
func (a *Accounts) WithdrawalNeed(team record.Team, tokens int64, now time.Duration) Need {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(team)
	deficit := max(0, -acct.spendable(now)) // Nothing, unless a mark fell behind.
	return Need{Least: tokens + deficit, All: max(tokens, acct.shortfall) + deficit, Ahead: int64(acct.rate.perSecond(now) * acct.headroom.Seconds())}
}

// TransferToMember hands tokens of the zone to a member and returns what that has been given in
// all; ok is false if there are too few at hand.
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
	acct.rate.add(float64(amount), now)
	acct.largestRequest = max(acct.largestRequest*largestRequestDecay, float64(need.Least))
	return acct.transferredTo[to], true
}

// AcceptReturn takes back what a member has given in all: it was no use of the zone.
func (a *Accounts) AcceptReturn(from record.InstanceID, team record.Team, total int64, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	more := a.receive(from, team, total)
	a.account(team).rate.add(-float64(more), now)
}

// TransferExcess gives the allocator what the member won't use soon. It returns what that has
// been given in all, by budget: of those that changed, or all after a lost call.
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

// memberClaim is what a member states: what it claimed in another part and doesn't
// need goes back to the log, what it drew goes back to allocators.
func (a *Accounts) memberClaim(acct *account, now time.Duration) int64 {
	excess := acct.unspent() - acct.retained(a.leaving, now)
	return acct.claimed - max(0, min(excess, acct.claimed))
}

// retained is what a member does not return.
func (a *account) retained(leaving bool, now time.Duration) int64 {
	if leaving {
		return a.shortfall
	}
	return a.shortfall + int64(a.rate.perSecond(now)*a.headroom.Seconds())
}

// Headroom is how much of its recent use a member may hold of a budget: what is left of
// it is to last.
func (a *Accounts) Headroom(team record.Team, now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct, others := a.account(team), a.othersTotals(team)
	rate := acct.rate.perSecond(now) + float64(others.rate)
	remaining := float64(a.prepaidTotals[team] - acct.used() - others.used - others.lost)
	if rate <= 0 {
		return maxHeadroom
	}
	headroom := time.Duration(max(0, remaining) * headroomShare / rate * float64(time.Second))
	return min(headroom, maxHeadroom)
}

// SetHeadroom takes an allocator's word.
func (a *Accounts) SetHeadroom(team record.Team, headroom time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account(team).headroom = headroom
}

// Predecessors returns the newest statements of a host's processes before the one that
// started then; ok is false if the log has not been read.
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

// PermanentlySpent is what an allocator knows to be spent for good of a budget, by all.
func (a *Accounts) PermanentlySpent(team record.Team) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.permanentlySpent(team)
}

// ExceedsTotal says whether a request does not fit into the budget any more, if so much of
// it is spent.
func (a *Accounts) ExceedsTotal(team record.Team, spent, tokens int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return spent+tokens > a.prepaidTotals[team]
}
