package ledger_test

import (
	"strings"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// referenceModel derives budgets and bills from the log by the simplest form
// of the rules, with maps that only grow. It shares only the record types with
// the fold.
type referenceModel struct {
	topUps map[string]int64
	grants map[record.RightID]*referenceGrant
	// bills counts the effective bills per key, as known to the caller.
	bills  map[string]int
	billed map[record.RequestKey]bool
	// atClose holds the keys that were billed by another one's close than the
	// holder's. A larger bill of such a key in another grant costs the rest.
	atClose map[record.RequestKey]referenceCloseBill
}

// referenceCloseBill is what such a key has cost, and the right that was charged
// last.
type referenceCloseBill struct {
	right  record.RightID
	tokens int64
}

// referenceGrant is a grant in the reference model.
type referenceGrant struct {
	holder, witness record.InstanceID
	amount, spent   int64
	returns         uint64
	closed          bool
}

// prepaid returns the tokens of all top-ups.
func (o *referenceModel) prepaid() int64 {
	var sum int64
	for _, tokens := range o.topUps {
		sum += tokens
	}
	return sum
}

// committed returns the tokens that all grants together may still cost.
func (o *referenceModel) committed() int64 {
	var sum int64
	for _, g := range o.grants {
		if g.closed {
			sum += g.spent
		} else {
			sum += g.amount
		}
	}
	return sum
}

// charge applies a bill unless its key has been billed before, or its rest; see
// atClose.
func (o *referenceModel) charge(right record.RightID, key record.RequestKey, tokens int64, holder bool) {
	g := o.grants[right]
	if first, ok := o.atClose[key]; ok && first.right != right && tokens > first.tokens {
		rest := min(tokens-first.tokens, g.amount-g.spent)
		g.spent += rest
		o.atClose[key] = referenceCloseBill{right, first.tokens + rest}
		return
	}
	if o.billed[key] {
		return
	}
	if !holder {
		o.atClose[key] = referenceCloseBill{right, min(tokens, g.amount-g.spent)}
	}
	o.billed[key] = true
	name, _, _ := strings.Cut(key.Key, "~")
	o.bills[name]++
	g.spent += min(tokens, g.amount-g.spent)
}

// apply applies one record.
func (o *referenceModel) apply(rec record.Record) {
	switch r := rec.(type) {
	case record.TopUp:
		o.topUps[r.ID] = r.Tokens
	case record.Grant:
		if o.grants[r.Right] == nil && r.Tokens <= o.prepaid()-o.committed() {
			o.grants[r.Right] = &referenceGrant{holder: r.Holder, witness: r.Witness, amount: r.Tokens}
		}
	case record.Return:
		if g := o.grants[r.Right]; g != nil && !g.closed && r.By == g.holder && r.Seq == g.returns+1 && r.Tokens <= g.amount-g.spent {
			g.returns, g.amount = r.Seq, g.amount-r.Tokens
		}
	case record.Bill:
		if g := o.grants[r.Right]; g != nil && !g.closed {
			o.charge(r.Right, r.Key, r.Tokens, true)
		}
	case record.Close:
		g := o.grants[r.Right]
		if g == nil || g.closed || (r.By != g.holder && r.By != g.witness) {
			return
		}
		for _, out := range r.Outstanding {
			o.charge(r.Right, out.Key, out.Tokens, r.By == g.holder)
		}
		g.closed = true
	}
}

// replayLog applies the new entries of the log to the reference model and to a
// separate fold, and returns both.
func (fleet *simFleet) replayLog() (*referenceModel, *fold.Ledger) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if fleet.reference == nil {
		fleet.reference = &referenceModel{topUps: map[string]int64{}, grants: map[record.RightID]*referenceGrant{}, bills: map[string]int{}, billed: map[record.RequestKey]bool{}, atClose: map[record.RequestKey]referenceCloseBill{}}
		fleet.fold = fold.NewLedger()
	}
	for _, e := range fleet.entries[fleet.fold.NextOffset():] {
		b, err := record.DecodeBatch(e.Data)
		if err != nil {
			panic(err)
		}
		if err := fleet.fold.Apply(e.Offset, b); err != nil {
			panic(err)
		}
		for _, env := range b.Records {
			rec, err := record.Decode(env)
			if err != nil {
				panic(err)
			}
			fleet.reference.apply(rec)
		}
	}
	return fleet.reference, fleet.fold
}
