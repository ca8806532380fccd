package ledger

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// maxSpareRequests is how many holders are asked at once for tokens they don't need.
const maxSpareRequests = 4

// reclaim moves tokens back to the budget until a request of this size fits:
// first those scattered over this instance's own grants, then what other
// holders can spare. It brings nothing where they cannot be reached; the
// caller looks at the fold again.
//
// Load: a budget near its end, or a top-up that one holder took. Harm
// prevented: refusals while another holder has idle tokens.
func (l *Ledger) reclaim(ctx context.Context, a *account, need int64, view budgetView) error {
	shortfall := need - view.ungranted()
	now := l.Now()
	a.mu.Lock()
	isPaused := now.Before(a.refillPausedUntil)
	own := a.returnTokens(l.Self, shortfall)
	a.mu.Unlock()
	if len(own) > 0 {
		if _, err := l.appendReturns(ctx, a, own); err != nil {
			return &Stranded{Reason: "the log does not answer", RetryAfter: unavailableRetryAfter}
		}
		shortfall -= sumReturns(own)
	}
	if shortfall <= 0 || isPaused {
		return nil
	}
	offset, received := l.requestSpare(ctx, a.budget, shortfall, view)
	if received == 0 {
		a.mu.Lock()
		a.refillPausedUntil = now.Add(fruitlessRequestPause)
		a.mu.Unlock()
		return nil
	}
	return a.partition.Wait(ctx, offset)
}

// requestSpare asks the holders with most tokens and returns the last offset of
// their returns and the sum.
func (l *Ledger) requestSpare(ctx context.Context, budget record.BudgetID, shortfall int64, view budgetView) (offset uint64, received int64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, holder := range largestHolders(l.Self, view.openGrants) {
		if l.isSuspected(holder) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			var reply SpareReply
			if err := l.callPeer(ctx, holder, "Spare", SpareArgs{Budget: budget, Tokens: shortfall}, &reply); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			offset, received = max(offset, reply.Offset), received+reply.Tokens
		}()
	}
	wg.Wait()
	return offset, received
}

// largestHolders returns the other holders with most unbilled tokens.
func largestHolders(self record.InstanceID, open []fold.Grant) []record.InstanceID {
	unbilledTokens := map[record.InstanceID]int64{}
	for _, g := range open {
		if g.Holder != self && g.Tokens > g.Billed {
			unbilledTokens[g.Holder] += g.Tokens - g.Billed
		}
	}
	ids := make([]record.InstanceID, 0, len(unbilledTokens))
	for id := range unbilledTokens {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(x, y record.InstanceID) int {
		return cmp.Or(cmp.Compare(unbilledTokens[y], unbilledTokens[x]), cmp.Compare(x, y))
	})
	return ids[:min(len(ids), maxSpareRequests)]
}

// releaseSpare gives back tokens that another instance asks for.
func (l *Ledger) releaseSpare(ctx context.Context, budget record.BudgetID, requested int64) (offset uint64, released int64, err error) {
	a := l.account(budget)
	a.mu.Lock()
	records := a.returnTokens(l.Self, ReleaseSize(a.freeTokens(), requested))
	a.mu.Unlock()
	if len(records) == 0 {
		return 0, 0, nil
	}
	offset, err = l.appendReturns(ctx, a, records)
	return offset, sumReturns(records), err
}

// appendReturns appends returns and waits for the fold. After an error they
// stay with their grants, and a tick appends them again.
func (l *Ledger) appendReturns(ctx context.Context, a *account, records []record.Record) (uint64, error) {
	offset, err := l.Log.Append(ctx, a.partition.Stream(), records...)
	if err == nil {
		err = a.partition.Wait(ctx, offset)
	}
	if err != nil {
		return 0, err
	}
	a.partition.View(func(f *fold.Ledger) {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, g := range a.grants {
			g.clearAppliedReturn(f)
		}
	})
	return offset, nil
}

// clearAppliedReturn forgets a return that the fold has applied. It is called with
// the account's lock held.
func (g *grant) clearAppliedReturn(f *fold.Ledger) {
	if g.pendingReturn == nil {
		return
	}
	if row, ok := f.Grant(g.rightID()); ok && row.Returns >= g.pendingReturn.Seq {
		g.pendingReturn = nil
	}
}

func sumReturns(records []record.Record) int64 {
	var sum int64
	for _, r := range records {
		if ret, ok := r.(record.Return); ok {
			sum += ret.Tokens
		}
	}
	return sum
}
