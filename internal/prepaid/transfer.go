package prepaid

import (
	"slices"
	"time"

	"guavapier/internal/record"
)

// retainedUseTime is the use, in time at the recent rate, for which a process retains tokens
// when it transfers some. It suffices until the process has obtained more.
const retainedUseTime = 2 * time.Second

// Transfer transfers up to the requested number of tokens to another process, as far as this one
// can spare them. It returns the cumulative amount transferred to that process, so that the
// reply to a later request makes up for a lost one.
func (a *Accounts) Transfer(to record.InstanceID, team record.Team, tokens int64, now time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.accounts[team]
	if acct == nil {
		return 0
	}
	retained := int64(acct.rate.perSecond(now) * retainedUseTime.Seconds())
	spendable := acct.spendable(now)
	excess := min(spendable, max(spendable-retained, spendable/2))
	if excess > 0 && tokens > 0 {
		amount := min(excess, tokens)
		acct.transferredTo[to] += amount
		acct.transferred += amount
	}
	return acct.transferredTo[to]
}

// TransferAll transfers all spendable tokens to another process and stops further use. It is
// called when the process is about to end and cannot reach the log. It returns the cumulative
// amounts by budget.
func (a *Accounts) TransferAll(to record.InstanceID, now time.Duration) map[record.Team]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	totals := map[record.Team]int64{}
	for _, team := range a.sortedTeams() {
		acct := a.account(team)
		if amount := acct.spendable(now); amount > 0 {
			acct.transferredTo[to] += amount
			acct.transferred += amount
		}
		if acct.transferredTo[to] > 0 {
			totals[team] = acct.transferredTo[to]
		}
	}
	return totals
}

// Receive records the cumulative amount that another process has transferred to this one.
func (a *Accounts) Receive(from record.InstanceID, team record.Team, total int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receive(from, team, total)
}

// receive returns the increase over the amount recorded before.
func (a *Accounts) receive(from record.InstanceID, team record.Team, total int64) int64 {
	acct := a.account(team)
	more := total - acct.receivedFrom[from]
	if more <= 0 {
		return 0
	}
	acct.receivedFrom[from] = total
	acct.received += more
	a.notifyWaiters()
	return more
}

// TransferPeer is another process that can transfer or receive tokens.
type TransferPeer struct {
	Key      record.InstanceID
	sameZone bool
	unspent  int64
}

// MayFindTokens reports whether more tokens of a budget may be obtained: unclaimed ones on the
// log, held ones that become spendable, or those of other processes.
func (a *Accounts) MayFindTokens(team record.Team) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(team)
	if acct.unspent() > 0 || a.prepaidTotals[team]-a.claimedByOthers(team)-acct.claimed > 0 {
		return true
	}
	for _, p := range a.others {
		if a.mayTransfer(p, team) {
			return true
		}
	}
	return false
}

// mayTransfer reports whether a process appears to hold tokens that it can transfer. A member
// of a zone holds no more than it needs.
func (a *Accounts) mayTransfer(p *otherProcess, team record.Team) bool {
	claim := p.claim(team)
	return p.Peer != "" && !p.Member && claim.allotment() > claim.Used && a.isAlive(p)
}

// TransferSources lists the living processes whose newest records show unused tokens of the
// budget: those of the own zone first, then by the amount in descending order.
func (a *Accounts) TransferSources(team record.Team) []TransferPeer {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []TransferPeer
	for key, p := range a.others {
		if claim := p.claim(team); a.mayTransfer(p, team) {
			list = append(list, TransferPeer{Key: key, sameZone: p.Zone == a.self.Zone, unspent: claim.allotment() - claim.Used})
		}
	}
	slices.SortFunc(list, func(x, y TransferPeer) int {
		if x.sameZone != y.sameZone {
			if x.sameZone {
				return -1
			}
			return 1
		}
		return int(min(max(y.unspent-x.unspent, -1), 1))
	})
	return list
}

// TransferTargets lists the living processes that can take over tokens, those of the own zone
// first. Members are not listed.
func (a *Accounts) TransferTargets() []TransferPeer {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.memberView.transferTargets()
	for key, p := range a.others {
		if p.Peer != "" && !p.Member && a.isAlive(p) {
			list = append(list, TransferPeer{Key: key, sameZone: p.Zone == a.self.Zone})
		}
	}
	slices.SortFunc(list, func(x, y TransferPeer) int {
		if x.sameZone == y.sameZone {
			return 0
		}
		if x.sameZone {
			return -1
		}
		return 1
	})
	return list
}

// Neighbours lists the living processes of the own zone, except members. A member knows the
// allocators only.
func (a *Accounts) Neighbours() []record.InstanceID {
	var list []record.InstanceID
	for _, target := range a.TransferTargets() {
		if target.sameZone {
			list = append(list, target.Key)
		}
	}
	return list
}

// Spendable returns how many tokens of a budget may be used now.
func (a *Accounts) Spendable(team record.Team, now time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account(team).spendable(now)
}

// Received returns how many tokens of a budget other processes have transferred to this one.
func (a *Accounts) Received(team record.Team) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account(team).received
}

// Shortfall returns how many tokens of a budget waiting requests need.
func (a *Accounts) Shortfall(team record.Team) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account(team).shortfall
}
