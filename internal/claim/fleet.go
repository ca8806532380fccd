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
	// endTries is how often an end is told to a holder before it goes to the
	// log directly.
	endTries = 3
	// maxTelling bounds the ends and places that are being told to holders.
	maxTelling = 1024
	// abortPatience bounds telling a holder that an attempt was given up.
	abortPatience = 5 * time.Second
)

// Fleet is Claims over all instances: it asks the holder of each request's
// shard, here or at a peer. It is safe for concurrent use.
type Fleet struct {
	holder  *Holder
	parts   Parts
	opts    Options
	telling chan struct{} // One token for each call under way.
	working sync.WaitGroup

	mu       sync.Mutex // Guards inFlight.
	inFlight map[record.RequestKey]route
}

// route is what this instance knows of a run that it was given.
type route struct {
	home       record.Zone
	run        record.RunID
	repeatable bool
	uncounted  bool
	endpoint   string // Where it was placed last.
}

var _ Claims = (*Fleet)(nil)

// NewFleet returns the claims of an instance whose own shards are holder's.
func NewFleet(holder *Holder) *Fleet {
	f := &Fleet{
		holder: holder, parts: holder.parts, opts: holder.opts,
		telling:  make(chan struct{}, maxTelling),
		inFlight: map[record.RequestKey]route{},
	}
	holder.running = f.running
	return f
}

// running says whether this instance was given a run and has not ended it.
func (f *Fleet) running(key record.RequestKey, run record.RunID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	way, ok := f.inFlight[key]
	return ok && way.run == run
}

// Close waits until all holders have been told.
func (f *Fleet) Close() { f.working.Wait() }

// Begin implements Claims.
func (f *Fleet) Begin(ctx context.Context, r Request) (Ticket, error) {
	if r.Minted && r.Repeatable {
		return Ticket{Run: record.NewRunID(), Runner: f.parts.Self.ID}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.opts.Patience)
	defer cancel()
	ticket, err := f.ask(ctx, r, uuid.NewString())
	if err == nil && !ticket.Join {
		f.mu.Lock()
		f.inFlight[r.Key] = route{home: r.Home, run: ticket.Run, repeatable: r.Repeatable, uncounted: ticket.Uncounted}
		f.mu.Unlock()
	}
	return ticket, err
}

// ask asks the shard's holder, whoever that is by then, until ctx ends.
func (f *Fleet) ask(ctx context.Context, r Request, attempt string) (Ticket, error) {
	id := f.holder.shardOf(r)
	part := f.parts.Partitions[id.Shard]
	mayBeClaimed := false
	for ctx.Err() == nil {
		changed := part.Changed()
		last, ok := shardOf(part, id)
		err := errNotHolder
		if ok && !last.Closed {
			var ticket Ticket
			ticket, err = f.askHolder(ctx, last, r, attempt)
			if !errors.Is(err, errNotHolder) && !errors.Is(err, peer.ErrUnreachable) {
				return ticket, err
			}
			mayBeClaimed = mayBeClaimed || errors.Is(err, peer.ErrUnreachable) && !errors.Is(err, peer.ErrNotSent)
		}
		if r.Repeatable && errors.Is(err, peer.ErrUnreachable) {
			break
		}
		waitFor(ctx, changed)
	}
	if mayBeClaimed {
		f.abort(r, attempt)
	}
	return f.outOfReach(r)
}

// outOfReach decides what is true where no holder answers. Load: partitions
// between zones, and shards whose takeover is under way. Harm prevented: "not
// run" said of a request that an earlier attempt has run, and a second run of
// one that may not be repeated. Limit: repeatable requests go on, since their
// bill is idempotent.
func (f *Fleet) outOfReach(r Request) (Ticket, error) {
	switch {
	case r.Repeatable:
		return Ticket{Run: record.NewRunID(), Runner: f.parts.Self.ID, Uncounted: true}, nil
	case r.First:
		return Ticket{}, ErrNotCounted
	}
	return Ticket{}, ErrUnknown
}

func (f *Fleet) askHolder(ctx context.Context, last fold.Shard, r Request, attempt string) (Ticket, error) {
	if last.Holder == f.parts.Self.ID {
		return f.holder.begin(ctx, r, attempt, f.parts.Self.ID)
	}
	timeout := f.opts.Ask
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	args := BeginArgs{Request: r, Attempt: attempt, Runner: f.parts.Self.ID, Timeout: timeout * 3 / 4}
	var reply BeginReply
	if err := f.parts.Caller.Call(ctx, last.Holder, ServiceName+".Begin", args, &reply); err != nil {
		return Ticket{}, errors.Join(peer.ErrUnreachable, err)
	}
	return reply.Ticket, reply.Status.err()
}

// Place implements Claims.
func (f *Fleet) Place(_ context.Context, key record.RequestKey, endpoint string) {
	f.mu.Lock()
	way, ok := f.inFlight[key]
	if ok {
		way.endpoint = endpoint
		f.inFlight[key] = way
	}
	f.mu.Unlock()
	if !ok || way.uncounted {
		return
	}
	args := PlaceArgs{Home: way.home, Key: key, Run: way.run, Endpoint: endpoint}
	f.tell(func(ctx context.Context, to record.InstanceID) error {
		if to == f.parts.Self.ID {
			return NewService(f.holder).Place(args, nil)
		}
		return f.parts.Caller.Call(ctx, to, ServiceName+".Place", args, nil)
	}, f.holder.shardOf(Request{Key: key, Home: way.home}), 1, nil)
}

// End implements Claims.
func (f *Fleet) End(_ context.Context, key record.RequestKey, end End) {
	f.mu.Lock()
	way, ok := f.inFlight[key]
	delete(f.inFlight, key)
	f.mu.Unlock()
	if !ok || way.uncounted {
		return
	}
	end.Run, end.Endpoint = way.run, way.endpoint
	if end.Answer != nil && len(end.Answer.Body) > MaxAnswerBytes {
		end.Answer = nil
	}
	id := f.holder.shardOf(Request{Key: key, Home: way.home})
	args := EndArgs{Home: way.home, Key: key, End: end}
	f.tell(f.ender(args), id, endTries, func() {
		if way.repeatable {
			return
		}
		// The holder that gave the run is gone: its claim is in the close.
		ctx, cancel := context.WithTimeout(context.Background(), f.opts.Patience)
		defer cancel()
		_, _ = f.parts.Log.Append(ctx, f.parts.Partitions[id.Shard].Stream(),
			record.ClaimEnd{Key: key, Run: end.Run, Outcome: end.Outcome})
	})
}

// abort tells the holder that an attempt whose ticket was lost is given up:
// this instance will not run it.
func (f *Fleet) abort(r Request, attempt string) {
	args := EndArgs{Home: r.Home, Key: r.Key, Attempt: attempt, End: End{Outcome: record.OutcomeNotRun}}
	f.tell(f.ender(args), f.holder.shardOf(r), endTries, nil)
}

// errNotKnown says that the holder does not know the run.
var errNotKnown = errors.New("claim: run not known to the holder")

func (f *Fleet) ender(args EndArgs) func(context.Context, record.InstanceID) error {
	return func(ctx context.Context, to record.InstanceID) error {
		var reply EndReply
		var err error
		if to == f.parts.Self.ID {
			err = NewService(f.holder).End(args, &reply)
		} else {
			err = f.parts.Caller.Call(ctx, to, ServiceName+".End", args, &reply)
		}
		if err == nil && !reply.Known {
			err = errNotKnown
		}
		return err
	}
}

// tell calls do with the shard's holder in the background, some times at most.
// otherwise is called where all failed, or too much is being told already.
func (f *Fleet) tell(do func(context.Context, record.InstanceID) error, id shardID, tries int, otherwise func()) {
	select {
	case f.telling <- struct{}{}:
	default:
		if otherwise != nil {
			f.working.Go(otherwise)
		}
		return
	}
	f.working.Go(func() {
		defer func() { <-f.telling }()
		ctx, cancel := context.WithTimeout(f.holder.ctx, abortPatience)
		defer cancel()
		for range tries {
			last, ok := shardOf(f.parts.Partitions[id.Shard], id)
			if ok && do(ctx, last.Holder) == nil {
				return
			}
			pause(ctx, f.opts.Tick)
		}
		if otherwise != nil {
			otherwise()
		}
	})
}

// waitFor waits for the fold to change, a moment at most.
func waitFor(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-time.After(joinPoll):
	case <-ctx.Done():
	}
}
