package ledger

import (
	"sync"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/right"
)

type heldRight = right.HeldRight[record.Outstanding]

// account is this instance's part of one budget.
type account struct {
	budget      record.BudgetID
	partition   *replica.Replica[*fold.Ledger]
	activeCalls int // Reserve calls under way; guarded by Ledger.mu.

	mu          sync.Mutex // Guards all below, the grants included.
	grants      []*grant   // Oldest first.
	consumption rateMeter
	// lastWorstCase is the worst case of the last request.
	lastWorstCase int64
	refill        *refill
	// appendPending is true while the append of a grant has no answer.
	appendPending bool
	// refillPausedUntil is the time before which nobody is asked for spare tokens or a
	// next grant again, after this brought nothing.
	refillPausedUntil time.Time
	// remotePausedUntil is the time before which no other holder is asked to reserve.
	remotePausedUntil time.Time
	// lastUse is the time of the last reservation or settlement.
	lastUse time.Time
}

// grant is a right that this instance holds.
//
// Invariant: free plus the reservations plus what is billed is at most the
// grant's amount on the log. Tokens become free again only after the end of
// their reservation was queued for the witness.
type grant struct {
	held          *heldRight
	free          int64
	retired       bool // Takes no more reservations.
	remoteWitness bool // Its witness is in another zone.
	reservations  map[right.UseID]*openReservation
	unbilled      map[right.UseID]record.Bill // Bills not known to be on the log.
	// returnSeq counts the returnSeq; returning is the one not known to have taken
	// effect.
	returnSeq     uint64
	pendingReturn *record.Return
}

// openReservation is a reservation that has not been settled.
type openReservation struct {
	outstanding record.Outstanding
	requester   record.InstanceID // Instance whose run it is.
	confirmed   bool              // False until the witness acknowledged it.
}

func (g *grant) rightID() record.RightID { return g.held.Terms().Right }

func (g *grant) isUsable() bool { return !g.retired && g.held.Err() == nil }

// reserve sets tokens aside in the fullest usable grant that has them: an almost
// empty one is left to the small requests. Grants with a far witness come
// last. It returns nil if no grant has them.
func (a *account) reserve(id right.UseID, requester record.InstanceID, use record.Outstanding, now time.Time) *grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastWorstCase = use.Tokens
	var best *grant
	for _, g := range a.grants {
		if g.isUsable() && g.free >= use.Tokens && (best == nil || g.isPreferredTo(best)) {
			best = g
		}
	}
	if best == nil {
		return nil
	}
	best.free -= use.Tokens
	best.reservations[id] = &openReservation{outstanding: use, requester: requester}
	a.consumption.add(now, use.Tokens)
	a.lastUse = now
	return best
}

func (g *grant) isPreferredTo(other *grant) bool {
	if g.remoteWitness != other.remoteWitness {
		return other.remoteWitness
	}
	return g.free > other.free
}

// confirm marks a reservation as acknowledged. It returns false if the grant
// was closed meanwhile: its close accounts for the reservation.
func (a *account) confirm(g *grant, id right.UseID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := g.reservations[id]
	if ok {
		h.confirmed = true
	}
	return ok
}

// cancel undoes take for a reservation that does not count.
func (a *account) cancel(g *grant, id right.UseID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := g.reservations[id]
	if !ok {
		return
	}
	delete(g.reservations, id)
	g.free += h.outstanding.Tokens
	a.consumption.add(now, -h.outstanding.Tokens)
	if g.held.Err() != nil {
		g.retired = true
	}
}

// settle ends a reservation at its usage. It returns false if there is no such
// reservation: it was settled before, or its grant has been closed.
func (a *account) settle(r Reservation, used int64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.findGrant(r.Right)
	if g == nil {
		return false
	}
	h, ok := g.reservations[r.ID]
	if !ok {
		return false
	}
	a.lastUse = now
	g.settle(r.ID, h, used)
	a.consumption.add(now, min(used, h.outstanding.Tokens)-h.outstanding.Tokens)
	return true
}

// settle is called with the account's lock held. The witness hears of the settle
// before any use of the tokens that it sets free, since both go out in order.
func (g *grant) settle(id right.UseID, h *openReservation, used int64) {
	delete(g.reservations, id)
	used = min(max(used, 0), h.outstanding.Tokens)
	if used == 0 {
		g.held.Drop(id)
		g.free += h.outstanding.Tokens
		return
	}
	billed := h.outstanding
	billed.Tokens = used
	g.held.Update(right.Use[record.Outstanding]{ID: id, Body: billed})
	g.free += h.outstanding.Tokens - used
	g.unbilled[id] = record.Bill{Key: billed.Key, Right: g.rightID(), Run: billed.Run, Tokens: used}
}

// isEmpty says whether nothing is left to remember.
func (a *account) isEmpty(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.grants) == 0 && a.refill == nil && !a.appendPending && now.Sub(a.lastUse) > minIdleTime
}

// findGrant is called with the lock held.
func (a *account) findGrant(id record.RightID) *grant {
	for _, g := range a.grants {
		if g.rightID() == id {
			return g
		}
	}
	return nil
}

// freeTokens returns the tokens that are freeTokens in usable grants. It is called with
// the lock held.
func (a *account) freeTokens() int64 { return a.freeTokensBy(false) + a.freeTokensBy(true) }

// freeTokensBy counts the grants with a far witness, or the others. It is called with
// the lock held.
func (a *account) freeTokensBy(remoteWitness bool) int64 {
	var sum int64
	for _, g := range a.grants {
		if g.isUsable() && g.remoteWitness == remoteWitness {
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

// returnTokens takes up to tokens out of the grants' free ones, the newest grant
// first, and returns the records that return them to the budget. They stay
// with the grants until they are known to have taken effect. It is called with
// the lock held.
func (a *account) returnTokens(self record.InstanceID, tokens int64) []record.Record {
	return a.returnTokensFrom(self, tokens, func(*grant) bool { return true })
}

// returnTokensFrom gives back tokens of some grants only. It is called with the lock
// held.
func (a *account) returnTokensFrom(self record.InstanceID, tokens int64, eligible func(*grant) bool) []record.Record {
	var out []record.Record
	for i := len(a.grants) - 1; i >= 0 && tokens > 0; i-- {
		g := a.grants[i]
		amount := min(g.free, tokens)
		if amount <= 0 || g.pendingReturn != nil || !eligible(g) {
			continue
		}
		out = append(out, g.startReturn(self, amount))
		tokens -= amount
	}
	return out
}

// startReturn is called with the account's lock held, and no return under way.
func (g *grant) startReturn(self record.InstanceID, tokens int64) record.Return {
	g.free -= tokens
	g.returnSeq++
	g.pendingReturn = &record.Return{Right: g.rightID(), By: self, Seq: g.returnSeq, Tokens: tokens}
	return *g.pendingReturn
}

// settleByID settles a reservation by its identity alone, for an instance that
// lost the answer and so does not know the right.
func (a *account) settleByID(r Reservation, used int64, now time.Time) bool {
	if r.Right != "" {
		return a.settle(r, used, now)
	}
	a.mu.Lock()
	for _, g := range a.grants {
		if h, ok := g.reservations[r.ID]; ok && h.confirmed {
			r.Right = g.rightID()
			break
		}
	}
	a.mu.Unlock()
	return r.Right != "" && a.settle(r, used, now)
}
