package prepaid

import (
	"slices"
	"time"

	"guavapier/internal/record"
)

// keepFor is the own use, at the recent rate, that a process keeps when it
// gives: enough until it has found more itself.
const keepFor = 2 * time.Second

// Give hands tokens to another process that asks for that many, as far as this
// one can spare them. It returns what it has given to that process in all: an
// answer that is lost is made good by the next one.
func (b *Book) Give(to record.InstanceID, team record.Team, tokens int64, now time.Duration) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[team]
	if a == nil {
		return 0
	}
	keep := int64(a.rate.perSecond(now) * keepFor.Seconds())
	hand := a.atHand(now)
	spare := min(hand, max(hand-keep, hand/2))
	if spare > 0 && tokens > 0 {
		amount := min(spare, tokens)
		a.given[to] += amount
		a.givenSum += amount
	}
	return a.given[to]
}

// GiveAll hands over everything that is left: the process is about to end and
// the log is away.
func (b *Book) GiveAll(to record.InstanceID, now time.Duration) map[record.Team]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	all := map[record.Team]int64{}
	for _, team := range b.teams() {
		a := b.account(team)
		if amount := a.atHand(now); amount > 0 {
			a.given[to] += amount
			a.givenSum += amount
		}
		if a.given[to] > 0 {
			all[team] = a.given[to]
		}
	}
	return all
}

// Take notes what another process has given to this one in all.
func (b *Book) Take(from record.InstanceID, team record.Team, total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(from, team, total)
}

// take returns by how much the total is more than before.
func (b *Book) take(from record.InstanceID, team record.Team, total int64) int64 {
	a := b.account(team)
	more := total - a.taken[from]
	if more <= 0 {
		return 0
	}
	a.taken[from] = total
	a.takenSum += more
	b.wake()
	return more
}

// Source is a process that may have tokens to give.
type Source struct {
	Key  record.InstanceID
	near bool
	has  int64
}

// Findable says whether more tokens of the budget may be found: on the log, by
// the next mark, or at other processes.
func (b *Book) Findable(team record.Team) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	if a.unspent() > 0 || b.prepaid[team]-b.claimedByOthers(team)-a.claimed > 0 {
		return true
	}
	for _, h := range b.others {
		if b.hasFor(h, team) {
			return true
		}
	}
	return false
}

// hasFor says whether the process is thought to have tokens of the budget to give.
// A member of a zone has no more than it needs.
func (b *Book) hasFor(h *holder, team record.Team) bool {
	r := h.row(team)
	return h.Peer != "" && !h.Member && r.lost() > r.Used && b.alive(h)
}

// Sources lists the living processes that held unused tokens of the budget when
// last heard of, those of the own zone first, the richest first.
func (b *Book) Sources(team record.Team) []Source {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Source
	for key, h := range b.others {
		if r := h.row(team); b.hasFor(h, team) {
			list = append(list, Source{Key: key, near: h.Zone == b.self.Zone, has: r.lost() - r.Used})
		}
	}
	slices.SortFunc(list, func(x, y Source) int {
		if x.near != y.near {
			if x.near {
				return -1
			}
			return 1
		}
		return int(min(max(y.has-x.has, -1), 1))
	})
	return list
}

// Heirs lists living processes that can take over what is left, the own zone first.
func (b *Book) Heirs() []Source {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.pool.heirs()
	for key, h := range b.others {
		if h.Peer != "" && !h.Member && b.alive(h) {
			list = append(list, Source{Key: key, near: h.Zone == b.self.Zone})
		}
	}
	slices.SortFunc(list, func(x, y Source) int {
		if x.near == y.near {
			return 0
		}
		if x.near {
			return -1
		}
		return 1
	})
	return list
}

// Neighbours lists living processes of the own zone; a member knows the allocators only.
func (b *Book) Neighbours() []record.InstanceID {
	var list []record.InstanceID
	for _, heir := range b.Heirs() {
		if heir.near {
			list = append(list, heir.Key)
		}
	}
	return list
}

// AtHand is what may be used of the budget now.
func (b *Book) AtHand(team record.Team, now time.Duration) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(team).atHand(now)
}
