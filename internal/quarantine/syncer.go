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
	// maxReadWait is the longest wait of one read. Records are rare; a connection that
	// fell silent without an error is noticed after it.
	maxReadWait = 5 * time.Second
	// readInterval spaces reads while endpoints end.
	readInterval = 200 * time.Millisecond
	// writeInterval gathers what is written at once.
	writeInterval = 100 * time.Millisecond
	// writeRetryDelay is the pause after a write that failed.
	writeRetryDelay = 150 * time.Millisecond
	// sweepInterval is the pause between two looks for what is no more worth keeping.
	sweepInterval = time.Second
	// maxWriteBatch bounds the records of one write.
	maxWriteBatch = 256
	// probeTimeout bounds the look whether an endpoint is gone: its host refuses
	// connections at once, and one that does not answer says nothing.
	probeTimeout = 100 * time.Millisecond
	// retestClaimTimeout is how long a request waits for the right to a retest, some round trips
	// to the log; retestPollInterval is how often it is looked for.
	retestClaimTimeout, retestPollInterval = 500 * time.Millisecond, 5 * time.Millisecond
)

// Probe makes a connection to an endpoint by name and address (IP:port), to be kept for use.
type Probe func(ctx context.Context, endpoint, address string) error

// Options are what a Keeper works with. All must be set.
type Options struct {
	Self  record.InstanceID
	Log   logstore.Keyed
	Probe Probe
	// Caller reaches the instances that Neighbours lists: those of the own zone.
	Caller        peer.Caller
	Neighbours    func() []record.InstanceID
	Logger        zerolog.Logger
	ThinnedLogger zerolog.Logger // For lines that come with load; thinned.
}

// Syncer runs a Table against the log. It is safe for concurrent use.
type Syncer struct {
	Options
	Table *Table

	probeGroup     singleflight.Group
	retestGroup    singleflight.Group
	readNow        chan struct{} // Reads the log at once.
	writeNow       chan struct{} // Writes at once.
	loaded         atomic.Bool
	logUnavailable atomic.Bool // The reads fail.

	mu            sync.Mutex // Guards pending.
	pendingWrites map[Fingerprint]*entryRecord
	lastEpoch     uint64 // Of the last write.
}

// NewSyncer returns a Keeper; Run makes it work.
func NewSyncer(o Options) *Syncer {
	return &Syncer{
		Options: o, Table: NewTable(o.Self),
		readNow: make(chan struct{}, 1), writeNow: make(chan struct{}, 1), pendingWrites: map[Fingerprint]*entryRecord{},
	}
}

// Run follows the log and writes to it until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { s.newFollower().Run(ctx); return nil })
	group.Go(func() error { s.runWriter(ctx); return nil })
	group.Go(func() error { s.runSweeper(ctx); return nil })
	group.Go(func() error { s.runExchange(ctx); return nil })
	_ = group.Wait()
}

// Loaded says whether the log has been read.
func (s *Syncer) Loaded() bool { return s.loaded.Load() }

// Admit says whether a request may be sent. It fails with a HeldError. Where a hold has
// ended it waits for the right to try the request for the whole fleet.
func (s *Syncer) Admit(ctx context.Context, c Content) error {
	f, known := s.Table.find(c)
	if !known {
		return nil
	}
	quarantined, retestDue := s.Table.check(f, time.Now())
	if quarantined == nil {
		return nil
	}
	if retestDue && !s.logUnavailable.Load() && s.acquireRetest(ctx, f) {
		s.Logger.Info().Stringer("content", f).Int("ends", quarantined.Crashes).Msg("quarantine: held request is retested")
		return nil
	}
	if current, _ := s.Table.check(f, time.Now()); current != nil {
		return current
	}
	return quarantined
}

// acquireRetest asks for the right to a retest and says whether this request has it.
func (s *Syncer) acquireRetest(ctx context.Context, f Fingerprint) bool {
	acquired := false
	_, _, _ = s.retestGroup.Do(f.String(), func() (any, error) {
		r := s.Table.retestClaim(f, time.Now())
		if r == nil {
			acquired = true // Cleared meanwhile.
			return nil, nil
		}
		s.enqueue(f, r)
		logstore.Kick(s.writeNow)
		ctx, cancel := context.WithTimeout(ctx, retestClaimTimeout)
		defer cancel()
		for decided := false; !decided && ctx.Err() == nil; {
			logstore.Pause(ctx, retestPollInterval, nil)
			decided, acquired = s.Table.retestResult(f, r.RetestRound)
		}
		return nil, nil
	})
	return acquired // Of those that asked together, the one whose call it was.
}

// Broke tells that the connection to an endpoint broke with a request under way there for
// that long. It looks whether the endpoint is gone, reports the request if it is, and
// returns that.
func (s *Syncer) Broke(ctx context.Context, c Content, endpoint, address string, underWay time.Duration) (gone bool) {
	if !s.isGone(ctx, endpoint, address) {
		return false
	}
	f := c.Fingerprint()
	r := s.Table.recordCrash(f, c.Organisation, endpoint, underWay, time.Now())
	if r == nil {
		return true
	}
	line := s.ThinnedLogger.Info()
	if r.Crashes >= crashesToQuarantine {
		line = s.Logger.Warn()
	}
	line.Stringer("content", f).Str("team", string(c.Organisation)).Str("endpoint", endpoint).Int("ends", r.Crashes).
		Dur("under_way", underWay).Msg("quarantine: endpoint ended under a request")
	s.enqueue(f, r)
	return true
}

// isGone says whether the endpoint's host refuses connections. All requests that broke
// there ask together.
func (s *Syncer) isGone(ctx context.Context, endpoint, address string) bool {
	gone, _, _ := s.probeGroup.Do(endpoint, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		return errors.Is(s.Probe(ctx, endpoint, address), syscall.ECONNREFUSED), nil
	})
	return gone.(bool)
}

// Answered tells that an endpoint has answered a request: it is not to blame.
func (s *Syncer) Answered(c Content) {
	f, known := s.Table.find(c)
	if !known || !s.Table.clear(f) {
		return
	}
	s.ThinnedLogger.Info().Stringer("content", f).Msg("quarantine: request answered, cleared")
	s.enqueue(f, nil)
}

// enqueue has a report written; nil clears the request.
func (s *Syncer) enqueue(f Fingerprint, r *entryRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingWrites[f] = r
}

func (s *Syncer) newFollower() *logstore.Follower {
	replaying := false
	return &logstore.Follower{
		Log: s.Log, Topic: logstore.TopicQuarantine, Wait: maxReadWait, Pause: readInterval, Kick: s.readNow,
		Reset: func() { replaying = true }, Record: func(r logstore.KeyedRecord) { s.observe(r, replaying) },
		Loaded: func() { replaying = false; s.loaded.Store(true) },
		Outcome: func(err error) {
			if wasUnavailable := s.logUnavailable.Swap(err != nil); err != nil && !wasUnavailable {
				s.Logger.Warn().Err(err).Msg("quarantine: log lost; holding back what is known here")
			}
		},
	}
}

// observe takes a record of the log; old says that it has been there for a while.
func (s *Syncer) observe(record logstore.KeyedRecord, replayed bool) {
	f, err := parseFingerprint(record.Key)
	if err != nil {
		s.Logger.Error().Err(err).Str("key", record.Key).Msg("quarantine: unreadable record passed over")
		return
	}
	if record.Value == nil {
		s.Table.clear(f)
		return
	}
	r, err := decodeRecord(record.Value)
	if err != nil {
		s.Logger.Error().Err(err).Str("key", record.Key).Msg("quarantine: unreadable record passed over")
		return
	}
	s.Table.observe(f, r, replayed, time.Now())
}

// runWriter runWriter what is pending until ctx ends.
func (s *Syncer) runWriter(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, writeInterval, s.writeNow)
		batch := s.nextBatch()
		if len(batch) == 0 {
			continue
		}
		if err := s.writeBatch(ctx, batch); err != nil {
			s.requeue(batch)
			logstore.Pause(ctx, writeRetryDelay, nil)
			continue
		}
		logstore.Kick(s.readNow)
	}
}

// nextBatch returns pending reports, no more than one write may have.
func (s *Syncer) nextBatch() map[Fingerprint]*entryRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := map[Fingerprint]*entryRecord{}
	for f, r := range s.pendingWrites {
		if len(batch) == maxWriteBatch {
			break
		}
		batch[f] = r
		delete(s.pendingWrites, f)
	}
	return batch
}

// requeue keeps what was not written, but for what is newer.
func (s *Syncer) requeue(batch map[Fingerprint]*entryRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, r := range batch {
		if _, newer := s.pendingWrites[f]; !newer {
			s.pendingWrites[f] = r
		}
	}
}

// writeBatch writes records. Each write has an epoch of its own: one that arrives late is fenced
// off by those after it.
func (s *Syncer) writeBatch(ctx context.Context, batch map[Fingerprint]*entryRecord) error {
	records := make([]logstore.KeyedRecord, 0, len(batch))
	for f, r := range batch {
		keyed := logstore.KeyedRecord{Key: f.String()}
		if r != nil {
			value, err := r.encode()
			if err != nil {
				s.Logger.Error().Err(err).Stringer("content", f).Msg("quarantine: record not written")
				continue
			}
			keyed.Value = value
		}
		records = append(records, keyed)
	}
	s.lastEpoch++
	write := logstore.Write{Writer: string(s.Table.self), Epoch: s.lastEpoch}
	return s.Log.Put(ctx, logstore.TopicQuarantine, write, records)
}

// runSweeper clears what is no more worth keeping, until ctx ends.
func (s *Syncer) runSweeper(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, sweepInterval, nil)
		for _, f := range s.Table.sweep(time.Now()) {
			s.enqueue(f, nil)
		}
	}
}
