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
	// maxGrantAttempts bounds how often a renewal asks for a grant that the fold
	// calls void, since others were faster.
	maxGrantAttempts = 4
	// fruitlessRequestPause is how long nobody is asked again for tokens after asking
	// brought none. Load: an empty budget under many requests. Harm prevented:
	// calls and appends for each refused request.
	fruitlessRequestPause = 250 * time.Millisecond
)

// refill is one attempt to get a grant, shared by all that wait for it.
type refill struct {
	tokens int64
	done   chan struct{}
	err    error // Set before done closes.
}

// awaitRefill returns once there is a new grant, or says why there is none for a
// request of this size. A smaller request does not take the word of a
// renewal for a larger one.
func (l *Ledger) awaitRefill(ctx context.Context, a *account, tokens int64) error {
	for {
		r := l.startRefill(a, tokens, func(f func()) { go f() })
		select {
		case <-r.done:
		case <-ctx.Done():
			return &Stranded{Reason: "no grant in time", RetryAfter: unavailableRetryAfter}
		}
		if r.err == nil || r.tokens == tokens {
			return r.err
		}
		if r.tokens < tokens && r.tokens > 0 && errors.Is(r.err, ErrExhausted) {
			return r.err
		}
	}
}

// startRefill joins the renewal under way or starts one.
func (l *Ledger) startRefill(a *account, tokens int64, spawn func(func())) *refill {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refill != nil {
		return a.refill
	}
	r := &refill{tokens: tokens, done: make(chan struct{})}
	a.refill = r
	spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.Options.GrantTimeout)
		defer cancel()
		err := l.acquireGrant(ctx, a, tokens)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.refill = nil
		if err != nil && tokens == 0 {
			a.refillPausedUntil = l.Now().Add(fruitlessRequestPause)
		}
		r.err = err
		close(r.done)
	})
	return r
}

// refillAhead asks for the next grant before the free tokens run out, and when
// the witness of a grant is leaving or gone.
func (l *Ledger) refillAhead(a *account) {
	now := l.Now()
	live := l.liveInstances()
	keepsRemote := l.keepsRemoteSpare(live)
	a.mu.Lock()
	isDue := a.refill == nil && !now.Before(a.refillPausedUntil) && (l.needsRefill(a, now, keepsRemote) || a.hasLeavingWitness(live))
	a.mu.Unlock()
	if isDue {
		l.startRefill(a, 0, l.Go)
	}
}

// needsRefill says whether a grant is due ahead. It is called with the account's lock
// held.
func (l *Ledger) needsRefill(a *account, now time.Time, keepsRemote bool) bool {
	d := l.sizingInput(a, now)
	if !keepsRemote {
		return NeedsRefill(d)
	}
	d.FreeTokens = a.freeTokensBy(false)
	if NeedsRefill(d) {
		return true
	}
	d.FreeTokens = a.freeTokensBy(true)
	return NeedsRefill(d)
}

// wantsRemoteWitness says whether the next grant ahead is one with a far witness: the
// near ones are full.
func (l *Ledger) wantsRemoteWitness(a *account, keepsRemote bool) bool {
	if !keepsRemote {
		return false
	}
	now := l.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	d := l.sizingInput(a, now)
	d.FreeTokens = a.freeTokensBy(false)
	return !NeedsRefill(d)
}

// sizingInput is called with the account's lock held. It lacks what the fold knows.
func (l *Ledger) sizingInput(a *account, now time.Time) SizingInput {
	return SizingInput{
		ConsumptionRate: a.consumption.perSecond(now), RequestTokens: a.lastWorstCase, FreeTokens: a.freeTokens(),
		InitialGrant: l.Options.InitialGrantTokens, Conservatism: l.Conservatism(a.budget),
	}
}

// acquireGrant gets one grant of at least need tokens; need is 0 for one ahead.
func (l *Ledger) acquireGrant(ctx context.Context, a *account, need int64) error {
	var err error
	for range maxGrantAttempts {
		var view budgetView
		if view, err = l.viewBudget(a); err != nil {
			return err
		}
		if view.ungranted() < need {
			if err = l.reclaim(ctx, a, need, view); err != nil {
				return err
			}
			if view, err = l.viewBudget(a); err != nil {
				return err
			}
		}
		keepsRemote := l.keepsRemoteSpare(l.liveInstances())
		remoteWitness := need == 0 && l.wantsRemoteWitness(a, keepsRemote)
		witness := l.chooseWitness(a, remoteWitness)
		var size int64
		size, err = l.grantSize(a, need, view, grantKind{unwitnessed: witness == "", keepsRemote: keepsRemote, remoteWitness: remoteWitness})
		if err != nil || size == 0 {
			return err
		}
		var granted bool
		if granted, err = l.appendAndAdopt(ctx, a, size, witness); granted || err != nil {
			return err
		}
	}
	return &Stranded{Reason: "others drew faster", RetryAfter: reservedRetryAfter}
}

// grantKind is the kind of grant to size.
type grantKind struct{ unwitnessed, keepsRemote, remoteWitness bool }

// grantSize returns the grantSize of the grant to ask for, 0 for none. While peers exist
// but none can be witness, one grant without a witness is enough, and a small
// one: what is left of it is lost with its holder.
func (l *Ledger) grantSize(a *account, need int64, view budgetView, kind grantKind) (int64, error) {
	now := l.Now()
	witnessMissing := kind.unwitnessed && len(l.liveInstances()) > 1
	a.mu.Lock()
	defer a.mu.Unlock()
	if need > 0 && view.ungranted() < need {
		return 0, l.refusalError(a, need, view)
	}
	d := l.sizingInput(a, now)
	d.UngrantedTokens, d.OtherHolders = view.ungranted(), view.otherHolders(l.Self)
	if kind.keepsRemote {
		d.FreeTokens = a.freeTokensBy(kind.remoteWitness)
	}
	if witnessMissing {
		d.ConsumptionRate, d.InitialGrant = 0, l.Options.InitialGrantTokens
	}
	if need > 0 {
		d.RequestTokens = need
		return GrantSize(d), nil
	}
	size := GrantSize(d)
	if size < d.RequestTokens*minRequestsPerGrant || (witnessMissing && !NeedsRefill(d)) {
		a.refillPausedUntil = now.Add(fruitlessRequestPause)
		return 0, nil
	}
	return size, nil
}

// refusalError tells an empty budget from one that is out of reach. It is called
// with the account's lock held.
func (l *Ledger) refusalError(a *account, need int64, view budgetView) error {
	if view.budget.Prepaid-view.budget.Billed-a.unbilledTokens() < need {
		return ErrExhausted
	}
	if view.otherHolders(l.Self) > 0 {
		return &Stranded{Reason: "the tokens left are in other instances' grants", RetryAfter: unavailableRetryAfter}
	}
	return &Stranded{Reason: "running requests have reserved the tokens left", RetryAfter: reservedRetryAfter}
}

// appendAndAdopt asks for a grant. won is false if the fold voided it.
func (l *Ledger) appendAndAdopt(ctx context.Context, a *account, size int64, witness record.InstanceID) (granted bool, err error) {
	grant := record.Grant{Right: record.NewRightID(), Budget: a.budget, Tokens: size, Holder: l.Self, Witness: witness, Zone: l.Zone}
	offset, err := l.appendGrant(ctx, a, grant)
	if err == nil {
		err = a.partition.Wait(ctx, offset)
	}
	if err != nil {
		// It may still reach the log. Then sync finds it in the fold.
		return false, &Stranded{Reason: "the log does not answer", RetryAfter: unavailableRetryAfter}
	}
	var row fold.Grant
	a.partition.View(func(f *fold.Ledger) { row, granted = f.Grant(grant.Right) })
	if granted && !row.Closed {
		l.adopt(a, row)
	}
	return granted, nil
}

type appendResult struct {
	offset uint64
	err    error
}

// appendGrant appends a grant and waits for the answer as long as ctx lasts.
// The append itself goes on, and there is no second one for this account
// meanwhile. Harm prevented: a grant for every refused request of a long
// outage, all valid at its end.
func (l *Ledger) appendGrant(ctx context.Context, a *account, grant record.Grant) (uint64, error) {
	a.mu.Lock()
	if a.appendPending {
		a.mu.Unlock()
		return 0, ErrStranded
	}
	a.appendPending = true
	a.mu.Unlock()
	done := make(chan appendResult, 1)
	go func() {
		offset, err := l.Log.Append(context.Background(), a.partition.Stream(), grant)
		a.mu.Lock()
		a.appendPending = false
		a.mu.Unlock()
		done <- appendResult{offset: offset, err: err}
	}()
	select {
	case result := <-done:
		return result.offset, result.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// adopt adds a grant that the fold calls valid, once, and retires those that
// it replaces.
func (l *Ledger) adopt(a *account, row fold.Grant) {
	if a.hasGrant(row.Right) {
		return
	}
	live := l.liveInstances()
	remoteWitness := row.Witness != "" && l.keepsRemoteSpare(live) && !instancesInZone(live, l.Zone)[row.Witness]
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.findGrant(row.Right) != nil {
		return
	}
	for _, g := range a.grants {
		witness := g.held.Terms().Witness
		if witness != "" && !isStaying(witness, live) {
			g.retired = true
		}
	}
	a.grants = append(a.grants, &grant{
		held: right.NewHeldRight(right.Terms{
			Right: row.Right, Holder: row.Holder, Witness: row.Witness, Stream: a.partition.Stream(), Offset: row.Offset,
		}, l.batcher),
		free: row.Tokens, returnSeq: row.Returns, remoteWitness: remoteWitness,
		reservations: map[right.UseID]*openReservation{}, unbilled: map[right.UseID]record.Bill{},
	})
	if a.lastUse.IsZero() {
		a.lastUse = l.Now()
	}
	a.retireDepleted()
}

// retireDepleted retires grants that are too small for the last request while
// the newest one is not, so that few stay open. It is called with the lock
// held.
func (a *account) retireDepleted() {
	for _, g := range a.grants[:len(a.grants)-1] {
		if g.free < a.lastWorstCase {
			g.retired = true
		}
	}
}

func (a *account) hasGrant(id record.RightID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.findGrant(id) != nil
}
