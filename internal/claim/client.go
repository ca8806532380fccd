package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"guavapier/internal/fold"
	"guavapier/internal/peer"
	"guavapier/internal/record"
)

const (
	// maxEndAttempts is how often a run's end is sent to the holder.
	maxEndAttempts = 3
	// maxPendingNotifications bounds the concurrent background calls to holders;
	// each reports an end or an endpoint.
	maxPendingNotifications = 1024
	// notifyTimeout bounds one background notification of a holder, with its
	// retries.
	notifyTimeout = 5 * time.Second
)

// Client implements Claims by calling the holder of each request's shard, which
// is this instance or a peer. It is safe for concurrent use.
type Client struct {
	holder      *Holder
	deps        Dependencies
	opts        Options
	notifySlots chan struct{} // Semaphore of the background calls.
	background  sync.WaitGroup
}

var _ Claims = (*Client)(nil)

// NewClient returns the client of an instance whose own shards are in holder.
func NewClient(holder *Holder) *Client {
	return &Client{
		holder: holder, deps: holder.deps, opts: holder.opts,
		notifySlots: make(chan struct{}, maxPendingNotifications),
	}
}

// Close waits for the background notifications of holders to finish, and logs the
// ends that none has logged. Call it when no run is left at this instance.
func (c *Client) Close() {
	c.background.Wait()
	c.holder.logLostEnds(0)
}

// Begin implements Claims.
func (c *Client) Begin(ctx context.Context, r Request) (Ticket, error) {
	if r.Minted && r.Repeatable {
		return Ticket{Run: record.NewRunID(), Runner: c.deps.Self.ID}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.BeginTimeout)
	defer cancel()
	c.holder.runs.beginStarted(r.Key)
	defer c.holder.runs.beginDone(r.Key)
	began := time.Now()
	for {
		ticket, err := c.beginWithRetries(ctx, r, uuid.NewString())
		if err != nil {
			c.logFailure(r, err, time.Since(began))
		}
		if err != nil || ticket.Join || c.holder.runs.accept(r, ticket) {
			return ticket, err
		}
		// The run was fenced on behalf of another attempt; the holder is about to
		// release the key for that one.
		sleep(ctx, joinPollInterval)
	}
}

// logFailure logs why a Begin gave no ticket, with the shard's latest epoch in
// this instance's fold.
func (c *Client) logFailure(r Request, err error, took time.Duration) {
	id := c.holder.shardIDOf(r)
	latest, _ := latestEpoch(c.deps.Partitions[id.Shard], id)
	c.deps.Logger.Info().Err(err).Str("key", r.Key.String()).Dur("took_ms", took).Bool("first", r.First).
		Str("zone", string(id.Zone)).Int("shard", id.Shard).Uint64("epoch", latest.Epoch).Bool("closed", latest.Closed).
		Str("holder", string(latest.Holder)).Msg("claim: request not claimed")
}

// beginWithRetries calls the shard's current holder, which may change between
// attempts, until a holder decides or ctx ends.
func (c *Client) beginWithRetries(ctx context.Context, r Request, attempt string) (Ticket, error) {
	id := c.holder.shardIDOf(r)
	partition := c.deps.Partitions[id.Shard]
	mayBeClaimed := false
	var lastErr error
	for ctx.Err() == nil {
		changed := partition.Changed()
		latest, ok := latestEpoch(partition, id)
		err := errNotHolder
		if ok && !latest.Closed {
			var ticket Ticket
			ticket, err = c.beginAtHolder(ctx, latest, r, attempt)
			if !mayDecideLater(err) {
				return ticket, err
			}
			mayBeClaimed = mayBeClaimed || errors.Is(err, peer.ErrUnreachable) && !errors.Is(err, peer.ErrNotSent)
		}
		lastErr = err
		if r.Repeatable && errors.Is(err, peer.ErrUnreachable) {
			break
		}
		awaitChange(ctx, changed)
	}
	if mayBeClaimed {
		c.abortAttempt(r, attempt)
	}
	return c.resultWithoutHolder(r, lastErr)
}

// mayDecideLater reports whether, after an error of a holder's Begin, the shard's
// current holder may decide a moment later.
func mayDecideLater(err error) bool {
	return errors.Is(err, errNotHolder) || errors.Is(err, peer.ErrUnreachable) || errors.Is(err, ErrUndecided)
}

// resultWithoutHolder decides the result of Begin if no holder decides, which
// happens when zones are partitioned, a shard's takeover is in progress, or a
// holder cannot count claims. lastErr is the last holder's error. A
// repeatable request runs without a claim, because its bill is idempotent. For
// other requests the result is ErrNotCounted only if the caller assured that
// there was no earlier attempt. Otherwise an earlier attempt may have run, and
// ErrUndecided neither denies that run nor allows a second one.
func (c *Client) resultWithoutHolder(r Request, lastErr error) (Ticket, error) {
	switch {
	case r.Repeatable:
		return Ticket{Run: record.NewRunID(), Runner: c.deps.Self.ID, Uncounted: true}, nil
	case r.First:
		return Ticket{}, ErrNotCounted
	}
	return Ticket{}, eris.Wrapf(ErrUndecided, "claim: no holder decided; last error: %v", lastErr)
}

// beginAtHolder makes one call of Begin to the holder of an epoch. The call to a
// peer fails with peer.ErrUnreachable.
func (c *Client) beginAtHolder(ctx context.Context, latest fold.Shard, r Request, attempt string) (Ticket, error) {
	if latest.Holder == c.deps.Self.ID {
		return c.holder.begin(ctx, r, attempt, c.deps.Self.ID)
	}
	timeout := c.opts.HolderCallTimeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	args := BeginArgs{Request: r, Attempt: attempt, Runner: c.deps.Self.ID, Timeout: timeout * 3 / 4}
	var reply BeginReply
	if err := c.deps.Caller.Call(ctx, latest.Holder, ServiceName+".Begin", args, &reply); err != nil {
		return Ticket{}, errors.Join(peer.ErrUnreachable, err)
	}
	return reply.Ticket, reply.Status.err()
}

// Place implements Claims.
func (c *Client) Place(_ context.Context, key record.RequestKey, endpoint string) {
	local, ok := c.holder.runs.place(key, endpoint)
	if !ok || local.uncounted {
		return
	}
	args := PlaceArgs{Home: local.home, Key: key, Run: local.run, Endpoint: endpoint}
	c.notifyHolder(func(ctx context.Context, to record.InstanceID) error {
		if to == c.deps.Self.ID {
			return NewService(c.holder).Place(args, nil)
		}
		return c.deps.Caller.Call(ctx, to, ServiceName+".Place", args, nil)
	}, c.holder.shardIDOf(Request{Key: key, Home: local.home}), 1)
}

// End implements Claims.
func (c *Client) End(_ context.Context, key record.RequestKey, end End) {
	if end.Answer.size() > MaxAnswerBytes {
		end.Answer = nil
	}
	local, ok := c.holder.runs.end(key, end.Outcome, end.Answer)
	if !ok || local.uncounted || end.Outcome == 0 {
		return
	}
	end.Run, end.Endpoint = local.run, local.endpoint
	id := c.holder.shardIDOf(Request{Key: key, Home: local.home})
	args := EndArgs{Home: local.home, Key: key, End: end}
	c.notifyHolder(c.endReporter(args), id, maxEndAttempts)
}

// abortAttempt tells the holder that this instance will not run an attempt
// whose ticket it may not have received.
func (c *Client) abortAttempt(r Request, attempt string) {
	if !r.Repeatable {
		c.holder.runs.giveUp(r.Key)
	}
	args := EndArgs{Home: r.Home, Key: r.Key, Attempt: attempt, End: End{Outcome: record.OutcomeNotRun}}
	c.notifyHolder(c.endReporter(args), c.holder.shardIDOf(r), maxEndAttempts)
}

// errRunUnknown reports that the holder does not know the run.
var errRunUnknown = errors.New("claim: run unknown to the holder")

// endReporter returns a function that reports an end to a holder. It fails with
// errRunUnknown if the holder does not know the run.
func (c *Client) endReporter(args EndArgs) func(context.Context, record.InstanceID) error {
	return func(ctx context.Context, to record.InstanceID) error {
		var reply EndReply
		var err error
		if to == c.deps.Self.ID {
			err = NewService(c.holder).End(args, &reply)
		} else {
			err = c.deps.Caller.Call(ctx, to, ServiceName+".End", args, &reply)
		}
		if err == nil && !reply.Known {
			err = errRunUnknown
		}
		return err
	}
}

// notifyHolder calls the shard's holder in the background, at most attempts
// times. It does nothing if maxPendingNotifications calls are already in
// progress: no notification is needed for safety, and the runTable logs the ends
// that no holder has taken.
func (c *Client) notifyHolder(call func(context.Context, record.InstanceID) error, id shardID, attempts int) {
	select {
	case c.notifySlots <- struct{}{}:
	default:
		return
	}
	c.background.Go(func() {
		defer func() { <-c.notifySlots }()
		ctx, cancel := context.WithTimeout(c.holder.ctx, notifyTimeout)
		defer cancel()
		for range attempts {
			latest, ok := latestEpoch(c.deps.Partitions[id.Shard], id)
			if ok && call(ctx, latest.Holder) == nil {
				return
			}
			sleep(ctx, c.opts.TickInterval)
		}
	})
}

// awaitChange waits until the fold changes, at most joinPollInterval.
func awaitChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-time.After(joinPollInterval):
	case <-ctx.Done():
	}
}
