package ledger

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// maxAsked is how many holders are asked at once for tokens they don't need.
const maxAsked = 4

// reclaim moves tokens back to the budget until a request of this size fits:
// first those scattered over this instance's own grants, then what other
// holders can spare. It brings nothing where they cannot be reached; the
// caller looks at the fold again.
//
// Load: a budget near its end, or a top-up that one holder took. Harm
// prevented: refusals while another holder has idle tokens.
func (l *Ledger) reclaim(ctx context.Context, a *account, need int64, view budgetView) error {
	short := need - view.left()
	now := l.Now()
	a.mu.Lock()
	paused := now.Before(a.askAgain)
	own := a.giveBack(l.Self, short)
	a.mu.Unlock()
	if len(own) > 0 {
		if _, err := l.appendReturns(ctx, a, own); err != nil {
			return &Stranded{Reason: "the log does not answer", RetryAfter: retryStopped}
		}
		short -= returned(own)
	}
	if short <= 0 || paused {
		return nil
	}
	offset, got := l.askSpare(ctx, a.budget, short, view)
	if got == 0 {
		a.mu.Lock()
		a.askAgain = now.Add(askPause)
		a.mu.Unlock()
		return nil
	}
	return a.part.AwaitOffset(ctx, offset)
}

// askSpare asks the holders with most tokens and returns the last offset of
// their returns and the sum.
func (l *Ledger) askSpare(ctx context.Context, budget record.BudgetID, short int64, view budgetView) (offset uint64, got int64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, holder := range richest(l.Self, view.open) {
		if l.suspected(holder) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			var reply SpareReply
			if err := l.call(ctx, holder, "Spare", SpareArgs{Budget: budget, Tokens: short}, &reply); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			offset, got = max(offset, reply.Offset), got+reply.Tokens
		}()
	}
	wg.Wait()
	return offset, got
}

// richest returns the other holders with most unbilled tokens.
func richest(self record.InstanceID, open []fold.Grant) []record.InstanceID {
	sums := map[record.InstanceID]int64{}
	for _, g := range open {
		if g.Holder != self && g.Tokens > g.Billed {
			sums[g.Holder] += g.Tokens - g.Billed
		}
	}
	ids := make([]record.InstanceID, 0, len(sums))
	for id := range sums {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(x, y record.InstanceID) int {
		return cmp.Or(cmp.Compare(sums[y], sums[x]), cmp.Compare(x, y))
	})
	return ids[:min(len(ids), maxAsked)]
}

// spare gives back tokens that another instance asks for.
func (l *Ledger) spare(ctx context.Context, budget record.BudgetID, asked int64) (offset uint64, got int64, err error) {
	a := l.account(budget)
	a.mu.Lock()
	records := a.giveBack(l.Self, Gift(a.free(), asked))
	a.mu.Unlock()
	if len(records) == 0 {
		return 0, 0, nil
	}
	offset, err = l.appendReturns(ctx, a, records)
	return offset, returned(records), err
}

// appendReturns appends returns and waits for the fold. After an error they
// stay with their grants, and a tick appends them again.
func (l *Ledger) appendReturns(ctx context.Context, a *account, records []record.Record) (uint64, error) {
	offset, err := l.Log.Append(ctx, a.part.Stream(), records...)
	if err == nil {
		err = a.part.AwaitOffset(ctx, offset)
	}
	if err != nil {
		return 0, err
	}
	a.part.View(func(f *fold.Ledger) {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, g := range a.grants {
			g.resolveReturn(f)
		}
	})
	return offset, nil
}

// resolveReturn forgets a return that the fold has applied. It is called with
// the account's lock held.
func (g *grant) resolveReturn(f *fold.Ledger) {
	if g.returning == nil {
		return
	}
	if row, ok := f.Grant(g.right()); ok && row.Returns >= g.returning.Seq {
		g.returning = nil
	}
}

func returned(records []record.Record) int64 {
	var sum int64
	for _, r := range records {
		if back, ok := r.(record.Return); ok {
			sum += back.Tokens
		}
	}
	return sum
}
