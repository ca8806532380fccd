package fold

import "guavapier/internal/record"

// Budget returns a budget's row.
func (l *Ledger) Budget(id record.BudgetID) (Budget, bool) {
	b, ok := l.budgets[id]
	if !ok {
		return Budget{}, false
	}
	return b.Budget, true
}

// Budgets returns a copy of the budget table in no fixed order.
func (l *Ledger) Budgets() []Budget {
	rows := make([]Budget, 0, len(l.budgets))
	for _, b := range l.budgets {
		rows = append(rows, b.Budget)
	}
	return rows
}

// Grant returns a grant's row. A void grant has none, and one that was closed
// long ago is forgotten.
func (l *Ledger) Grant(id record.RightID) (Grant, bool) {
	g, ok := l.grants[id]
	if !ok {
		return Grant{}, false
	}
	return *g, true
}

// OpenGrants returns a budget's open grants in no fixed order.
func (l *Ledger) OpenGrants(id record.BudgetID) []Grant {
	b, ok := l.budgets[id]
	if !ok {
		return nil
	}
	return copyGrants(b.openGrants)
}

// GrantsHeldBy returns the open grants of a holder in no fixed order.
func (l *Ledger) GrantsHeldBy(id record.InstanceID) []Grant { return copyGrants(l.openByHolder[id]) }

// GrantsWitnessedBy returns the open grants of a witness in no fixed order.
func (l *Ledger) GrantsWitnessedBy(id record.InstanceID) []Grant {
	return copyGrants(l.openByWitness[id])
}

// IsBilled says whether a request key is remembered as billed.
func (l *Ledger) IsBilled(key record.RequestKey) bool {
	_, ok := l.bills.seen[hashRequestKey(key)]
	return ok
}

func copyGrants(rows map[record.RightID]*Grant) []Grant {
	out := make([]Grant, 0, len(rows))
	for _, g := range rows {
		out = append(out, *g)
	}
	return out
}
