package quarantine

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
)

const (
	// followWait is the longest wait of one read. Records are rare; a connection that
	// fell silent without an error is noticed after it.
	followWait = 5 * time.Second
	// followPause spaces reads while endpoints end.
	followPause = 200 * time.Millisecond
	// writeEvery gathers what is written at once.
	writeEvery = 100 * time.Millisecond
	// writeAgain is the pause after a write that failed.
	writeAgain = 150 * time.Millisecond
	// sweepEvery is the pause between two looks for what is no more worth keeping.
	sweepEvery = time.Second
	// mostWritten bounds the records of one write.
	mostWritten = 256
	// probeWithin bounds the look whether an endpoint is gone: its host refuses
	// connections at once, and one that does not answer says nothing.
	probeWithin = 100 * time.Millisecond
	// retestWithin is how long a request waits for the right to a retest, some round trips
	// to the log; retestLook is how often it is looked for.
	retestWithin, retestLook = 500 * time.Millisecond, 5 * time.Millisecond
)

// Probe makes a connection to an endpoint by name and address (IP:port), to be kept for use.
type Probe func(ctx context.Context, endpoint, address string) error

// Options are what a Keeper works with. All must be set.
type Options struct {
	Self  record.InstanceID
	Log   logstore.Keyed
	Probe Probe
	// Caller reaches the instances that Neighbours lists: those of the own zone.
	Caller     peer.Caller
	Neighbours func() []record.InstanceID
	Logs       zerolog.Logger
	Busy       zerolog.Logger // For lines that come with load; thinned.
}

// Keeper runs a Table against the log. It is safe for concurrent use.
type Keeper struct {
	Options
	Table *Table

	probes singleflight.Group
	claims singleflight.Group
	kick   chan struct{} // Reads the log at once.
	write  chan struct{} // Writes at once.
	loaded atomic.Bool
	away   atomic.Bool // The reads fail.

	mu      sync.Mutex // Guards pending.
	pending map[Fingerprint]*report
	epoch   uint64 // Of the last write.
}

// NewKeeper returns a Keeper; Run makes it work.
func NewKeeper(o Options) *Keeper {
	return &Keeper{
		Options: o, Table: NewTable(o.Self),
		kick: make(chan struct{}, 1), write: make(chan struct{}, 1), pending: map[Fingerprint]*report{},
	}
}

// Run follows the log and writes to it until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { k.follower().Run(ctx); return nil })
	group.Go(func() error { k.writes(ctx); return nil })
	group.Go(func() error { k.sweeps(ctx); return nil })
	group.Go(func() error { k.swaps(ctx); return nil })
	_ = group.Wait()
}

// Loaded says whether the log has been read.
func (k *Keeper) Loaded() bool { return k.loaded.Load() }

// Admit says whether a request may be sent. It fails with a HeldError. Where a hold has
// ended it waits for the right to try the request for the whole fleet.
func (k *Keeper) Admit(ctx context.Context, c Content) error {
	f, known := k.Table.find(c)
	if !known {
		return nil
	}
	held, due := k.Table.held(f, time.Now())
	if held == nil {
		return nil
	}
	if due && !k.away.Load() && k.mayRetest(ctx, f) {
		k.Logs.Info().Stringer("content", f).Int("ends", held.Ends).Msg("quarantine: held request is retested")
		return nil
	}
	if again, _ := k.Table.held(f, time.Now()); again != nil {
		return again
	}
	return held
}

// mayRetest asks for the right to a retest and says whether this request has it.
func (k *Keeper) mayRetest(ctx context.Context, f Fingerprint) bool {
	mine := false
	_, _, _ = k.claims.Do(f.String(), func() (any, error) {
		r := k.Table.claim(f, time.Now())
		if r == nil {
			mine = true // Cleared meanwhile.
			return nil, nil
		}
		k.tell(f, r)
		logstore.Kick(k.write)
		ctx, cancel := context.WithTimeout(ctx, retestWithin)
		defer cancel()
		for decided := false; !decided && ctx.Err() == nil; {
			logstore.Pause(ctx, retestLook, nil)
			decided, mine = k.Table.decided(f, r.Round)
		}
		return nil, nil
	})
	return mine // Of those that asked together, the one whose call it was.
}

// Broke tells that the connection to an endpoint broke with a request under way there for
// that long. It looks whether the endpoint is gone, reports the request if it is, and
// returns that.
func (k *Keeper) Broke(ctx context.Context, c Content, endpoint, address string, underWay time.Duration) (gone bool) {
	if !k.isGone(ctx, endpoint, address) {
		return false
	}
	f := c.Fingerprint()
	r := k.Table.ended(f, c.Organisation, endpoint, underWay, time.Now())
	if r == nil {
		return true
	}
	line := k.Busy.Info()
	if r.Ends >= endsToHold {
		line = k.Logs.Warn()
	}
	line.Stringer("content", f).Str("team", string(c.Organisation)).Str("endpoint", endpoint).Int("ends", r.Ends).
		Dur("under_way", underWay).Msg("quarantine: endpoint ended under a request")
	k.tell(f, r)
	return true
}

// isGone says whether the endpoint's host refuses connections. All requests that broke
// there ask together.
func (k *Keeper) isGone(ctx context.Context, endpoint, address string) bool {
	gone, _, _ := k.probes.Do(endpoint, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeWithin)
		defer cancel()
		return errors.Is(k.Probe(ctx, endpoint, address), syscall.ECONNREFUSED), nil
	})
	return gone.(bool)
}

// Answered tells that an endpoint has answered a request: it is not to blame.
func (k *Keeper) Answered(c Content) {
	f, known := k.Table.find(c)
	if !known || !k.Table.clear(f) {
		return
	}
	k.Busy.Info().Stringer("content", f).Msg("quarantine: request answered, cleared")
	k.tell(f, nil)
}

// tell has a report written; nil clears the request.
func (k *Keeper) tell(f Fingerprint, r *report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending[f] = r
}

func (k *Keeper) follower() *logstore.Follower {
	old := false
	return &logstore.Follower{
		Log: k.Log, Topic: logstore.TopicQuarantine, Wait: followWait, Pause: followPause, Kick: k.kick,
		Reset: func() { old = true }, Record: func(r logstore.KeyedRecord) { k.hear(r, old) },
		Loaded: func() { old = false; k.loaded.Store(true) },
		Outcome: func(err error) {
			if was := k.away.Swap(err != nil); err != nil && !was {
				k.Logs.Warn().Err(err).Msg("quarantine: log lost; holding back what is known here")
			}
		},
	}
}

// hear takes a record of the log; old says that it has been there for a while.
func (k *Keeper) hear(record logstore.KeyedRecord, old bool) {
	f, err := parseFingerprint(record.Key)
	if err != nil {
		k.Logs.Error().Err(err).Str("key", record.Key).Msg("quarantine: unreadable record passed over")
		return
	}
	if record.Value == nil {
		k.Table.clear(f)
		return
	}
	r, err := decodeReport(record.Value)
	if err != nil {
		k.Logs.Error().Err(err).Str("key", record.Key).Msg("quarantine: unreadable record passed over")
		return
	}
	k.Table.hear(f, r, old, time.Now())
}

// writes writes what is pending until ctx ends.
func (k *Keeper) writes(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, writeEvery, k.write)
		batch := k.nextBatch()
		if len(batch) == 0 {
			continue
		}
		if err := k.put(ctx, batch); err != nil {
			k.putBack(batch)
			logstore.Pause(ctx, writeAgain, nil)
			continue
		}
		logstore.Kick(k.kick)
	}
}

// nextBatch returns pending reports, no more than one write may have.
func (k *Keeper) nextBatch() map[Fingerprint]*report {
	k.mu.Lock()
	defer k.mu.Unlock()
	batch := map[Fingerprint]*report{}
	for f, r := range k.pending {
		if len(batch) == mostWritten {
			break
		}
		batch[f] = r
		delete(k.pending, f)
	}
	return batch
}

// putBack keeps what was not written, but for what is newer.
func (k *Keeper) putBack(batch map[Fingerprint]*report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for f, r := range batch {
		if _, newer := k.pending[f]; !newer {
			k.pending[f] = r
		}
	}
}

// put writes records. Each write has an epoch of its own: one that arrives late is fenced
// off by those after it.
func (k *Keeper) put(ctx context.Context, batch map[Fingerprint]*report) error {
	records := make([]logstore.KeyedRecord, 0, len(batch))
	for f, r := range batch {
		out := logstore.KeyedRecord{Key: f.String()}
		if r != nil {
			value, err := r.encode()
			if err != nil {
				k.Logs.Error().Err(err).Stringer("content", f).Msg("quarantine: record not written")
				continue
			}
			out.Value = value
		}
		records = append(records, out)
	}
	k.epoch++
	w := logstore.Write{Writer: string(k.Table.self), Epoch: k.epoch}
	return k.Log.Put(ctx, logstore.TopicQuarantine, w, records)
}

// sweeps clears what is no more worth keeping, until ctx ends.
func (k *Keeper) sweeps(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, sweepEvery, nil)
		for _, f := range k.Table.sweep(time.Now()) {
			k.tell(f, nil)
		}
	}
}
