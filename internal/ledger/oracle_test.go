package ledger_test

import (
	"strings"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// oracle recounts the log by the plainest reading of the rules, with maps that
// only grow. It shares no code with the fold but the record types.
type oracle struct {
	topUps map[string]int64
	grants map[record.RightID]*oracleGrant
	// bills counts the charged bills of each key as the caller knows it.
	bills  map[string]int
	billed map[record.RequestKey]bool
}

type oracleGrant struct {
	holder, witness record.InstanceID
	amount, spent   int64
	returns         uint64
	closed          bool
}

func (o *oracle) prepaid() int64 {
	var sum int64
	for _, tokens := range o.topUps {
		sum += tokens
	}
	return sum
}

// cost is the sum over grants of what each may still cost.
func (o *oracle) cost() int64 {
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

func (o *oracle) charge(g *oracleGrant, key record.RequestKey, tokens int64) {
	if o.billed[key] {
		return
	}
	o.billed[key] = true
	name, _, _ := strings.Cut(key.Key, "~")
	o.bills[name]++
	g.spent += min(tokens, g.amount-g.spent)
}

func (o *oracle) apply(rec record.Record) {
	switch r := rec.(type) {
	case record.TopUp:
		o.topUps[r.ID] = r.Tokens
	case record.Grant:
		if o.grants[r.Right] == nil && r.Tokens <= o.prepaid()-o.cost() {
			o.grants[r.Right] = &oracleGrant{holder: r.Holder, witness: r.Witness, amount: r.Tokens}
		}
	case record.Return:
		if g := o.grants[r.Right]; g != nil && !g.closed && r.By == g.holder && r.Seq == g.returns+1 && r.Tokens <= g.amount-g.spent {
			g.returns, g.amount = r.Seq, g.amount-r.Tokens
		}
	case record.Bill:
		if g := o.grants[r.Right]; g != nil && !g.closed {
			o.charge(g, r.Key, r.Tokens)
		}
	case record.Close:
		g := o.grants[r.Right]
		if g == nil || g.closed || (r.By != g.holder && r.By != g.witness) {
			return
		}
		for _, out := range r.Outstanding {
			o.charge(g, out.Key, out.Tokens)
		}
		g.closed = true
	}
}

// recount reads the log on into an oracle and into a fold of its own.
func (w *world) recount() (*oracle, *fold.Ledger) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.oracle == nil {
		w.oracle = &oracle{topUps: map[string]int64{}, grants: map[record.RightID]*oracleGrant{}, bills: map[string]int{}, billed: map[record.RequestKey]bool{}}
		w.fold = fold.NewLedger()
	}
	for _, e := range w.entries[w.fold.Next():] {
		b, err := record.DecodeBatch(e.Data)
		if err != nil {
			panic(err)
		}
		if err := w.fold.Apply(e.Offset, b); err != nil {
			panic(err)
		}
		for _, env := range b.Records {
			rec, err := record.Decode(env)
			if err != nil {
				panic(err)
			}
			w.oracle.apply(rec)
		}
	}
	return w.oracle, w.fold
}
