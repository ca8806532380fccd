package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/right"
)

// useID identifies a reservation within its grant.
type useID = right.UseID

// maxUsesPerClose is the most outstanding uses in one close, so that it fits a
// log entry. Further ones are appended as bills before the close.
const maxUsesPerClose = 1000

// pingDependents pings the instances that this one must act for if they fail:
// holders whose grants it witnesses, and instances for whose requests it holds
// reservations. It counts the failed pings in a row.
func (l *Ledger) pingDependents(ctx context.Context) {
	if l.Peers == nil {
		return
	}
	dependents := l.dependentInstances()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[record.InstanceID]bool{}
	for id := range dependents {
		wg.Add(1)
		go func() {
			defer wg.Done()
			err := l.callPeer(ctx, id, "Ping", PingArgs{}, &PingReply{})
			mu.Lock()
			defer mu.Unlock()
			answers[id] = err == nil
		}()
	}
	wg.Wait()
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	for id := range l.failedPings {
		if _, known := answers[id]; !known {
			delete(l.failedPings, id)
		}
	}
	for id, ok := range answers {
		if ok {
			delete(l.failedPings, id)
		} else {
			l.failedPings[id]++
		}
	}
}

// dependentInstances returns the instances to ping.
func (l *Ledger) dependentInstances() map[record.InstanceID]struct{} {
	ids := map[record.InstanceID]struct{}{}
	for _, part := range l.Partitions {
		part.View(func(f *fold.Ledger) {
			for _, g := range f.GrantsWitnessedBy(l.Self) {
				ids[g.Holder] = struct{}{}
			}
		})
	}
	for _, a := range l.allAccounts() {
		a.mu.Lock()
		for _, g := range a.grants {
			for _, h := range g.reservations {
				ids[h.requester] = struct{}{}
			}
		}
		a.mu.Unlock()
	}
	delete(ids, l.Self)
	return ids
}

// isPresumedDead reports whether an instance has failed SealAfterFailedPings
// pings in a row. Acting for an instance that is in fact alive is safe: once
// sealed, a grant can't be used by its holder.
func (l *Ledger) isPresumedDead(id record.InstanceID) bool {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	return l.failedPings[id] >= l.Options.SealAfterFailedPings
}

// handleDeadInstances seals the grants of dead holders, settles the
// reservations of dead requesters, and forgets rights that the fold has
// closed.
func (l *Ledger) handleDeadInstances() {
	for _, part := range l.Partitions {
		var rows []fold.Grant
		part.View(func(f *fold.Ledger) { rows = f.GrantsWitnessedBy(l.Self) })
		for _, row := range rows {
			if _, isSealed := l.pendingCloses[row.Right]; !isSealed && l.isPresumedDead(row.Holder) {
				l.sealGrant(part, row)
			}
		}
	}
	l.forgetClosedRights()
	for _, a := range l.allAccounts() {
		l.settleForDeadInstances(a)
	}
}

// sealGrant seals a grant whose holder is presumed dead and queues its close.
// Each acknowledged use is billed at its usage if that is known, otherwise at
// the reserved amount.
func (l *Ledger) sealGrant(part *replica.Replica[*fold.Ledger], row fold.Grant) {
	uses, err := l.witness.SealLocal(right.Terms{
		Right: row.Right, Holder: row.Holder, Witness: row.Witness, Stream: part.Stream(), Offset: row.Offset,
	})
	if err != nil {
		return // The fold has closed the grant meanwhile.
	}
	c := record.Close{Right: row.Right, By: l.Self}
	for _, use := range uses {
		c.Outstanding = append(c.Outstanding, use.Body)
	}
	l.queryUsages(c.Outstanding)
	l.pendingCloses[row.Right] = c
}

const (
	// maxConcurrentUsageQueries bounds the concurrent usage queries for one
	// seal.
	maxConcurrentUsageQueries = 16
	// usageQueryTimeout bounds all usage queries for one seal. A holder may
	// die with hundreds of runs, and this instance's own bills wait behind the
	// queries. Runs without a reply by then are billed at the reserved amount.
	usageQueryTimeout = 2 * time.Second
)

// queryUsages replaces reserved amounts by the usage that endpoints report.
func (l *Ledger) queryUsages(outstanding []record.Outstanding) {
	if l.Usages == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), usageQueryTimeout)
	defer cancel()
	var queries errgroup.Group
	queries.SetLimit(maxConcurrentUsageQueries)
	for i := range outstanding {
		queries.Go(func() error {
			outstanding[i].Tokens = l.billableTokens(ctx, outstanding[i])
			return nil
		})
	}
	_ = queries.Wait()
}

// billableTokens returns the tokens to bill for a run of a dead instance: the
// usage that its endpoint reports, at most the reserved amount; otherwise all
// reserved tokens.
func (l *Ledger) billableTokens(ctx context.Context, o record.Outstanding) int64 {
	if l.Usages == nil {
		return o.Tokens
	}
	if tokens, known := l.Usages.Usage(ctx, o.Run); known && tokens >= 0 {
		return min(tokens, o.Tokens)
	}
	return o.Tokens
}

// forgetClosedRights removes rights that the fold has closed from the witness.
func (l *Ledger) forgetClosedRights() {
	var adopted []right.Terms
	l.witness.WithLockedWitness(func(w *right.Witness[record.Outstanding]) { adopted = w.Rights() })
	for _, t := range adopted {
		part, ok := l.Partitions.ByStream(t.Stream)
		if !ok || !isOpen(part, t.Right) {
			l.witness.Forget(t.Right)
			delete(l.pendingCloses, t.Right)
		}
	}
}

// settleForDeadInstances settles the reservations that this instance holds for
// dead instances.
func (l *Ledger) settleForDeadInstances(a *account) {
	var ended []Reservation
	var outstanding []record.Outstanding
	a.mu.Lock()
	for _, g := range a.grants {
		for id, h := range g.reservations {
			if h.confirmed && h.requester != l.Self && l.isPresumedDead(h.requester) {
				ended = append(ended, Reservation{Right: g.rightID(), ID: id})
				outstanding = append(outstanding, h.outstanding)
			}
		}
	}
	a.mu.Unlock()
	l.queryUsages(outstanding)
	for i, r := range ended {
		a.settle(r, outstanding[i].Tokens, l.Now())
	}
}

// isOpen reports whether a grant is open in a partition.
func isOpen(part *replica.Replica[*fold.Ledger], id record.RightID) bool {
	open := false
	part.View(func(f *fold.Ledger) {
		g, ok := f.Grant(id)
		open = ok && !g.Closed
	})
	return open
}

// splitClose returns a close as records that each fit a log entry: bills for
// the excess uses, then the close.
func splitClose(c record.Close) []record.Record {
	var out []record.Record
	for len(c.Outstanding) > maxUsesPerClose {
		o := c.Outstanding[0]
		c.Outstanding = c.Outstanding[1:]
		out = append(out, record.Bill{Key: o.Key, Right: c.Right, Run: o.Run, Tokens: o.Tokens})
	}
	return append(out, c)
}

// ForceClose closes a grant on an operator's decision that its holder and its
// witness, if any, are permanently lost. Its unbilled tokens return to the
// budget. It returns the closed grant, or ErrNoGrant. After any other error
// the close may still take effect.
//
// The operator accepts a risk: requests that the holder ran and hadn't billed
// stay unbilled, and a holder that is alive after all may continue to spend
// until it reads the close, so that the team receives more than it prepaid.
func (l *Ledger) ForceClose(ctx context.Context, id record.RightID) (fold.Grant, error) {
	for _, part := range l.Partitions {
		if !isOpen(part, id) {
			continue
		}
		offset, err := l.Log.Append(ctx, part.Stream(), record.Close{Right: id, By: l.Self, Forced: true})
		if err == nil {
			err = part.AwaitOffset(ctx, offset)
		}
		if err != nil {
			return fold.Grant{}, eris.Wrap(err, "ledger: forced close not confirmed, it may have taken effect")
		}
		var row fold.Grant
		part.View(func(f *fold.Ledger) { row, _ = f.Grant(id) })
		return row, nil
	}
	return fold.Grant{}, ErrNoGrant
}
