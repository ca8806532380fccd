package ledger

import (
	"sync"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/right"
)

// heldRight is the holder's side of a grant; its uses are reservations and
// bills.
type heldRight = right.HeldRight[record.Outstanding]

// account holds this instance's grants of one budget and the state of its
// requests for more tokens.
type account struct {
	budget      record.BudgetID
	partition   *replica.Replica[*fold.Ledger]
	activeCalls int // Reserve calls in progress; guarded by Ledger.mu.

	mu          sync.Mutex // Guards the fields below, including the grants' fields.
	grants      []*grant   // Oldest first.
	consumption rateMeter
	// lastRequestTokens is the number of tokens in the latest request for a
	// reservation.
	lastRequestTokens int64
	// refill is the attempt in progress to get another grant, or nil.
	refill *refill
	// appendPending is true until the append of a grant has returned.
	appendPending bool
	// refillPausedUntil is the earliest time for the next request for spare
	// tokens or for a grant ahead of need, after an unsuccessful one.
	refillPausedUntil time.Time
	// remotePausedUntil is the earliest time for the next attempt to reserve
	// at another holder.
	remotePausedUntil time.Time
	// lastUse is the time of the latest reservation or settlement.
	lastUse time.Time
}

// grant is a grant that this instance holds.
//
// Invariant: free tokens, reserved tokens and billed tokens add up to at most
// the grant's amount on the log. Reserved tokens become free again only after
// the end of their reservation has been queued for the witness.
//
// Invariant: the witness counts at most the tokens that are not free, and
// unacknowledged. So its close bills each use in full whatever was returned to
// the budget.
type grant struct {
	held *heldRight
	free int64 // Tokens neither reserved nor used.
	// unacknowledged is the number of tokens that became free by the end or
	// the failure of reservations, which the witness may still count. They can
	// be reserved again in this grant, and can't be returned to the budget.
	unacknowledged int64
	retired        bool // Accepts no more reservations.
	remoteWitness  bool // The witness is in another zone.
	reservations   map[right.UseID]*openReservation
	unbilled       map[right.UseID]record.Bill // Bills not yet known to be on the log.
	// returnSeq is the sequence number of the latest return of tokens to the
	// budget. pendingReturn is the return that the fold hasn't applied yet, or
	// nil.
	returnSeq     uint64
	pendingReturn *record.Return
}

// openReservation is a reservation that hasn't been settled yet.
type openReservation struct {
	outstanding record.Outstanding
	requester   record.InstanceID // Instance that runs the request.
	confirmed   bool              // True once the witness has acknowledged it.
}

func (g *grant) rightID() record.RightID { return g.held.Terms().Right }

func (g *grant) isUsable() bool { return !g.retired && g.held.Err() == nil }

// reserve reserves use.Tokens in the usable grant with the most free tokens,
// so that nearly empty grants remain for small requests. Grants whose witness
// is in another zone are used last. It returns nil if no grant has enough
// tokens.
func (a *account) reserve(id right.UseID, requester record.InstanceID, use record.Outstanding, now time.Time) *grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastRequestTokens = use.Tokens
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

// isPreferredTo orders grants by the witness's zone, then by free tokens.
func (g *grant) isPreferredTo(other *grant) bool {
	if g.remoteWitness != other.remoteWitness {
		return other.remoteWitness
	}
	return g.free > other.free
}

// confirm marks a reservation as acknowledged. It returns false if the grant
// was closed meanwhile; then the close bills the reservation.
func (a *account) confirm(g *grant, id right.UseID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := g.reservations[id]
	if ok {
		h.confirmed = true
	}
	return ok
}

// cancel releases a reservation that wasn't acknowledged.
func (a *account) cancel(g *grant, id right.UseID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := g.reservations[id]
	if !ok {
		return
	}
	delete(g.reservations, id)
	g.release(h.outstanding.Tokens)
	a.consumption.add(now, -h.outstanding.Tokens)
	if g.held.Err() != nil {
		g.retired = true
	}
}

// settle ends a reservation and bills the used tokens. It returns false if
// there is no such reservation: it was settled before, or its grant is closed.
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

// settle frees the tokens that a reservation didn't use and records a bill for
// the rest. The witness learns of the end of the reservation before any use of
// the freed tokens, since both are sent in order. The caller holds account.mu.
func (g *grant) settle(id right.UseID, h *openReservation, used int64) {
	delete(g.reservations, id)
	used = min(max(used, 0), h.outstanding.Tokens)
	if used == 0 {
		g.held.Drop(id)
		g.release(h.outstanding.Tokens)
		return
	}
	billed := h.outstanding
	billed.Tokens = used
	g.held.Update(right.Use[record.Outstanding]{ID: id, Body: billed})
	g.release(h.outstanding.Tokens - used)
	g.unbilled[id] = record.Bill{Key: billed.Key, Right: g.rightID(), Run: billed.Run, Tokens: used}
}

// release makes reserved tokens free, whose end the witness has yet to
// acknowledge. The caller holds account.mu.
func (g *grant) release(tokens int64) {
	g.free += tokens
	g.unacknowledged += tokens
}

// returnable returns the number of free tokens that may be returned to the
// budget: the witness doesn't count them. The caller holds account.mu.
func (g *grant) returnable() int64 {
	if g.held.IsAcknowledged() {
		g.unacknowledged = 0
	}
	return max(0, g.free-g.unacknowledged)
}

// isEmpty reports whether the account can be deleted: it has no grants,
// expects none, and hasn't been used for minIdleTime.
func (a *account) isEmpty(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.grants) == 0 && a.refill == nil && !a.appendPending && now.Sub(a.lastUse) > minIdleTime
}

// findGrant returns the grant with the given ID, or nil. The caller holds
// a.mu.
func (a *account) findGrant(id record.RightID) *grant {
	for _, g := range a.grants {
		if g.rightID() == id {
			return g
		}
	}
	return nil
}

// freeTokens returns the free tokens of all usable grants. The caller holds
// a.mu.
func (a *account) freeTokens() int64 { return a.freeTokensBy(false) + a.freeTokensBy(true) }

// freeTokensBy returns the free tokens of the usable grants whose witness is
// in another zone, or of all other usable ones. The caller holds a.mu.
func (a *account) freeTokensBy(remoteWitness bool) int64 {
	var sum int64
	for _, g := range a.grants {
		if g.isUsable() && g.remoteWitness == remoteWitness {
			sum += g.free
		}
	}
	return sum
}

// unbilledTokens returns the tokens of bills that the fold may not have
// applied. The caller holds a.mu.
func (a *account) unbilledTokens() int64 {
	var sum int64
	for _, g := range a.grants {
		for _, b := range g.unbilled {
			sum += b.Tokens
		}
	}
	return sum
}

// returnTokens takes up to the given number of returnable tokens out of the grants,
// newest grant first, and returns the records that return them to the budget.
// The grants keep the records until the fold has applied them. The caller
// holds a.mu.
func (a *account) returnTokens(self record.InstanceID, tokens int64) []record.Record {
	return a.returnTokensFrom(self, tokens, func(*grant) bool { return true })
}

// returnTokensFrom is returnTokens limited to the eligible grants. The caller
// holds a.mu.
func (a *account) returnTokensFrom(self record.InstanceID, tokens int64, eligible func(*grant) bool) []record.Record {
	var out []record.Record
	for i := len(a.grants) - 1; i >= 0 && tokens > 0; i-- {
		g := a.grants[i]
		amount := min(g.returnable(), tokens)
		if amount <= 0 || g.pendingReturn != nil || !eligible(g) {
			continue
		}
		out = append(out, g.startReturn(self, amount))
		tokens -= amount
	}
	return out
}

// startReturn takes free tokens out of the grant and returns the record for
// it. The grant must have no pending return. The caller holds account.mu.
func (g *grant) startReturn(self record.InstanceID, tokens int64) record.Return {
	g.free -= tokens
	g.returnSeq++
	g.pendingReturn = &record.Return{Right: g.rightID(), By: self, Seq: g.returnSeq, Tokens: tokens}
	return *g.pendingReturn
}

// settleByID settles a reservation by its ID alone if r.Right is empty: the
// requester didn't receive the reply that names the right.
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
