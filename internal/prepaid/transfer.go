package prepaid

import (
	"slices"
	"time"

	"guavapier/internal/record"
)

// retainedUseTime is the own use, at the recent rate, that a process keeps when it
// gives: enough until it has found more itself.
const retainedUseTime = 2 * time.Second

// Transfer hands tokens to another process that asks for that many, as far as this
// one can spare them. It returns what it has given to that process in all: an
// answer that is lost is made good by the next one.
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

// TransferAll hands over everything that is left: the process is about to end and
// the log is away.
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

// Receive notes what another process has given to this one in all.
func (a *Accounts) Receive(from record.InstanceID, team record.Team, total int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receive(from, team, total)
}

// receive returns by how much the total is more than before.
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

// TransferPeer is a process that may have tokens to give.
type TransferPeer struct {
	Key      record.InstanceID
	sameZone bool
	unspent  int64
}

// MayFindTokens says whether more tokens of the budget may be found: on the log, by
// the next mark, or at other processes.
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

// mayTransfer says whether the process is thought to have tokens of the budget to give.
// A member of a zone has no more than it needs.
func (a *Accounts) mayTransfer(p *otherProcess, team record.Team) bool {
	claim := p.claim(team)
	return p.Peer != "" && !p.Member && claim.allotment() > claim.Used && a.isAlive(p)
}

// TransferSources lists the living processes that held unused tokens of the budget when
// last heard of, those of the own zone first, the richest first.
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

// TransferTargets lists living processes that can take over what is left, the own zone first.
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

// Neighbours lists living processes of the own zone; a member knows the allocators only.
func (a *Accounts) Neighbours() []record.InstanceID {
	var list []record.InstanceID
	for _, target := range a.TransferTargets() {
		if target.sameZone {
			list = append(list, target.Key)
		}
	}
	return list
}

// Spendable is what may be used of the budget now.
func (a *Accounts) Spendable(team record.Team, now time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account(team).spendable(now)
}
