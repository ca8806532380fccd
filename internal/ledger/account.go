package ledger

import (
	"sync"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/right"
)

type held = right.HeldRight[record.Outstanding]

// account is this instance's part of one budget.
type account struct {
	budget record.BudgetID
	part   *replica.Replica[*fold.Ledger]
	users  int // Reserve calls under way; guarded by Ledger.mu.

	mu     sync.Mutex // Guards all below, the grants included.
	grants []*grant   // Oldest first.
	draw   drawRate
	// need is the worst case of the last request.
	need    int64
	renewal *renewal
	// appending is true while the append of a grant has no answer.
	appending bool
	// askAgain is the time before which nobody is asked for spare tokens or a
	// next grant again, after this brought nothing.
	askAgain time.Time
	// elsewhere is the time before which no other holder is asked to reserve.
	elsewhere time.Time
	// lastUse is the time of the last reservation or settlement.
	lastUse time.Time
}

// grant is a right that this instance holds.
//
// Invariant: free plus the reservations plus what is billed is at most the
// grant's amount on the log. Tokens become free again only after the end of
// their reservation was queued for the witness.
type grant struct {
	held     *held
	free     int64
	retired  bool // Takes no more reservations.
	far      bool // Its witness is in another zone.
	reserved map[right.UseID]*hold
	unbilled map[right.UseID]record.Bill // Bills not known to be on the log.
	// returns counts the returns; returning is the one not known to have taken
	// effect.
	returns   uint64
	returning *record.Return
}

// hold is a reservation that has not been settled.
type hold struct {
	outstanding record.Outstanding
	from        record.InstanceID // Instance whose run it is.
	counted     bool              // False until the witness acknowledged it.
}

func (g *grant) right() record.RightID { return g.held.Terms().Right }

func (g *grant) usable() bool { return !g.retired && g.held.Err() == nil }

// take sets tokens aside in the fullest usable grant that has them: an almost
// empty one is left to the small requests. Grants with a far witness come
// last. It returns nil if no grant has them.
func (a *account) take(id right.UseID, from record.InstanceID, use record.Outstanding, now time.Time) *grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.need = use.Tokens
	var best *grant
	for _, g := range a.grants {
		if g.usable() && g.free >= use.Tokens && (best == nil || g.before(best)) {
			best = g
		}
	}
	if best == nil {
		return nil
	}
	best.free -= use.Tokens
	best.reserved[id] = &hold{outstanding: use, from: from}
	a.draw.note(now, use.Tokens)
	a.lastUse = now
	return best
}

func (g *grant) before(other *grant) bool {
	if g.far != other.far {
		return other.far
	}
	return g.free > other.free
}

// counted marks a reservation as acknowledged. It returns false if the grant
// was closed meanwhile: its close accounts for the reservation.
func (a *account) counted(g *grant, id right.UseID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := g.reserved[id]
	if ok {
		h.counted = true
	}
	return ok
}

// untake undoes take for a reservation that does not count.
func (a *account) untake(g *grant, id right.UseID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := g.reserved[id]
	if !ok {
		return
	}
	delete(g.reserved, id)
	g.free += h.outstanding.Tokens
	a.draw.note(now, -h.outstanding.Tokens)
	if g.held.Err() != nil {
		g.retired = true
	}
}

// settle ends a reservation at its usage. It returns false if there is no such
// reservation: it was settled before, or its grant has been closed.
func (a *account) settle(r Reservation, used int64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.find(r.Right)
	if g == nil {
		return false
	}
	h, ok := g.reserved[r.ID]
	if !ok {
		return false
	}
	a.lastUse = now
	g.end(r.ID, h, used)
	a.draw.note(now, min(used, h.outstanding.Tokens)-h.outstanding.Tokens)
	return true
}

// end is called with the account's lock held. The witness hears of the end
// before any use of the tokens that it sets free, since both go out in order.
func (g *grant) end(id right.UseID, h *hold, used int64) {
	delete(g.reserved, id)
	used = min(max(used, 0), h.outstanding.Tokens)
	if used == 0 {
		g.held.Drop(id)
		g.free += h.outstanding.Tokens
		return
	}
	spent := h.outstanding
	spent.Tokens = used
	g.held.Update(right.Use[record.Outstanding]{ID: id, Body: spent})
	g.free += h.outstanding.Tokens - used
	g.unbilled[id] = record.Bill{Key: spent.Key, Right: g.right(), Run: spent.Run, Tokens: used}
}

// empty says whether nothing is left to remember.
func (a *account) empty(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.grants) == 0 && a.renewal == nil && !a.appending && now.Sub(a.lastUse) > leastIdle
}

// find is called with the lock held.
func (a *account) find(id record.RightID) *grant {
	for _, g := range a.grants {
		if g.right() == id {
			return g
		}
	}
	return nil
}

// free returns the tokens that are free in usable grants. It is called with
// the lock held.
func (a *account) free() int64 { return a.freeOf(false) + a.freeOf(true) }

// freeOf counts the grants with a far witness, or the others. It is called with
// the lock held.
func (a *account) freeOf(far bool) int64 {
	var sum int64
	for _, g := range a.grants {
		if g.usable() && g.far == far {
			sum += g.free
		}
	}
	return sum
}

// unbilledTokens returns the tokens of bills that the fold may not have yet. It is
// called with the lock held.
func (a *account) unbilledTokens() int64 {
	var sum int64
	for _, g := range a.grants {
		for _, b := range g.unbilled {
			sum += b.Tokens
		}
	}
	return sum
}

// giveBack takes up to tokens out of the grants' free ones, the newest grant
// first, and returns the records that return them to the budget. They stay
// with the grants until they are known to have taken effect. It is called with
// the lock held.
func (a *account) giveBack(self record.InstanceID, tokens int64) []record.Record {
	return a.giveBackOf(self, tokens, func(*grant) bool { return true })
}

// giveBackOf gives back tokens of some grants only. It is called with the lock
// held.
func (a *account) giveBackOf(self record.InstanceID, tokens int64, from func(*grant) bool) []record.Record {
	var out []record.Record
	for i := len(a.grants) - 1; i >= 0 && tokens > 0; i-- {
		g := a.grants[i]
		part := min(g.free, tokens)
		if part <= 0 || g.returning != nil || !from(g) {
			continue
		}
		out = append(out, g.giveBack(self, part))
		tokens -= part
	}
	return out
}

// giveBack is called with the account's lock held, and no return under way.
func (g *grant) giveBack(self record.InstanceID, tokens int64) record.Return {
	g.free -= tokens
	g.returns++
	g.returning = &record.Return{Right: g.right(), By: self, Seq: g.returns, Tokens: tokens}
	return *g.returning
}

// settleByID settles a reservation by its identity alone, for an instance that
// lost the answer and so does not know the right.
func (a *account) settleByID(r Reservation, used int64, now time.Time) bool {
	if r.Right != "" {
		return a.settle(r, used, now)
	}
	a.mu.Lock()
	for _, g := range a.grants {
		if h, ok := g.reserved[r.ID]; ok && h.counted {
			r.Right = g.right()
			break
		}
	}
	a.mu.Unlock()
	return r.Right != "" && a.settle(r, used, now)
}
