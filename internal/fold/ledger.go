// Package fold turns the records of a stream, read in offset order, into
// tables. It is deterministic and does no input or output: every instance
// that has applied the same records has the same tables.
package fold

import (
	"guavapier/internal/record"
)

// Budget is one row of the budget table. All sums are tokens.
type Budget struct {
	ID record.BudgetID `json:"id"`
	// Prepaid is the sum of top-ups.
	Prepaid int64 `json:"prepaid"`
	// Committed is the sum over grants of what each may still cost: its whole
	// amount while open, its final spend once closed. Invariant: Committed
	// never exceeds Prepaid.
	Committed int64 `json:"committed"`
	// Billed is the sum of counted bills. Invariant: never above Committed.
	Billed int64 `json:"billed"`
}

// Grant is one row of the grant table.
type Grant struct {
	record.Grant
	Offset uint64 `json:"offset"`
	Billed int64  `json:"billed"`
	Closed bool   `json:"closed"`
}

// Ledger holds the tables of one ledger partition. It is not safe for
// concurrent use.
type Ledger struct {
	budgets map[record.BudgetID]*Budget
	grants  map[record.RightID]*Grant
	topUps  map[topUpKey]struct{}
	bills   map[record.RequestKey]int64
	writers map[record.InstanceID]uint64
	next    uint64
}

type topUpKey struct {
	budget record.BudgetID
	id     string
}

// NewLedger returns the empty tables.
func NewLedger() *Ledger {
	return &Ledger{
		budgets: map[record.BudgetID]*Budget{},
		grants:  map[record.RightID]*Grant{},
		topUps:  map[topUpKey]struct{}{},
		bills:   map[record.RequestKey]int64{},
		writers: map[record.InstanceID]uint64{},
	}
}

// Next returns the offset after the last applied batch.
func (l *Ledger) Next() uint64 { return l.next }

// Budget returns a budget's row.
func (l *Ledger) Budget(id record.BudgetID) (Budget, bool) {
	b, ok := l.budgets[id]
	if !ok {
		return Budget{}, false
	}
	return *b, true
}

// Budgets returns a copy of the budget table in no fixed order.
func (l *Ledger) Budgets() []Budget {
	rows := make([]Budget, 0, len(l.budgets))
	for _, b := range l.budgets {
		rows = append(rows, *b)
	}
	return rows
}

// Grant returns a grant's row. A void grant has none.
func (l *Ledger) Grant(id record.RightID) (Grant, bool) {
	g, ok := l.grants[id]
	if !ok {
		return Grant{}, false
	}
	return *g, true
}

// Apply applies the batch at an offset. Batches that were applied before, and
// copies of a batch by the same writer, have no effect.
func (l *Ledger) Apply(offset uint64, batch record.Batch) error {
	if offset < l.next {
		return nil
	}
	l.next = offset + 1
	if batch.Seq <= l.writers[batch.Writer] {
		return nil
	}
	l.writers[batch.Writer] = batch.Seq
	for _, env := range batch.Records {
		rec, err := record.Decode(env)
		if err != nil {
			return err
		}
		l.applyRecord(offset, rec)
	}
	return nil
}

func (l *Ledger) applyRecord(offset uint64, rec record.Record) {
	switch r := rec.(type) {
	case record.TopUp:
		l.applyTopUp(r)
	case record.Grant:
		l.applyGrant(offset, r)
	case record.Bill:
		l.applyBill(r)
	case record.Close:
		l.applyClose(r)
	}
}

func (l *Ledger) applyTopUp(r record.TopUp) {
	key := topUpKey{budget: r.Budget, id: r.ID}
	if _, seen := l.topUps[key]; seen || r.Tokens <= 0 {
		return
	}
	l.topUps[key] = struct{}{}
	b, ok := l.budgets[r.Budget]
	if !ok {
		b = &Budget{ID: r.Budget}
		l.budgets[r.Budget] = b
	}
	b.Prepaid += r.Tokens
}

func (l *Ledger) applyGrant(offset uint64, r record.Grant) {
	b, ok := l.budgets[r.Budget]
	if !ok || r.Tokens <= 0 || r.Tokens > b.Prepaid-b.Committed {
		return
	}
	if _, taken := l.grants[r.Right]; taken {
		return
	}
	b.Committed += r.Tokens
	l.grants[r.Right] = &Grant{Grant: r, Offset: offset}
}

func (l *Ledger) applyBill(r record.Bill) {
	g, ok := l.grants[r.Right]
	if !ok || g.Closed {
		return
	}
	l.charge(g, r.Key, r.Tokens)
}

// charge counts one bill: the first of its key, and within the grant.
func (l *Ledger) charge(g *Grant, key record.RequestKey, tokens int64) {
	if _, billed := l.bills[key]; billed || tokens < 0 || tokens > g.Tokens-g.Billed {
		return
	}
	l.bills[key] = tokens
	g.Billed += tokens
	l.budgets[g.Budget].Billed += tokens
}

func (l *Ledger) applyClose(r record.Close) {
	g, ok := l.grants[r.Right]
	if !ok || g.Closed {
		return
	}
	if r.By != g.Holder && r.By != g.Witness && !r.Forced {
		return
	}
	for _, o := range r.Outstanding {
		l.charge(g, o.Key, o.Tokens)
	}
	g.Closed = true
	b := l.budgets[g.Budget]
	b.Committed += g.Billed - g.Tokens
}
