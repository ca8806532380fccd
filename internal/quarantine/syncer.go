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
	// maxReadWait is how long one read of the log waits for new records. Records are
	// rare; a connection that fell silent without an error is noticed after this time.
	maxReadWait = 5 * time.Second
	// readInterval is the pause between two reads. It limits the reads while records
	// arrive because endpoints crash.
	readInterval = 200 * time.Millisecond
	// writeInterval is how long records are gathered for one write.
	writeInterval = 100 * time.Millisecond
	// writeRetryDelay is the pause after a write that failed.
	writeRetryDelay = 150 * time.Millisecond
	// sweepInterval is the pause between two removals of expired entries.
	sweepInterval = time.Second
	// maxWriteBatch bounds the number of records in one write.
	maxWriteBatch = 256
	// probeTimeout bounds the probe that shows whether an endpoint is gone. The host of
	// a crashed process refuses connections at once; one that does not answer shows
	// nothing.
	probeTimeout = 100 * time.Millisecond
	// retestClaimTimeout bounds how long a request waits to acquire a retest, which
	// takes some round trips to the log. retestPollInterval is how often the table is
	// checked meanwhile.
	retestClaimTimeout, retestPollInterval = 500 * time.Millisecond, 5 * time.Millisecond
)

// Probe makes a connection to an endpoint by its ID and address (IP:port), and keeps it for
// later requests.
type Probe func(ctx context.Context, endpoint, address string) error

// Options are the dependencies of a Syncer. All must be set.
type Options struct {
	Self  record.InstanceID
	Log   logstore.KeyedLog // The platform's log.
	Probe Probe
	// Caller calls the instances that Neighbours returns, the other ones of this
	// instance's availability zone.
	Caller        peer.Caller
	Neighbours    func() []record.InstanceID
	Logger        zerolog.Logger
	ThinnedLogger zerolog.Logger // For lines that increase with load; may drop some.
}

// Syncer synchronises a Table with the platform's log. It is safe for concurrent use.
type Syncer struct {
	Options
	Table *Table

	probeGroup     singleflight.Group // By endpoint ID.
	retestGroup    singleflight.Group // By fingerprint.
	readNow        chan struct{}      // Triggers a read of the log.
	writeNow       chan struct{}      // Triggers a write to the log.
	loaded         atomic.Bool
	logUnavailable atomic.Bool // The last read failed.

	mu            sync.Mutex                   // Guards pendingWrites.
	pendingWrites map[Fingerprint]*entryRecord // nil clears the request.
	lastEpoch     uint64                       // Of the last write; only for writeBatch.
}

// NewSyncer returns a Syncer for an empty table. It does nothing before Run.
func NewSyncer(o Options) *Syncer {
	return &Syncer{
		Options: o, Table: NewTable(o.Self),
		readNow: make(chan struct{}, 1), writeNow: make(chan struct{}, 1), pendingWrites: map[Fingerprint]*entryRecord{},
	}
}

// Run reads from the log, writes to it and exchanges records with neighbours until ctx
// ends.
func (s *Syncer) Run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { s.newFollower().Run(ctx); return nil })
	group.Go(func() error { s.runWriter(ctx); return nil })
	group.Go(func() error { s.runSweeper(ctx); return nil })
	group.Go(func() error { s.runExchange(ctx); return nil })
	_ = group.Wait()
}

// Loaded reports whether the records that were on the log have been read.
func (s *Syncer) Loaded() bool { return s.loaded.Load() }

// Admit returns nil if the request may be sent, and a *QuarantinedError if it is
// quarantined. If the quarantine has ended, it first tries to acquire the retest, that is,
// the right to send the request once on behalf of the whole fleet.
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

// acquireRetest claims the next retest on the log and reports whether the calling request
// may run it. Concurrent calls share one claim.
func (s *Syncer) acquireRetest(ctx context.Context, f Fingerprint) bool {
	acquired := false
	_, _, _ = s.retestGroup.Do(f.String(), func() (any, error) {
		r, cleared := s.Table.retestClaim(f, time.Now())
		if r == nil {
			acquired = cleared
			return nil, nil
		}
		s.enqueue(f, r)
		logstore.Notify(s.writeNow)
		ctx, cancel := context.WithTimeout(ctx, retestClaimTimeout)
		defer cancel()
		for decided := false; !decided && ctx.Err() == nil; {
			logstore.Pause(ctx, retestPollInterval, nil)
			decided, acquired = s.Table.retestResult(f, r.RetestRound)
		}
		return nil, nil
	})
	return acquired // Of concurrent calls only the one that ran the function sets this.
}

// Broke records that the connection to an endpoint broke when the request had been in
// progress there for underWay. It probes whether the endpoint is gone and returns the
// result. If it is gone, the request has crashed it or was in progress beside the one
// that did, and a record of that is written to the log.
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
	line.Stringer("content", f).Strs("parts", c.Parts).Str("team", string(c.Organisation)).Str("endpoint", endpoint).Int("ends", r.Crashes).
		Dur("under_way", underWay).Msg("quarantine: endpoint ended under a request")
	s.enqueue(f, r)
	return true
}

// isGone reports whether the endpoint's host refuses connections. Concurrent calls for one
// endpoint share a probe.
func (s *Syncer) isGone(ctx context.Context, endpoint, address string) bool {
	gone, _, _ := s.probeGroup.Do(endpoint, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		return errors.Is(s.Probe(ctx, endpoint, address), syscall.ECONNREFUSED), nil
	})
	return gone.(bool)
}

// Answered records that an endpoint has answered the request, which is therefore not to
// blame for a crash, and clears it.
func (s *Syncer) Answered(c Content) {
	f, known := s.Table.find(c)
	if !known || !s.Table.clear(f) {
		return
	}
	s.ThinnedLogger.Info().Stringer("content", f).Msg("quarantine: request answered, cleared")
	s.enqueue(f, nil)
}

// enqueue adds a record to the next write, in place of a pending one of the same request;
// nil clears the request on the log.
func (s *Syncer) enqueue(f Fingerprint, r *entryRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingWrites[f] = r
}

// newFollower returns a reader that passes the records of the log to observe.
func (s *Syncer) newFollower() *logstore.Follower {
	replaying := false
	return &logstore.Follower{
		Log: s.Log, Topic: logstore.TopicQuarantine, PollTimeout: maxReadWait, ReadInterval: readInterval, Trigger: s.readNow,
		OnReset: func() { replaying = true }, OnRecord: func(r logstore.KeyedRecord) { s.observe(r, replaying) },
		OnLoaded: func() { replaying = false; s.loaded.Store(true) },
		OnReadEnd: func(err error) {
			if wasUnavailable := s.logUnavailable.Swap(err != nil); err != nil && !wasUnavailable {
				s.Logger.Warn().Err(err).Msg("quarantine: log lost; holding back what is known here")
			}
		},
	}
}

// observe applies a record of the log, or of another instance, to the table. replayed states
// that it was on the log before this instance began to follow it.
func (s *Syncer) observe(record logstore.KeyedRecord, replayed bool) {
	f, err := parseFingerprint(record.Key)
	if err != nil {
		s.Logger.Error().Err(err).Str("key", record.Key).Msg("quarantine: unreadable record skipped")
		return
	}
	if record.Value == nil {
		s.Table.clear(f)
		return
	}
	r, err := decodeRecord(record.Value)
	if err != nil {
		s.Logger.Error().Err(err).Str("key", record.Key).Msg("quarantine: unreadable record skipped")
		return
	}
	s.Table.observe(f, r, replayed, time.Now())
}

// runWriter writes pending records to the log until ctx ends.
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
		logstore.Notify(s.readNow)
	}
}

// nextBatch removes and returns pending records, at most maxWriteBatch.
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

// requeue makes records that were not written pending again, except where a newer one of
// the same request is pending.
func (s *Syncer) requeue(batch map[Fingerprint]*entryRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, r := range batch {
		if _, newer := s.pendingWrites[f]; !newer {
			s.pendingWrites[f] = r
		}
	}
}

// writeBatch writes records to the log. Each write has a higher epoch than the one before,
// so that the log rejects a delayed write that arrives after a later one.
func (s *Syncer) writeBatch(ctx context.Context, batch map[Fingerprint]*entryRecord) error {
	records := make([]logstore.KeyedRecord, 0, len(batch))
	for f, r := range batch {
		keyed := logstore.KeyedRecord{Key: f.String()}
		if r != nil {
			value, err := r.encode()
			if err != nil {
				s.Logger.Error().Err(err).Stringer("content", f).Msg("quarantine: record not encoded, not written")
				continue
			}
			keyed.Value = value
		}
		records = append(records, keyed)
	}
	s.lastEpoch++
	write := logstore.WriteID{Writer: string(s.Table.self), Epoch: s.lastEpoch}
	return s.Log.Put(ctx, logstore.TopicQuarantine, write, records)
}

// runSweeper removes expired entries and clears them on the log until ctx ends.
func (s *Syncer) runSweeper(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, sweepInterval, nil)
		for _, f := range s.Table.sweep(time.Now()) {
			s.enqueue(f, nil)
		}
	}
}
