package prepaid

import (
	"time"

	"guavapier/internal/record"
)

// holder is another process as its newest statement shows it.
type holder struct {
	Statement
	rows   map[record.Team]Row
	seenAt time.Duration
}

func newHolder(s *Statement, now time.Duration) *holder {
	h := &holder{Statement: *s, rows: make(map[record.Team]Row, len(s.Rows)), seenAt: now}
	for _, r := range s.Rows {
		h.rows[r.Team] = r
	}
	return h
}

// row returns the statement's row of a budget; a zero one if it has none.
func (h *holder) row(team record.Team) Row { return h.rows[team] }

// sums are what the others' statements say of one budget in all. They are kept
// between two records of the log: a flood of refused requests asks for them some
// thousand times a second, and there are as many statements as instances.
type sums struct {
	claimed int64
	// forGood is what ended requests have used, and what processes that are
	// certainly dead may have used.
	forGood int64
}

// spentForGood is what ended requests have used, as far as it is known, and all
// that processes which are certainly dead may have used.
func (b *Book) spentForGood(team record.Team) int64 {
	return b.account(team).settled + b.sumsOf(team).forGood
}

func (b *Book) sumsOf(team record.Team) sums {
	if known, ok := b.sums[team]; ok {
		return known
	}
	var s sums
	for _, h := range b.others {
		r := h.row(team)
		s.claimed += r.Claimed
		if h.Closed || b.replaced(h) {
			s.forGood += r.lost()
		} else {
			s.forGood += r.Settled
		}
	}
	b.sums[team] = s
	return s
}

func (b *Book) claimedByOthers(team record.Team) int64 {
	return b.sumsOf(team).claimed
}

// Instances returns how many processes are alive as far as their statements
// show, this one included.
func (b *Book) Instances() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instances()
}

func (b *Book) instances() int {
	n := 1
	for _, h := range b.others {
		if b.alive(h) {
			n++
		}
	}
	return n
}

// alive says whether the other process counts as running. It guides sizes
// only: the claims of a dead one count like all others.
func (b *Book) alive(h *holder) bool {
	if h.Closed || h.seenAt < b.freshAt-b.policy.AliveFor || h.Node == b.self.Node {
		return false
	}
	return !b.replaced(h)
}

// replaced says whether a later process of the same node has been heard.
func (b *Book) replaced(h *holder) bool {
	if h.Node == b.self.Node && h.Started < b.self.Started {
		return true
	}
	return b.latest[h.Node] > h.Started
}
