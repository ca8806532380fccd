package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"guavapier/internal/fold"
	"guavapier/internal/peer"
	"guavapier/internal/record"
)

const (
	// maxEndAttempts is how often an end is told to a holder before it goes to the
	// log directly.
	maxEndAttempts = 3
	// maxPendingNotifications bounds the ends and places that are being told to holders.
	maxPendingNotifications = 1024
	// notifyTimeout bounds telling a holder that an attempt was given up.
	notifyTimeout = 5 * time.Second
)

// Client is Claims over all instances: it asks the holder of each request's
// shard, here or at a peer. It is safe for concurrent use.
type Client struct {
	holder      *Holder
	deps        Dependencies
	opts        Options
	notifySlots chan struct{} // One token for each call under local.
	background  sync.WaitGroup

	mu       sync.Mutex // Guards inFlight.
	inFlight map[record.RequestKey]localRun
}

// localRun is what this instance knows of a run that it was given.
type localRun struct {
	home       record.Zone
	run        record.RunID
	repeatable bool
	uncounted  bool
	endpoint   string // Where it was placed latest.
}

var _ Claims = (*Client)(nil)

// NewClient returns the claims of an instance whose own shards are holder's.
func NewClient(holder *Holder) *Client {
	c := &Client{
		holder: holder, deps: holder.deps, opts: holder.opts,
		notifySlots: make(chan struct{}, maxPendingNotifications),
		inFlight:    map[record.RequestKey]localRun{},
	}
	holder.isRunning = c.isRunning
	return c
}

// isRunning says whether this instance was given a run and has not ended it.
func (c *Client) isRunning(key record.RequestKey, run record.RunID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	local, ok := c.inFlight[key]
	return ok && local.run == run
}

// Close waits until all holders have been told.
func (c *Client) Close() { c.background.Wait() }

// Begin implements Claims.
func (c *Client) Begin(ctx context.Context, r Request) (Ticket, error) {
	if r.Minted && r.Repeatable {
		return Ticket{Run: record.NewRunID(), Runner: c.deps.Self.ID}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.BeginTimeout)
	defer cancel()
	ticket, err := c.beginWithRetries(ctx, r, uuid.NewString())
	if err == nil && !ticket.Join {
		c.mu.Lock()
		c.inFlight[r.Key] = localRun{home: r.Home, run: ticket.Run, repeatable: r.Repeatable, uncounted: ticket.Uncounted}
		c.mu.Unlock()
	}
	return ticket, err
}

// beginWithRetries asks the shard's holder, whoever that is by then, until ctx ends.
func (c *Client) beginWithRetries(ctx context.Context, r Request, attempt string) (Ticket, error) {
	id := c.holder.shardIDOf(r)
	partition := c.deps.Partitions[id.Shard]
	mayBeClaimed := false
	for ctx.Err() == nil {
		changed := partition.Changed()
		latest, ok := latestEpoch(partition, id)
		err := errNotHolder
		if ok && !latest.Closed {
			var ticket Ticket
			ticket, err = c.beginAtHolder(ctx, latest, r, attempt)
			if !errors.Is(err, errNotHolder) && !errors.Is(err, peer.ErrUnreachable) {
				return ticket, err
			}
			mayBeClaimed = mayBeClaimed || errors.Is(err, peer.ErrUnreachable) && !errors.Is(err, peer.ErrNotSent)
		}
		if r.Repeatable && errors.Is(err, peer.ErrUnreachable) {
			break
		}
		awaitChange(ctx, changed)
	}
	if mayBeClaimed {
		c.abortAttempt(r, attempt)
	}
	return c.resultWithoutHolder(r)
}

// resultWithoutHolder decides what is true where no holder answers. Load: partitions
// between zones, and shards whose takeover is under way. Harm prevented: "not
// run" said of a request that an earlier attempt has run, and a second run of
// one that may not be repeated. Limit: repeatable requests go on, since their
// bill is idempotent.
func (c *Client) resultWithoutHolder(r Request) (Ticket, error) {
	switch {
	case r.Repeatable:
		return Ticket{Run: record.NewRunID(), Runner: c.deps.Self.ID, Uncounted: true}, nil
	case r.First:
		return Ticket{}, ErrNotCounted
	}
	return Ticket{}, ErrUnknown
}

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
	c.mu.Lock()
	local, ok := c.inFlight[key]
	if ok {
		local.endpoint = endpoint
		c.inFlight[key] = local
	}
	c.mu.Unlock()
	if !ok || local.uncounted {
		return
	}
	args := PlaceArgs{Home: local.home, Key: key, Run: local.run, Endpoint: endpoint}
	c.notifyHolder(func(ctx context.Context, to record.InstanceID) error {
		if to == c.deps.Self.ID {
			return NewService(c.holder).Place(args, nil)
		}
		return c.deps.Caller.Call(ctx, to, ServiceName+".Place", args, nil)
	}, c.holder.shardIDOf(Request{Key: key, Home: local.home}), 1, nil)
}

// End implements Claims.
func (c *Client) End(_ context.Context, key record.RequestKey, end End) {
	c.mu.Lock()
	local, ok := c.inFlight[key]
	delete(c.inFlight, key)
	c.mu.Unlock()
	if !ok || local.uncounted {
		return
	}
	end.Run, end.Endpoint = local.run, local.endpoint
	if end.Answer != nil && len(end.Answer.Body) > MaxAnswerBytes {
		end.Answer = nil
	}
	id := c.holder.shardIDOf(Request{Key: key, Home: local.home})
	args := EndArgs{Home: local.home, Key: key, End: end}
	c.notifyHolder(c.endReporter(args), id, maxEndAttempts, func() {
		if local.repeatable {
			return
		}
		// The holder that gave the run is gone: its claim is in the close.
		ctx, cancel := context.WithTimeout(context.Background(), c.opts.BeginTimeout)
		defer cancel()
		_, _ = c.deps.Log.Append(ctx, c.deps.Partitions[id.Shard].Stream(),
			record.ClaimEnd{Key: key, Run: end.Run, Outcome: end.Outcome})
	})
}

// abortAttempt tells the holder that an attempt whose ticket was lost is given up:
// this instance will not run it.
func (c *Client) abortAttempt(r Request, attempt string) {
	args := EndArgs{Home: r.Home, Key: r.Key, Attempt: attempt, End: End{Outcome: record.OutcomeNotRun}}
	c.notifyHolder(c.endReporter(args), c.holder.shardIDOf(r), maxEndAttempts, nil)
}

// errRunUnknown says that the holder does not know the run.
var errRunUnknown = errors.New("claim: run not known to the holder")

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

// notifyHolder calls do with the shard's holder in the background, some times at most.
// otherwise is called where all failed, or too much is being told already.
func (c *Client) notifyHolder(call func(context.Context, record.InstanceID) error, id shardID, attempts int, onFailure func()) {
	select {
	case c.notifySlots <- struct{}{}:
	default:
		if onFailure != nil {
			c.background.Go(onFailure)
		}
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
		if onFailure != nil {
			onFailure()
		}
	})
}

// awaitChange waits for the fold to change, a moment at most.
func awaitChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-time.After(joinPollInterval):
	case <-ctx.Done():
	}
}
