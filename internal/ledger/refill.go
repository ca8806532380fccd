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
	// maxGrantAttempts is how often a refill appends a grant. The fold voids a
	// grant that exceeds the budget because another instance's grant precedes
	// it on the log.
	maxGrantAttempts = 4
	// requestBackoff is the pause between requests for tokens after one that
	// brought none. It prevents calls and appends for each refused request of
	// an exhausted budget under load.
	requestBackoff = 250 * time.Millisecond
)

// refill is one attempt to get a grant of at least the given number of tokens,
// or a grant ahead of need if that is 0. All requests that wait for a grant of
// the budget share it.
type refill struct {
	tokens int64
	done   chan struct{}
	err    error // Set before done is closed.
}

// awaitRefill returns nil once there is a new grant. Otherwise its error says
// why there is none for a request of this size. The failure of a refill for a
// larger request doesn't apply to a smaller one, which then starts its own.
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

// startRefill returns the refill in progress or starts one.
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
			a.refillPausedUntil = l.Now().Add(requestBackoff)
		}
		r.err = err
		close(r.done)
	})
	return r
}

// refillAhead starts a refill before the free tokens run out, and when the
// witness of a usable grant is leaving or no longer listed.
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

// needsRefill reports whether a grant should be requested ahead of need. With
// keepsRemote, grants with a witness in another zone are counted separately.
// The caller holds a.mu.
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

// wantsRemoteWitness reports whether the next grant ahead of need should have
// its witness in another zone: the other grants have enough free tokens.
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

// sizingInput returns what this instance itself knows for sizing a grant,
// without the quantities from the fold. The caller holds a.mu.
func (l *Ledger) sizingInput(a *account, now time.Time) SizingInput {
	return SizingInput{
		ConsumptionRate: a.consumption.perSecond(now), RequestTokens: a.lastRequestTokens, FreeTokens: a.freeTokens(),
		InitialGrant: l.Options.InitialGrantTokens, Conservatism: l.Conservatism(a.budget),
	}
}

// acquireGrant gets a grant of at least need tokens. With need 0 it gets a
// grant ahead of need, or none if none is worthwhile.
func (l *Ledger) acquireGrant(ctx context.Context, a *account, need int64) error {
	var err error
	for range maxGrantAttempts {
		var view budgetView
		if view, err = l.viewBudget(a); err != nil {
			return err
		}
		if view.ungrantedTokens() < need {
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

// grantKind holds the properties of a grant that affect its size.
type grantKind struct{ unwitnessed, keepsRemote, remoteWitness bool }

// grantSize returns the number of tokens to request, or 0 for no grant. If
// peers exist but none can be witness, one grant without a witness suffices,
// and it is kept small: its remaining tokens are lost if its holder fails.
func (l *Ledger) grantSize(a *account, need int64, view budgetView, kind grantKind) (int64, error) {
	now := l.Now()
	witnessMissing := kind.unwitnessed && len(l.liveInstances()) > 1
	a.mu.Lock()
	defer a.mu.Unlock()
	if need > 0 && view.ungrantedTokens() < need {
		return 0, l.refusalError(a, need, view)
	}
	d := l.sizingInput(a, now)
	d.UngrantedTokens, d.OtherHolders = view.ungrantedTokens(), view.otherHolders(l.Self)
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
		a.refillPausedUntil = now.Add(requestBackoff)
		return 0, nil
	}
	return size, nil
}

// refusalError returns ErrExhausted if the budget has too few tokens left for
// the request, or a *Stranded error if there are enough but this instance
// can't use them now. The caller holds a.mu.
func (l *Ledger) refusalError(a *account, need int64, view budgetView) error {
	if view.budget.Prepaid-view.budget.Billed-a.unbilledTokens() < need {
		return ErrExhausted
	}
	if view.otherHolders(l.Self) > 0 {
		return &Stranded{Reason: "the tokens left are in other instances' grants", RetryAfter: unavailableRetryAfter}
	}
	return &Stranded{Reason: "running requests have reserved the tokens left", RetryAfter: reservedRetryAfter}
}

// appendAndAdopt appends a grant and adopts it once the fold has applied it.
// granted is false if the fold voided the grant.
func (l *Ledger) appendAndAdopt(ctx context.Context, a *account, size int64, witness record.InstanceID) (granted bool, err error) {
	grant := record.Grant{Right: record.NewRightID(), Budget: a.budget, Tokens: size, Holder: l.Self, Witness: witness, Zone: l.Zone}
	offset, err := l.appendGrant(ctx, a, grant)
	if err == nil {
		err = a.partition.AwaitOffset(ctx, offset)
	}
	if err != nil {
		// It may still reach the log. Then syncAccounts finds it in the fold.
		return false, &Stranded{Reason: "the log does not answer", RetryAfter: unavailableRetryAfter}
	}
	var row fold.Grant
	a.partition.View(func(f *fold.Ledger) { row, granted = f.Grant(grant.Right) })
	if granted && !row.Closed {
		l.adopt(a, row)
	}
	return granted, nil
}

// appendResult is the result of Appender.Append.
type appendResult struct {
	offset uint64
	err    error
}

// appendGrant appends a grant and waits for the result until ctx ends. The
// append itself continues, and until it returns there is no second one for
// this account. Otherwise each request refused during a long outage of the log
// would leave a grant behind, and all of them would become valid at its end.
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

// adopt adds a grant that the fold considers valid to its account, unless it
// is there already. It retires the grants that the new one replaces: those
// whose witness is leaving or no longer listed, and depleted ones.
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

// retireDepleted retires all grants except the newest that have too few free
// tokens for the latest request, so that few grants stay open. The caller
// holds a.mu.
func (a *account) retireDepleted() {
	for _, g := range a.grants[:len(a.grants)-1] {
		if g.free < a.lastRequestTokens {
			g.retired = true
		}
	}
}

// hasGrant reports whether the account has a grant.
func (a *account) hasGrant(id record.RightID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.findGrant(id) != nil
}
