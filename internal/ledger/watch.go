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

type useID = right.UseID

// maxUsesPerClose is how many outstanding uses one close carries, so that it
// fits an entry of the log. More go ahead of it as bills.
const maxUsesPerClose = 1000

// pingDependents calls the instances that this one would have to act for: holders whose
// grants it witnesses, and instances whose requests it holds reservations of.
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

func (l *Ledger) dependentInstances() map[record.InstanceID]struct{} {
	ids := map[record.InstanceID]struct{}{}
	for _, part := range l.Partitions {
		part.View(func(f *fold.Ledger) {
			for _, g := range f.WitnessedBy(l.Self) {
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

// isPresumedDead says whether it is time to try to act without an instance. That it may
// still live is safe: a seal holds whatever its holder does.
func (l *Ledger) isPresumedDead(id record.InstanceID) bool {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	return l.failedPings[id] >= l.Options.SealAfterFailedPings
}

// takeOverDead seals the grants of holders that are gone, settles the reservations of
// instances that are gone, and forgets rights that the fold has closed.
func (l *Ledger) takeOverDead() {
	for _, part := range l.Partitions {
		var rows []fold.Grant
		part.View(func(f *fold.Ledger) { rows = f.WitnessedBy(l.Self) })
		for _, row := range rows {
			if _, isSealed := l.pendingCloses[row.Right]; !isSealed && l.isPresumedDead(row.Holder) {
				l.sealGrant(part, row)
			}
		}
	}
	l.forgetClosedRights()
	for _, a := range l.allAccounts() {
		l.settleForDead(a)
	}
}

// sealGrant ends a grant whose holder is gone. The holder's acknowledged uses are
// billed at what is known of them: their usage, or what they reserved.
func (l *Ledger) sealGrant(part *replica.Replica[*fold.Ledger], row fold.Grant) {
	uses, err := l.witness.SealLocal(right.Terms{
		Right: row.Right, Holder: row.Holder, Witness: row.Witness, Stream: part.Stream(), Offset: row.Offset,
	})
	if err != nil {
		return // The fold has closed it meanwhile.
	}
	c := record.Close{Right: row.Right, By: l.Self}
	for _, use := range uses {
		c.Outstanding = append(c.Outstanding, use.Body)
	}
	l.queryUsages(c.Outstanding)
	l.pendingCloses[row.Right] = c
}

const (
	// maxConcurrentUsageQueries bounds the questions of one seal that are open at once.
	maxConcurrentUsageQueries = 16
	// usageQueryTimeout bounds all questions of one seal. Load: a holder that died
	// with hundreds of runs. Harm prevented: bills of this instance that wait
	// behind them. What is not known by then is billed as reserved.
	usageQueryTimeout = 2 * time.Second
)

// queryUsages replaces reserved amounts by usages where endpoints know them.
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

// billableTokens returns what a run of a gone instance is billed: what its endpoint
// says, at most what was reserved; else all that was reserved.
func (l *Ledger) billableTokens(ctx context.Context, o record.Outstanding) int64 {
	if l.Usages == nil {
		return o.Tokens
	}
	if tokens, known := l.Usages.Usage(ctx, o.Run); known && tokens >= 0 {
		return min(tokens, o.Tokens)
	}
	return o.Tokens
}

func (l *Ledger) forgetClosedRights() {
	var adopted []right.Terms
	l.witness.WithWitness(func(w *right.Witness[record.Outstanding]) { adopted = w.Rights() })
	for _, t := range adopted {
		part, ok := l.Partitions.ByStream(t.Stream)
		if !ok || !isOpen(part, t.Right) {
			l.witness.Forget(t.Right)
			delete(l.pendingCloses, t.Right)
		}
	}
}

// settleForDead ends the reservations that this instance holds for instances that
// are gone.
func (l *Ledger) settleForDead(a *account) {
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

func isOpen(part *replica.Replica[*fold.Ledger], id record.RightID) bool {
	open := false
	part.View(func(f *fold.Ledger) {
		g, ok := f.Grant(id)
		open = ok && !g.Closed
	})
	return open
}

// splitClose returns a close as records that fit an entry of the log.
func splitClose(c record.Close) []record.Record {
	var out []record.Record
	for len(c.Outstanding) > maxUsesPerClose {
		o := c.Outstanding[0]
		c.Outstanding = c.Outstanding[1:]
		out = append(out, record.Bill{Key: o.Key, Right: c.Right, Run: o.Run, Tokens: o.Tokens})
	}
	return append(out, c)
}

// ForceClose closes a grant whose holder, and witness if any, are gone for
// good; an operator says so. The tokens that are not billed go back to the
// budget. The risk is the operator's: requests that the holder ran and had not
// billed yet stay unbilled, and if it is alive after all it may go on spending
// until it reads the close, so that the team gets more than it prepaid.
func (l *Ledger) ForceClose(ctx context.Context, id record.RightID) (fold.Grant, error) {
	for _, part := range l.Partitions {
		if !isOpen(part, id) {
			continue
		}
		offset, err := l.Log.Append(ctx, part.Stream(), record.Close{Right: id, By: l.Self, Forced: true})
		if err == nil {
			err = part.Wait(ctx, offset)
		}
		if err != nil {
			return fold.Grant{}, eris.Wrap(err, "ledger: the forced close may have taken effect")
		}
		var row fold.Grant
		part.View(func(f *fold.Ledger) { row, _ = f.Grant(id) })
		return row, nil
	}
	return fold.Grant{}, ErrNoGrant
}
