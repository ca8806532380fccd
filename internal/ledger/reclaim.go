package ledger

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// maxSpareRequests is how many holders are asked at the same time to release
// tokens.
const maxSpareRequests = 4

// reclaim returns tokens to the budget until a grant of the needed size fits:
// first this instance's own free tokens, which may be spread over several
// grants, then tokens that other holders release. Without it, requests would
// be refused near the end of a budget, or after one holder took a whole
// top-up, while another holder has unused tokens. It returns nil even if it
// found no tokens; the caller reads the fold again.
func (l *Ledger) reclaim(ctx context.Context, a *account, need int64, view budgetView) error {
	shortfall := need - view.ungrantedTokens()
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
		a.refillPausedUntil = now.Add(requestBackoff)
		a.mu.Unlock()
		return nil
	}
	return a.partition.AwaitOffset(ctx, offset)
}

// requestSpare asks the holders with the most tokens to release some. It
// returns the number of tokens released and the highest offset of the returns.
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

// largestHolders returns up to maxSpareRequests other holders, those with the
// most unbilled tokens first.
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

// releaseSpare returns free tokens to the budget at another instance's
// request.
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

// appendReturns appends returns and waits until the fold has applied them.
// After an error they stay pending in their grants, and a tick appends them
// again.
func (l *Ledger) appendReturns(ctx context.Context, a *account, records []record.Record) (uint64, error) {
	offset, err := l.Log.Append(ctx, a.partition.Stream(), records...)
	if err == nil {
		err = a.partition.AwaitOffset(ctx, offset)
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

// clearAppliedReturn clears the pending return if the fold has applied it. The
// caller holds account.mu.
func (g *grant) clearAppliedReturn(f *fold.Ledger) {
	if g.pendingReturn == nil {
		return
	}
	if row, ok := f.Grant(g.rightID()); ok && row.Returns >= g.pendingReturn.Seq {
		g.pendingReturn = nil
	}
}

// sumReturns returns the tokens of all returns among the records.
func sumReturns(records []record.Record) int64 {
	var sum int64
	for _, r := range records {
		if ret, ok := r.(record.Return); ok {
			sum += ret.Tokens
		}
	}
	return sum
}
