package prepaid

import (
	"context"
	"errors"
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/logstore"
	"guavapier/internal/record"
	"guavapier/internal/tokenwait"
)

// ShortageError is an ErrInsufficient for which this instance knows how long the organisation
// has been short of tokens.
type ShortageError struct {
	tokenwait.Shortage
	// Cause is ErrInsufficient or an *InsufficientError.
	Cause error
	// AtOnce reports that the request was refused without a wait.
	AtOnce bool
}

// Error implements error.
func (e *ShortageError) Error() string { return ErrInsufficient.Error() }

// Unwrap returns the cause, so that errors.Is(err, ErrInsufficient) is true.
func (e *ShortageError) Unwrap() error { return e.Cause }

// Reserve reserves tokens for a request of the highest urgency; see ReserveRequest.
func (c *Controller) Reserve(ctx context.Context, team record.Team, tokens int64) (*Reservation, error) {
	return c.ReserveRequest(ctx, tokenwait.Request{Team: team, Tokens: tokens})
}

// ReserveRequest reserves tokens for a request. If this instance holds too few, it waits for a
// claim while the log is reachable and requests tokens from other instances, for up to
// MaxClaimWait. It does not wait where that would not help; see package tokenwait. It returns
// ErrExhausted or a *ShortageError.
func (c *Controller) ReserveRequest(ctx context.Context, r tokenwait.Request) (*Reservation, error) {
	err := c.Accounts.Reserve(r.Team, r.Tokens, c.Clock())
	switch {
	case err == nil:
		c.waits.RecordServed(r.Team, r.Tokens, c.Clock())
	case errors.Is(err, ErrInsufficient):
		err = c.waitForTokens(ctx, r, err)
	}
	if err != nil {
		return nil, err
	}
	return &Reservation{controller: c, team: r.Team, tokens: r.Tokens}, nil
}

// waitForTokens reserves tokens for a request that found too few, or returns why it could not.
// held is the error of the first attempt.
func (c *Controller) waitForTokens(ctx context.Context, r tokenwait.Request, held error) error {
	r.Total = c.Accounts.PrepaidTotal(r.Team)
	w := c.waits.Join(r, c.Clock())
	if w == nil {
		c.refusedAtOnce.Add(1)
		c.keepShortfall(r.Team, r.Tokens, MaxClaimWait)
		if c.Accounts.IsReportedSpent(r.Team, r.Tokens, c.Clock()) {
			return ErrExhausted
		}
		return c.shortageError(r.Team, held, true)
	}
	outcome, err := tokenwait.Abandoned, held
	if c.Accounts.Role() == allocator.Member {
		outcome, err = c.withdraw(ctx, w)
	}
	if errors.Is(err, ErrInsufficient) && c.Accounts.Role() != allocator.Member {
		outcome, err = c.findTokens(ctx, w)
	}
	c.endWait(w, outcome)
	if errors.Is(err, ErrInsufficient) {
		return c.shortageError(r.Team, err, false)
	}
	return err
}

// endWait ends a wait and logs if the organisation has become short of tokens by that.
func (c *Controller) endWait(w *tokenwait.Waiter, outcome tokenwait.Outcome) {
	if c.waits.End(w, outcome, c.Clock()) {
		c.Peers.log.Info().Str("team", string(w.Team)).Int64("tokens", w.Tokens).Interface("budget", c.Balance(w.Team)).Msg("prepaid: organisation short of tokens")
	}
}

// shortageError adds what is known of the shortage to an ErrInsufficient.
func (c *Controller) shortageError(team record.Team, err error, atOnce bool) error {
	return &ShortageError{Shortage: c.waits.Shortage(team, c.Clock()), Cause: err, AtOnce: atOnce}
}

// keepShortfall counts the need of a refused request as a shortfall for a time, so that tokens
// are claimed for it although it does not wait.
func (c *Controller) keepShortfall(team record.Team, tokens int64, ttl time.Duration) {
	c.Accounts.AddShortfall(team, tokens)
	time.AfterFunc(ttl, func() { c.Accounts.AddShortfall(team, -tokens) })
}

// findTokens obtains tokens for a request, first from the log, then from other instances.
func (c *Controller) findTokens(ctx context.Context, w *tokenwait.Waiter) (tokenwait.Outcome, error) {
	if !c.Accounts.MayFindTokens(w.Team) {
		return tokenwait.Abandoned, ErrInsufficient
	}
	c.Accounts.AddShortfall(w.Team, w.Tokens)
	defer c.Accounts.AddShortfall(w.Team, -w.Tokens)
	startedAt := c.Clock()
	if c.isLogReachable() {
		outcome, err := c.awaitTokens(ctx, w, claimTimeout)
		if !errors.Is(err, ErrInsufficient) || outcome == tokenwait.Abandoned {
			return outcome, err
		}
	}
	received := c.Peers.RequestTokens(ctx, c.Accounts, w.Team, w.Tokens, c.Clock())
	if c.isLogReachable() {
		return c.awaitTokens(ctx, w, MaxClaimWait-(c.Clock()-startedAt))
	}
	err := c.Accounts.Reserve(w.Team, w.Tokens, c.Clock())
	for errors.Is(err, ErrInsufficient) && received && c.Clock()-startedAt < MaxClaimWait {
		// Requests that came during the calls got the tokens. The others may have more.
		received = c.Peers.RequestTokens(ctx, c.Accounts, w.Team, w.Tokens, c.Clock())
		err = c.Accounts.Reserve(w.Team, w.Tokens, c.Clock())
	}
	if errors.Is(err, ErrInsufficient) && !received {
		return tokenwait.Unsupplied, err
	}
	return outcomeOf(err), err
}

// outcomeOf returns the outcome of a wait that ended with the given result of a reservation.
func outcomeOf(err error) tokenwait.Outcome {
	switch {
	case err == nil:
		return tokenwait.Served
	case errors.Is(err, ErrInsufficient):
		return tokenwait.Refused
	default:
		return tokenwait.Abandoned
	}
}

// awaitTokens retries the reservation whenever more tokens may be spendable, until the timeout.
func (c *Controller) awaitTokens(ctx context.Context, w *tokenwait.Waiter, timeout time.Duration) (tokenwait.Outcome, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		changed := c.Accounts.Changed()
		err := c.Accounts.Reserve(w.Team, w.Tokens, c.Clock())
		if !errors.Is(err, ErrInsufficient) {
			return outcomeOf(err), err
		}
		logstore.Notify(c.triggerPublish)
		select {
		case <-changed:
		case <-timer.C:
			err := c.Accounts.Reserve(w.Team, w.Tokens, c.Clock())
			return outcomeOf(err), err
		case <-w.Refused():
			return tokenwait.Abandoned, ErrInsufficient
		case <-ctx.Done():
			return tokenwait.Abandoned, ErrInsufficient
		}
	}
}

// RefusedAtOnce returns how many requests were refused without a wait because their organisation
// was short of tokens.
func (c *Controller) RefusedAtOnce() int64 { return c.refusedAtOnce.Load() }

// Balance returns the state of one budget, with the requests that wait for it.
func (c *Controller) Balance(team record.Team) Balance {
	return c.withWaits(c.Accounts.Balance(team, c.Clock()))
}

// Balances returns the state of all budgets, with the requests that wait for them.
func (c *Controller) Balances() []Balance {
	list := c.Accounts.Balances(c.Clock())
	for i := range list {
		list[i] = c.withWaits(list[i])
	}
	return list
}

func (c *Controller) withWaits(balance Balance) Balance {
	shortage := c.waits.Shortage(balance.Team, c.Clock())
	balance.Waiting, balance.ShortForMS = shortage.Waiting, shortage.Age.Milliseconds()
	return balance
}
