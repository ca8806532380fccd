package fold

import "guavapier/internal/record"

// Budget returns a row of the budget table.
func (l *Ledger) Budget(id record.BudgetID) (Budget, bool) {
	b, ok := l.budgets[id]
	if !ok {
		return Budget{}, false
	}
	return b.Budget, true
}

// Budgets returns a copy of the budget table, in no particular order.
func (l *Ledger) Budgets() []Budget {
	rows := make([]Budget, 0, len(l.budgets))
	for _, b := range l.budgets {
		rows = append(rows, b.Budget)
	}
	return rows
}

// Grant returns a row of the grant table. There is none for a grant that was
// ignored, nor for one that was closed more than Windows.Grants offsets ago.
func (l *Ledger) Grant(id record.RightID) (Grant, bool) {
	g, ok := l.grants[id]
	if !ok {
		return Grant{}, false
	}
	return *g, true
}

// OpenGrants returns a budget's open grants, in no particular order.
func (l *Ledger) OpenGrants(id record.BudgetID) []Grant {
	b, ok := l.budgets[id]
	if !ok {
		return nil
	}
	return copyGrants(b.openGrants)
}

// GrantsHeldBy returns the open grants of a holder, in no particular order.
func (l *Ledger) GrantsHeldBy(id record.InstanceID) []Grant { return copyGrants(l.openByHolder[id]) }

// GrantsWitnessedBy returns the open grants of a witness, in no particular
// order.
func (l *Ledger) GrantsWitnessedBy(id record.InstanceID) []Grant {
	return copyGrants(l.openByWitness[id])
}

// IsBilled reports whether a bill has taken effect, or can't any more because its request was
// billed otherwise.
func (l *Ledger) IsBilled(b record.Bill) bool {
	hash := hashRequestKey(b.Key)
	_, seen := l.bills.seen[hash]
	return seen && l.bills.rest(hash, b.Right, b.Tokens) == 0
}

func copyGrants(rows map[record.RightID]*Grant) []Grant {
	out := make([]Grant, 0, len(rows))
	for _, g := range rows {
		out = append(out, *g)
	}
	return out
}
