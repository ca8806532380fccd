package ledger_test

import (
	"strings"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// referenceModel recounts the log by the plainest reading of the rules, with maps that
// only grow. It shares no code with the fold but the record types.
type referenceModel struct {
	topUps map[string]int64
	grants map[record.RightID]*referenceGrant
	// bills counts the charged bills of each key as the caller knows it.
	bills  map[string]int
	billed map[record.RequestKey]bool
}

type referenceGrant struct {
	holder, witness record.InstanceID
	amount, spent   int64
	returns         uint64
	closed          bool
}

func (o *referenceModel) prepaid() int64 {
	var sum int64
	for _, tokens := range o.topUps {
		sum += tokens
	}
	return sum
}

// committed is the sum over grants of what each may still committed.
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

func (o *referenceModel) charge(g *referenceGrant, key record.RequestKey, tokens int64) {
	if o.billed[key] {
		return
	}
	o.billed[key] = true
	name, _, _ := strings.Cut(key.Key, "~")
	o.bills[name]++
	g.spent += min(tokens, g.amount-g.spent)
}

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

// replayLog reads the log on into an oracle and into a fold of its own.
func (fleet *simFleet) replayLog() (*referenceModel, *fold.Ledger) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if fleet.oracle == nil {
		fleet.oracle = &referenceModel{topUps: map[string]int64{}, grants: map[record.RightID]*referenceGrant{}, bills: map[string]int{}, billed: map[record.RequestKey]bool{}}
		fleet.fold = fold.NewLedger()
	}
	for _, e := range fleet.entries[fleet.fold.Next():] {
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
			fleet.oracle.apply(rec)
		}
	}
	return fleet.oracle, fleet.fold
}
