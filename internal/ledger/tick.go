package ledger

import (
	"context"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
)

const (
	// maxRecordsPerAppend is the most records in one append, and the most
	// settlements in one Settle call.
	maxRecordsPerAppend = 500
	// drainPollInterval is how often Close checks whether all grants are
	// closed.
	drainPollInterval = 10 * time.Millisecond
)

// Run calls Tick every TickInterval until ctx ends. Its error is always nil.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.Options.TickInterval)
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

// Tick updates the accounts from the fold, handles dead instances, and appends
// the pending records to the log.
func (l *Ledger) Tick(ctx context.Context) {
	l.tickMu.Lock()
	defer l.tickMu.Unlock()
	l.syncAccounts()
	l.pingDependents(ctx)
	l.handleDeadInstances()
	accounts := l.accountsByStream()
	for _, part := range l.Partitions {
		l.flush(part, accounts[part.Stream()])
	}
	l.remote.retryFailed()
	l.prune()
}

// Close refuses further reservations, sends the settlements that are left, and
// returns all grants. It returns nil once the fold has closed them all, or the
// error of ctx if that ends first.
func (l *Ledger) Close(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	for {
		l.Tick(ctx)
		if l.remote.isDrained() && l.allGrantsClosed() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
}

// allGrantsClosed reports whether the fold has no open grant of this instance.
func (l *Ledger) allGrantsClosed() bool {
	for _, part := range l.Partitions {
		open := 0
		part.View(func(f *fold.Ledger) { open = len(f.GrantsHeldBy(l.Self)) })
		if open > 0 {
			return false
		}
	}
	return true
}

// syncAccounts adopts grants whose append had no reply, removes closed grants,
// and returns surplus tokens.
func (l *Ledger) syncAccounts() {
	for _, part := range l.Partitions {
		var rows []fold.Grant
		part.View(func(f *fold.Ledger) { rows = f.GrantsHeldBy(l.Self) })
		for _, row := range rows {
			l.adopt(l.account(row.Budget), row)
		}
	}
	draining := l.isDraining()
	for _, a := range l.allAccounts() {
		a.partition.View(func(f *fold.Ledger) { l.syncAccount(a, f) })
		l.returnSurplus(a, draining)
	}
}

// syncAccount removes closed grants, applied returns and logged bills from an
// account.
func (l *Ledger) syncAccount(a *account, f *fold.Ledger) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.grants[:0]
	for _, g := range a.grants {
		row, ok := f.Grant(g.rightID())
		if !ok || row.Closed {
			g.held.Close()
			clear(g.reservations)
			continue
		}
		kept = append(kept, g)
		g.clearAppliedReturn(f)
		for id, b := range g.unbilled {
			if f.IsBilled(b) {
				delete(g.unbilled, id)
				g.held.Drop(id)
			}
		}
	}
	clear(a.grants[len(kept):])
	a.grants = kept
}

// returnSurplus retires unusable and idle grants, or all of them while
// draining, and returns free tokens that this instance doesn't need. Grants
// with a witness in another zone have their own target.
func (l *Ledger) returnSurplus(a *account, draining bool) {
	now := l.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.grants) == 0 {
		return
	}
	idle := IsIdle(now.Sub(a.lastUse), l.Conservatism(a.budget))
	for _, g := range a.grants {
		g.retired = g.retired || draining || idle || g.held.Err() != nil
		if tokens := g.returnable(); g.retired && tokens > 0 && g.pendingReturn == nil && len(g.reservations) > 0 {
			g.startReturn(l.Self, tokens)
		}
	}
	d := l.sizingInput(a, now)
	for _, remoteWitness := range []bool{false, true} {
		d.FreeTokens = a.freeTokensBy(remoteWitness)
		if excess := ExcessTokens(d); excess > 0 {
			a.returnTokensFrom(l.Self, excess, func(g *grant) bool { return g.remoteWitness == remoteWitness })
		}
	}
}

// outbox holds the records to append for one partition.
type outbox struct {
	bills            []queuedBill    // Bills, appended before the other records.
	returnsAndCloses []record.Record // Returns and closes, appended after the bills.
}

// queuedBill is a bill in an outbox and the grant that it belongs to.
type queuedBill struct {
	account *account
	grant   *grant
	id      useID
	bill    record.Bill
}

// flush appends the pending records of a partition. There is one append at a
// time, so that none accumulate while the log is unreachable. Accounts keep
// the records until the log or the fold has them. A record that is appended
// twice takes effect once.
func (l *Ledger) flush(part *replica.Replica[*fold.Ledger], accounts []*account) {
	l.flushMu.Lock()
	defer l.flushMu.Unlock()
	if l.flushing[part.Stream()] {
		return
	}
	var box outbox
	for _, a := range accounts {
		a.collectInto(l.Self, &box)
	}
	for _, c := range l.pendingCloses {
		if isOpen(part, c.Right) {
			box.returnsAndCloses = append(box.returnsAndCloses, splitClose(c)...)
		}
	}
	if len(box.bills)+len(box.returnsAndCloses) == 0 {
		return
	}
	l.flushing[part.Stream()] = true
	l.Go(func() {
		l.appendOutbox(part.Stream(), box)
		l.flushMu.Lock()
		defer l.flushMu.Unlock()
		l.flushing[part.Stream()] = false
	})
}

// appendOutbox appends an outbox in chunks and stops at the first error.
func (l *Ledger) appendOutbox(stream record.Stream, box outbox) {
	records := make([]record.Record, 0, len(box.bills)+len(box.returnsAndCloses))
	for _, b := range box.bills {
		records = append(records, b.bill)
	}
	records = append(records, box.returnsAndCloses...)
	for len(records) > 0 {
		n := min(len(records), maxRecordsPerAppend)
		if _, err := l.Log.Append(context.Background(), stream, records[:n]...); err != nil {
			return
		}
		done := min(len(box.bills), n)
		for _, b := range box.bills[:done] {
			b.account.markBilled(b)
		}
		records, box.bills = records[n:], box.bills[done:]
	}
}

// collectInto adds the account's pending records to an outbox. A retired grant
// without reservations is closed: its holder stops using it before the close
// is appended.
func (a *account) collectInto(self record.InstanceID, box *outbox) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, g := range a.grants {
		g.held.Flush()
		if g.retired && len(g.reservations) == 0 {
			g.held.Close()
			box.returnsAndCloses = append(box.returnsAndCloses, splitClose(g.closeRecord(self))...)
			continue
		}
		for id, b := range g.unbilled {
			box.bills = append(box.bills, queuedBill{account: a, grant: g, id: id, bill: b})
		}
		if g.pendingReturn != nil {
			box.returnsAndCloses = append(box.returnsAndCloses, *g.pendingReturn)
		}
	}
}

// closeRecord returns the record that closes a grant without reservations. It
// includes the bills that may not be on the log.
func (g *grant) closeRecord(self record.InstanceID) record.Close {
	c := record.Close{Right: g.rightID(), By: self}
	for _, b := range g.unbilled {
		c.Outstanding = append(c.Outstanding, record.Outstanding{Key: b.Key, Run: b.Run, Tokens: b.Tokens})
	}
	return c
}

// markBilled removes a bill that is on the log, from the witness as well.
func (a *account) markBilled(b queuedBill) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := b.grant.unbilled[b.id]; ok {
		delete(b.grant.unbilled, b.id)
		b.grant.held.Drop(b.id)
	}
}
