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

// maxOutstanding is how many outstanding uses one close carries, so that it
// fits an entry of the log. More go ahead of it as bills.
const maxOutstanding = 1000

// probe calls the instances that this one would have to act for: holders whose
// grants it witnesses, and instances whose requests it holds reservations of.
func (l *Ledger) probe(ctx context.Context) {
	if l.Peers == nil {
		return
	}
	ids := l.partners()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[record.InstanceID]bool{}
	for id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			err := l.call(ctx, id, "Ping", PingArgs{}, &PingReply{})
			mu.Lock()
			defer mu.Unlock()
			answers[id] = err == nil
		}()
	}
	wg.Wait()
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	for id := range l.silent {
		if _, known := answers[id]; !known {
			delete(l.silent, id)
		}
	}
	for id, ok := range answers {
		if ok {
			delete(l.silent, id)
		} else {
			l.silent[id]++
		}
	}
}

func (l *Ledger) partners() map[record.InstanceID]struct{} {
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
			for _, h := range g.reserved {
				ids[h.from] = struct{}{}
			}
		}
		a.mu.Unlock()
	}
	delete(ids, l.Self)
	return ids
}

// gone says whether it is time to try to act without an instance. That it may
// still live is safe: a seal holds whatever its holder does.
func (l *Ledger) gone(id record.InstanceID) bool {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	return l.silent[id] >= l.Options.SealTries
}

// watch seals the grants of holders that are gone, settles the reservations of
// instances that are gone, and forgets rights that the fold has closed.
func (l *Ledger) watch() {
	for _, part := range l.Partitions {
		var rows []fold.Grant
		part.View(func(f *fold.Ledger) { rows = f.GrantsWitnessedBy(l.Self) })
		for _, row := range rows {
			if _, sealed := l.closing[row.Right]; !sealed && l.gone(row.Holder) {
				l.seal(part, row)
			}
		}
	}
	l.forgetClosed()
	for _, a := range l.allAccounts() {
		l.settleGone(a)
	}
}

// seal ends a grant whose holder is gone. The holder's acknowledged uses are
// billed at what is known of them: their usage, or what they reserved.
func (l *Ledger) seal(part *replica.Replica[*fold.Ledger], row fold.Grant) {
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
	l.askUsages(c.Outstanding)
	l.closing[row.Right] = c
}

const (
	// askUsageAtOnce bounds the questions of one seal that are open at once.
	askUsageAtOnce = 16
	// askUsageFor bounds all questions of one seal. Load: a holder that died
	// with hundreds of runs. Harm prevented: bills of this instance that wait
	// behind them. What is not known by then is billed as reserved.
	askUsageFor = 2 * time.Second
)

// askUsages replaces reserved amounts by usages where endpoints know them.
func (l *Ledger) askUsages(outstanding []record.Outstanding) {
	if l.Usages == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askUsageFor)
	defer cancel()
	var asked errgroup.Group
	asked.SetLimit(askUsageAtOnce)
	for i := range outstanding {
		asked.Go(func() error {
			outstanding[i].Tokens = l.usage(ctx, outstanding[i])
			return nil
		})
	}
	_ = asked.Wait()
}

// usage returns what a run of a gone instance is billed: what its endpoint
// says, at most what was reserved; else all that was reserved.
func (l *Ledger) usage(ctx context.Context, o record.Outstanding) int64 {
	if l.Usages == nil {
		return o.Tokens
	}
	if tokens, known := l.Usages.Usage(ctx, o.Run); known && tokens >= 0 {
		return min(tokens, o.Tokens)
	}
	return o.Tokens
}

func (l *Ledger) forgetClosed() {
	var adopted []right.Terms
	l.witness.Look(func(w *right.Witness[record.Outstanding]) { adopted = w.Rights() })
	for _, t := range adopted {
		part, ok := l.Partitions.Stream(t.Stream)
		if !ok || !openIn(part, t.Right) {
			l.witness.Forget(t.Right)
			delete(l.closing, t.Right)
		}
	}
}

// settleGone ends the reservations that this instance holds for instances that
// are gone.
func (l *Ledger) settleGone(a *account) {
	var ended []Reservation
	var outstanding []record.Outstanding
	a.mu.Lock()
	for _, g := range a.grants {
		for id, h := range g.reserved {
			if h.counted && h.from != l.Self && l.gone(h.from) {
				ended = append(ended, Reservation{Right: g.right(), ID: id})
				outstanding = append(outstanding, h.outstanding)
			}
		}
	}
	a.mu.Unlock()
	l.askUsages(outstanding)
	for i, r := range ended {
		a.settle(r, outstanding[i].Tokens, l.Now())
	}
}

func openIn(part *replica.Replica[*fold.Ledger], id record.RightID) bool {
	open := false
	part.View(func(f *fold.Ledger) {
		g, ok := f.Grant(id)
		open = ok && !g.Closed
	})
	return open
}

// split returns a close as records that fit an entry of the log.
func split(c record.Close) []record.Record {
	var out []record.Record
	for len(c.Outstanding) > maxOutstanding {
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
		if !openIn(part, id) {
			continue
		}
		offset, err := l.Log.Append(ctx, part.Stream(), record.Close{Right: id, By: l.Self, Forced: true})
		if err == nil {
			err = part.AwaitOffset(ctx, offset)
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
