package ledger

import (
	"context"
	"errors"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/right"
)

const (
	// renewTries bounds how often a renewal asks for a grant that the fold
	// calls void, since others were faster.
	renewTries = 4
	// askPause is how long nobody is asked again for tokens after asking
	// brought none. Load: an empty budget under many requests. Harm prevented:
	// calls and appends for each refused request.
	askPause = 250 * time.Millisecond
)

// renewal is one attempt to get a grant, shared by all that wait for it.
type renewal struct {
	need int64
	done chan struct{}
	err  error // Set before done closes.
}

// renewFor returns once there is a new grant, or says why there is none for a
// request of this size. A smaller request does not take the word of a
// renewal for a larger one.
func (l *Ledger) renewFor(ctx context.Context, a *account, need int64) error {
	for {
		r := l.startRenewal(a, need, func(f func()) { go f() })
		select {
		case <-r.done:
		case <-ctx.Done():
			return &Stranded{Reason: "no grant in time", RetryAfter: retryStopped}
		}
		if r.err == nil || r.need == need {
			return r.err
		}
		if r.need < need && r.need > 0 && errors.Is(r.err, ErrExhausted) {
			return r.err
		}
	}
}

// startRenewal joins the renewal under way or starts one.
func (l *Ledger) startRenewal(a *account, need int64, spawn func(func())) *renewal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.renewal != nil {
		return a.renewal
	}
	r := &renewal{need: need, done: make(chan struct{})}
	a.renewal = r
	spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.Options.Patience)
		defer cancel()
		err := l.renew(ctx, a, need)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.renewal = nil
		if err != nil && need == 0 {
			a.askAgain = l.Now().Add(askPause)
		}
		r.err = err
		close(r.done)
	})
	return r
}

// renewAhead asks for the next grant before the free tokens run out, and when
// the witness of a grant is leaving or gone.
func (l *Ledger) renewAhead(a *account) {
	now := l.Now()
	live := l.live()
	keepsFar := l.keepsFar(live)
	a.mu.Lock()
	due := a.renewal == nil && !now.Before(a.askAgain) && (l.low(a, now, keepsFar) || a.witnessLeaves(live))
	a.mu.Unlock()
	if due {
		l.startRenewal(a, 0, l.Go)
	}
}

// low says whether a grant is due ahead. It is called with the account's lock
// held.
func (l *Ledger) low(a *account, now time.Time, keepsFar bool) bool {
	d := l.demand(a, now)
	if !keepsFar {
		return Low(d)
	}
	d.Free = a.freeOf(false)
	if Low(d) {
		return true
	}
	d.Free = a.freeOf(true)
	return Low(d)
}

// wantsFar says whether the next grant ahead is one with a far witness: the
// near ones are full.
func (l *Ledger) wantsFar(a *account, keepsFar bool) bool {
	if !keepsFar {
		return false
	}
	now := l.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	d := l.demand(a, now)
	d.Free = a.freeOf(false)
	return !Low(d)
}

// demand is called with the account's lock held. It lacks what the fold knows.
func (l *Ledger) demand(a *account, now time.Time) Demand {
	return Demand{
		Rate: a.draw.perSecond(now), Need: a.need, Free: a.free(),
		First: l.Options.GrantTokens, Lean: l.Lean(a.budget),
	}
}

// renew gets one grant of at least need tokens; need is 0 for one ahead.
func (l *Ledger) renew(ctx context.Context, a *account, need int64) error {
	var err error
	for range renewTries {
		var view budgetView
		if view, err = l.view(a); err != nil {
			return err
		}
		if view.left() < need {
			if err = l.reclaim(ctx, a, need, view); err != nil {
				return err
			}
			if view, err = l.view(a); err != nil {
				return err
			}
		}
		keepsFar := l.keepsFar(l.live())
		far := need == 0 && l.wantsFar(a, keepsFar)
		witness := l.chooseWitness(a, far)
		var size int64
		size, err = l.size(a, need, view, sizing{unwitnessed: witness == "", keepsFar: keepsFar, far: far})
		if err != nil || size == 0 {
			return err
		}
		var won bool
		if won, err = l.append(ctx, a, size, witness); won || err != nil {
			return err
		}
	}
	return &Stranded{Reason: "others drew faster", RetryAfter: retryBusy}
}

// sizing is the kind of grant to size.
type sizing struct{ unwitnessed, keepsFar, far bool }

// size returns the size of the grant to ask for, 0 for none. While peers exist
// but none can be witness, one grant without a witness is enough, and a small
// one: what is left of it is lost with its holder.
func (l *Ledger) size(a *account, need int64, view budgetView, kind sizing) (int64, error) {
	now := l.Now()
	cautious := kind.unwitnessed && len(l.live()) > 1
	a.mu.Lock()
	defer a.mu.Unlock()
	if need > 0 && view.left() < need {
		return 0, l.refusal(a, need, view)
	}
	d := l.demand(a, now)
	d.Left, d.Holders = view.left(), view.others(l.Self)
	if kind.keepsFar {
		d.Free = a.freeOf(kind.far)
	}
	if cautious {
		d.Rate, d.First = 0, l.Options.GrantTokens
	}
	if need > 0 {
		d.Need = need
		return GrantSize(d), nil
	}
	size := GrantSize(d)
	if size < d.Need*needsInGrant || (cautious && !Low(d)) {
		a.askAgain = now.Add(askPause)
		return 0, nil
	}
	return size, nil
}

// refusal tells an empty budget from one that is out of reach. It is called
// with the account's lock held.
func (l *Ledger) refusal(a *account, need int64, view budgetView) error {
	if view.row.Prepaid-view.row.Billed-a.unbilledTokens() < need {
		return ErrExhausted
	}
	if view.others(l.Self) > 0 {
		return &Stranded{Reason: "the tokens left are in other instances' grants", RetryAfter: retryStopped}
	}
	return &Stranded{Reason: "running requests have reserved the tokens left", RetryAfter: retryBusy}
}

// append asks for a grant. won is false if the fold voided it.
func (l *Ledger) append(ctx context.Context, a *account, size int64, witness record.InstanceID) (won bool, err error) {
	grant := record.Grant{Right: record.NewRightID(), Budget: a.budget, Tokens: size, Holder: l.Self, Witness: witness, Zone: l.Zone}
	offset, err := l.appendGrant(ctx, a, grant)
	if err == nil {
		err = a.part.AwaitOffset(ctx, offset)
	}
	if err != nil {
		// It may still reach the log. Then sync finds it in the fold.
		return false, &Stranded{Reason: "the log does not answer", RetryAfter: retryStopped}
	}
	var row fold.Grant
	a.part.View(func(f *fold.Ledger) { row, won = f.Grant(grant.Right) })
	if won && !row.Closed {
		l.adopt(a, row)
	}
	return won, nil
}

type appended struct {
	offset uint64
	err    error
}

// appendGrant appends a grant and waits for the answer as long as ctx lasts.
// The append itself goes on, and there is no second one for this account
// meanwhile. Harm prevented: a grant for every refused request of a long
// outage, all valid at its end.
func (l *Ledger) appendGrant(ctx context.Context, a *account, grant record.Grant) (uint64, error) {
	a.mu.Lock()
	if a.appending {
		a.mu.Unlock()
		return 0, ErrStranded
	}
	a.appending = true
	a.mu.Unlock()
	done := make(chan appended, 1)
	go func() {
		offset, err := l.Log.Append(context.Background(), a.part.Stream(), grant)
		a.mu.Lock()
		a.appending = false
		a.mu.Unlock()
		done <- appended{offset: offset, err: err}
	}()
	select {
	case got := <-done:
		return got.offset, got.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// adopt adds a grant that the fold calls valid, once, and retires those that
// it replaces.
func (l *Ledger) adopt(a *account, row fold.Grant) {
	if a.has(row.Right) {
		return
	}
	live := l.live()
	far := row.Witness != "" && l.keepsFar(live) && !zonesOf(live, l.Zone)[row.Witness]
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.find(row.Right) != nil {
		return
	}
	for _, g := range a.grants {
		witness := g.held.Terms().Witness
		if witness != "" && !stays(witness, live) {
			g.retired = true
		}
	}
	a.grants = append(a.grants, &grant{
		held: right.NewHeld(right.Terms{
			Right: row.Right, Holder: row.Holder, Witness: row.Witness, Stream: a.part.Stream(), Offset: row.Offset,
		}, l.batcher),
		free: row.Tokens, returns: row.Returns, far: far,
		reserved: map[right.UseID]*hold{}, unbilled: map[right.UseID]record.Bill{},
	})
	if a.lastUse.IsZero() {
		a.lastUse = l.Now()
	}
	a.retireDrained()
}

// retireDrained retires grants that are too small for the last request while
// the newest one is not, so that few stay open. It is called with the lock
// held.
func (a *account) retireDrained() {
	for _, g := range a.grants[:len(a.grants)-1] {
		if g.free < a.need {
			g.retired = true
		}
	}
}

func (a *account) has(id record.RightID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.find(id) != nil
}
