package fold

import "guavapier/internal/record"

// Budget is one row of the budget table. All sums are in tokens.
type Budget struct {
	ID record.BudgetID `json:"id"`
	// Prepaid is the sum of top-ups.
	Prepaid int64 `json:"prepaid"`
	// Committed is the sum over grants of what each may still cost: its whole
	// amount while open, its final spend once closed. Invariant: Committed
	// never exceeds Prepaid.
	Committed int64 `json:"committed"`
	// Billed is the sum of counted bills. Invariant: Billed never exceeds
	// Committed.
	Billed int64 `json:"billed"`
}

// Grant is one row of the grant table. Tokens is the granted amount minus what
// was returned.
type Grant struct {
	record.Grant
	// Offset is the offset of the batch that holds the grant.
	Offset uint64 `json:"offset"`
	Billed int64  `json:"billed"`
	Closed bool   `json:"closed"`
	// Returns is the sequence number of the last return that took effect, 0 for
	// none.
	Returns uint64 `json:"returns,omitempty"`

	// bills holds the billed keys that left the queue of recent bills while the
	// grant was open.
	bills []identityHash
}

// budget is a Budget with the state that only the fold uses.
type budget struct {
	Budget
	topUps     queue[identityHash]
	openGrants map[record.RightID]*Grant
}

// closedGrant is an entry of the queue of closed grants; offset is that of the
// close.
type closedGrant struct {
	right  record.RightID
	offset uint64
}

// grantIndex holds open grants by instance, either their holder or their
// witness.
type grantIndex map[record.InstanceID]map[record.RightID]*Grant

func (x grantIndex) add(id record.InstanceID, g *Grant) {
	if id == "" {
		return
	}
	rows, ok := x[id]
	if !ok {
		rows = map[record.RightID]*Grant{}
		x[id] = rows
	}
	rows[g.Right] = g
}

func (x grantIndex) remove(id record.InstanceID, right record.RightID) {
	delete(x[id], right)
	if len(x[id]) == 0 {
		delete(x, id)
	}
}

// applyTopUp ignores a top-up that would raise the prepaid sum above MaxTokens,
// and one whose ID is remembered.
func (l *Ledger) applyTopUp(r record.TopUp) {
	b, ok := l.budgets[r.Budget]
	if !ok {
		b = &budget{Budget: Budget{ID: r.Budget}, openGrants: map[record.RightID]*Grant{}}
	}
	id := hashStrings(r.ID)
	if r.Tokens <= 0 || r.Tokens > MaxTokens-b.Prepaid || b.topUps.contains(id) {
		return
	}
	l.budgets[r.Budget] = b
	b.topUps.push(id)
	if b.topUps.len() > l.windows.TopUps {
		b.topUps.pop()
	}
	b.Prepaid += r.Tokens
}

// applyGrant ignores a grant that would raise the committed sum above the
// prepaid sum, and one whose right is known already.
func (l *Ledger) applyGrant(offset uint64, r record.Grant) {
	b, ok := l.budgets[r.Budget]
	if !ok || r.Right == "" || r.Holder == "" || r.Tokens <= 0 || r.Tokens > b.Prepaid-b.Committed {
		return
	}
	if _, taken := l.grants[r.Right]; taken {
		return
	}
	b.Committed += r.Tokens
	g := &Grant{Grant: r, Offset: offset}
	l.grants[r.Right] = g
	b.openGrants[r.Right] = g
	l.openByHolder.add(r.Holder, g)
	l.openByWitness.add(r.Witness, g)
}

// applyReturn ignores a return that is not the holder's next one, or that
// exceeds what has not been billed.
func (l *Ledger) applyReturn(r record.Return) {
	g, ok := l.grants[r.Right]
	if !ok || g.Closed || r.By != g.Holder || r.Seq != g.Returns+1 {
		return
	}
	if r.Tokens <= 0 || r.Tokens > g.Tokens-g.Billed {
		return
	}
	g.Returns = r.Seq
	g.Tokens -= r.Tokens
	l.budgets[g.Budget].Committed -= r.Tokens
}

// applyClose ends a grant on behalf of its holder, its witness or an operator.
// The part of it that is not spent becomes available in the budget again.
func (l *Ledger) applyClose(offset uint64, r record.Close) {
	g, ok := l.grants[r.Right]
	if !ok || g.Closed {
		return
	}
	byWitness := g.Witness != "" && r.By == g.Witness
	if r.By != g.Holder && !byWitness && !r.Forced {
		return
	}
	charge := l.charge
	if r.By != g.Holder {
		charge = l.chargeAtClose
	}
	for _, o := range r.Outstanding {
		charge(g, o.Key, o.Tokens)
	}
	b := l.budgets[g.Budget]
	g.Closed = true
	spent := max(g.Billed, min(r.Spent, g.Tokens))
	b.Committed += spent - g.Tokens
	delete(b.openGrants, g.Right)
	l.openByHolder.remove(g.Holder, g.Right)
	l.openByWitness.remove(g.Witness, g.Right)
	l.closedGrants.push(closedGrant{right: g.Right, offset: offset})
	l.bills.requeueBills(g, l)
}

// removeExpiredGrants removes the grants that were closed more than
// Windows.Grants offsets ago.
func (l *Ledger) removeExpiredGrants(offset uint64) {
	for l.closedGrants.len() > 0 && l.closedGrants.front().offset+l.windows.Grants < offset {
		delete(l.grants, l.closedGrants.pop().right)
	}
}
