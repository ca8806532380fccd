package ledger

import (
	"context"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
)

const (
	// maxRecords bounds the records of one append.
	maxRecords = 500
	// drainPoll is how often Close looks whether all grants are closed.
	drainPoll = 10 * time.Millisecond
)

// Run ticks until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.Options.TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.Tick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// Tick brings accounts in line with the fold, seals the grants of holders that
// are gone, and sends what waits for the log.
func (l *Ledger) Tick(ctx context.Context) {
	l.tickMu.Lock()
	defer l.tickMu.Unlock()
	l.sync()
	l.probe(ctx)
	l.watch()
	accounts := l.accountsOf()
	for _, part := range l.Partitions {
		l.flush(part, accounts[part.Stream()])
	}
	l.remote.retry()
	l.prune()
}

// Close ends all draws, settles what is left and returns every grant. It ends
// when the fold has closed them all, or with ctx.
func (l *Ledger) Close(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	for {
		l.Tick(ctx)
		if l.remote.empty() && l.closedAll() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
}

func (l *Ledger) closedAll() bool {
	for _, part := range l.Partitions {
		open := 0
		part.View(func(f *fold.Ledger) { open = len(f.GrantsHeldBy(l.Self)) })
		if open > 0 {
			return false
		}
	}
	return true
}

// sync adopts grants whose append had no answer, drops closed ones, and
// decides what goes back.
func (l *Ledger) sync() {
	for _, part := range l.Partitions {
		var rows []fold.Grant
		part.View(func(f *fold.Ledger) { rows = f.GrantsHeldBy(l.Self) })
		for _, row := range rows {
			l.adopt(l.account(row.Budget), row)
		}
	}
	stopping := l.stopping()
	for _, a := range l.allAccounts() {
		a.part.View(func(f *fold.Ledger) { l.syncAccount(a, f) })
		l.trim(a, stopping)
	}
}

func (l *Ledger) syncAccount(a *account, f *fold.Ledger) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.grants[:0]
	for _, g := range a.grants {
		row, ok := f.Grant(g.right())
		if !ok || row.Closed {
			g.held.Close()
			clear(g.reserved)
			continue
		}
		kept = append(kept, g)
		g.resolveReturn(f)
		for id, b := range g.unbilled {
			if f.IsBilled(b.Key) {
				delete(g.unbilled, id)
				g.held.Drop(id)
			}
		}
	}
	clear(a.grants[len(kept):])
	a.grants = kept
}

// trim gives back what an idle or stopping holder does not need.
func (l *Ledger) trim(a *account, stopping bool) {
	now := l.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.grants) == 0 {
		return
	}
	idle := Idle(now.Sub(a.lastUse), l.Lean(a.budget))
	for _, g := range a.grants {
		g.retired = g.retired || stopping || idle || g.held.Err() != nil
		if g.retired && g.free > 0 && g.returning == nil && len(g.reserved) > 0 {
			g.giveBack(l.Self, g.free)
		}
	}
	d := l.demand(a, now)
	for _, far := range []bool{false, true} {
		d.Free = a.freeOf(far)
		if excess := Excess(d); excess > 0 {
			a.giveBackOf(l.Self, excess, func(g *grant) bool { return g.far == far })
		}
	}
}

// outbox is what waits for a partition.
type outbox struct {
	bills []sentBill
	later []record.Record // Returns and closes; they go after the bills.
}

// sentBill is a bill that an append carries.
type sentBill struct {
	account *account
	grant   *grant
	id      useID
	bill    record.Bill
}

// flush appends what waits for a partition, one flush at a time: while the log
// is away, one append waits and nothing piles up. The records stay where they
// are until the log or the fold has them; a second copy of any is harmless.
func (l *Ledger) flush(part *replica.Replica[*fold.Ledger], accounts []*account) {
	l.flushMu.Lock()
	defer l.flushMu.Unlock()
	if l.flushing[part.Stream()] {
		return
	}
	var box outbox
	for _, a := range accounts {
		a.collect(l.Self, &box)
	}
	for _, c := range l.closing {
		if openIn(part, c.Right) {
			box.later = append(box.later, split(c)...)
		}
	}
	if len(box.bills)+len(box.later) == 0 {
		return
	}
	l.flushing[part.Stream()] = true
	l.Go(func() {
		l.send(part.Stream(), box)
		l.flushMu.Lock()
		defer l.flushMu.Unlock()
		l.flushing[part.Stream()] = false
	})
}

func (l *Ledger) send(stream record.Stream, box outbox) {
	records := make([]record.Record, 0, len(box.bills)+len(box.later))
	for _, b := range box.bills {
		records = append(records, b.bill)
	}
	records = append(records, box.later...)
	for len(records) > 0 {
		n := min(len(records), maxRecords)
		if _, err := l.Log.Append(context.Background(), stream, records[:n]...); err != nil {
			return
		}
		done := min(len(box.bills), n)
		for _, b := range box.bills[:done] {
			b.account.billed(b)
		}
		records, box.bills = records[n:], box.bills[done:]
	}
}

// collect adds what an account has for the log. A retired grant without
// reservations is used no more from here on, and closed.
func (a *account) collect(self record.InstanceID, box *outbox) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, g := range a.grants {
		g.held.Flush()
		if g.retired && len(g.reserved) == 0 {
			g.held.Close()
			box.later = append(box.later, split(g.close(self))...)
			continue
		}
		for id, b := range g.unbilled {
			box.bills = append(box.bills, sentBill{account: a, grant: g, id: id, bill: b})
		}
		if g.returning != nil {
			box.later = append(box.later, *g.returning)
		}
	}
}

// close returns the record that ends a grant without reservations. Bills that
// may not be on the log go with it.
func (g *grant) close(self record.InstanceID) record.Close {
	c := record.Close{Right: g.right(), By: self}
	for _, b := range g.unbilled {
		c.Outstanding = append(c.Outstanding, record.Outstanding{Key: b.Key, Run: b.Run, Tokens: b.Tokens})
	}
	return c
}

// billed says that a bill is on the log: the witness need not know it longer.
func (a *account) billed(b sentBill) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := b.grant.unbilled[b.id]; ok {
		delete(b.grant.unbilled, b.id)
		b.grant.held.Drop(b.id)
	}
}
