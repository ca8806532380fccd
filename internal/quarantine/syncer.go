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
	// sweepInterval is the pause between two removals of expired entries.
	sweepInterval = time.Second
	// probeTimeout bounds the probe that shows whether an endpoint is gone. The host of
	// a crashed process refuses connections at once; one that does not answer shows
	// nothing.
	probeTimeout = 100 * time.Millisecond
	// confirmDelay is how long after an answer an endpoint that crashed at its end is known
	// to have crashed.
	confirmDelay = 150 * time.Millisecond
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
	claimGroup     singleflight.Group // By the kind of the claim and the fingerprint.
	readNow        chan struct{}      // Triggers a read of the log.
	writeNow       chan struct{}      // Triggers a write to the log.
	loaded         atomic.Bool
	logUnavailable atomic.Bool // The last read failed.

	mu            sync.Mutex // Guards pendingWrites.
	pendingWrites map[Fingerprint]pendingWrite
	lastEpoch     uint64 // Of the last write; only for writeBatch.
}

// NewSyncer returns a Syncer for an empty table. It does nothing before Run.
func NewSyncer(o Options) *Syncer {
	return &Syncer{
		Options: o, Table: NewTable(o.Self),
		readNow: make(chan struct{}, 1), writeNow: make(chan struct{}, 1), pendingWrites: map[Fingerprint]pendingWrite{},
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

// Admit returns nil if the request may be sent, and a *QuarantinedError if it must not be sent
// now. If the request may be sent once on behalf of the whole fleet, as a canary or a retest, it
// first tries to acquire that right.
func (s *Syncer) Admit(ctx context.Context, c Content) error {
	known := s.Table.lookup(c)
	v := s.Table.judge(known, time.Now())
	switch v.kind {
	case verdictAdmit:
		return nil
	case verdictRetest:
		if !s.logUnavailable.Load() && s.acquireRetest(ctx, v.subject.fingerprint) {
			v.log(s.Logger.Info()).Msg("quarantine: held request is retested")
			return nil
		}
	case verdictCanary:
		if s.acquireCanary(ctx, v.subject.fingerprint) {
			v.log(s.Logger.Info()).Msg("quarantine: suspected part of a prompt is tried")
			return nil
		}
	}
	current := s.Table.judge(known, time.Now()) // It may have changed while the request waited.
	if current.kind == verdictAdmit {
		return nil
	}
	return current.err()
}

// Broke records that the connection to an endpoint broke when the request had been in
// progress there for underWay. It probes whether the endpoint is gone and returns the
// result. If it is gone, the request has crashed it or was in progress beside the one
// that did, and records of that are written to the log.
func (s *Syncer) Broke(ctx context.Context, c Content, at Endpoint, underWay time.Duration) (gone bool) {
	if !isRefused(s.probe(ctx, at)) {
		return false
	}
	s.recordCrash(c, at, underWay)
	return true
}

// recordCrash records that an endpoint crashed when the request had been in progress there for
// underWay.
func (s *Syncer) recordCrash(c Content, at Endpoint, underWay time.Duration) {
	now := time.Now()
	for _, suspect := range s.Table.suspects(c, at.incarnation(), now) {
		r := s.Table.recordCrash(suspect, c.Organisation, at.incarnation(), underWay, now)
		if r == nil {
			continue
		}
		s.logCrash(suspect, c, at, r)
		s.enqueue(suspect.fingerprint, r)
	}
}

// logCrash logs that an endpoint crashed under a subject. The first crash of a part is not
// logged, since the line of the request's content names its parts.
func (s *Syncer) logCrash(suspect subject, c Content, at Endpoint, r *entryRecord) {
	if suspect.part != "" && r.Crashes < crashesToSuspect {
		return
	}
	line := s.ThinnedLogger.Info()
	if r.Crashes >= crashesToQuarantine {
		line = s.Logger.Warn()
	}
	line = line.Stringer("content", suspect.fingerprint).Strs("parts", c.Parts).Str("team", string(c.Organisation)).Str("endpoint", at.ID).Int("ends", r.Crashes).
		Dur("under_way", r.UnderWay)
	if suspect.part != "" {
		line.Str("part", suspect.part).Msg("quarantine: endpoint ended under a part of a prompt")
		return
	}
	line.Msg("quarantine: endpoint ended under a request")
}

// probe connects to the endpoint. Concurrent calls for one endpoint share a probe.
func (s *Syncer) probe(ctx context.Context, e Endpoint) error {
	_, err, _ := s.probeGroup.Do(e.ID, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		return nil, s.Probe(ctx, e.ID, e.Address)
	})
	return err
}

// isRefused reports whether the error of a probe means that the endpoint is gone.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Answered records that an endpoint has answered the request completely. Its content is
// therefore not to blame for a crash. Its parts are not to blame either if the endpoint then
// goes on; an answer that fails the request tells nothing of them, and comes without them. If the
// endpoint had crashed before, another process has answered at its address.
func (s *Syncer) Answered(c Content, by Endpoint) {
	s.Table.recordAnswer(c.Parts, by.incarnation(), time.Now())
	known := s.Table.lookup(c)
	if len(known) == 0 {
		return
	}
	if known[0].part == "" {
		s.clear(known[0])
		known = known[1:]
	}
	if len(known) == 0 {
		return
	}
	since := time.Now().Add(-confirmDelay)
	time.AfterFunc(confirmDelay, func() {
		if s.Table.hasCrashedSince(by.incarnation(), since) {
			return
		}
		for _, suspect := range known {
			s.clear(suspect)
		}
	})
}

// HasCrashed reports whether the endpoint, whose answer ended with its connection, has crashed.
// The error is not nil if that can't be found out.
func (s *Syncer) HasCrashed(ctx context.Context, e Endpoint) (crashed bool, err error) {
	switch err := s.probe(ctx, e); {
	case isRefused(err):
		return true, nil
	default:
		return false, err
	}
}

// clear clears a subject here and on the log.
func (s *Syncer) clear(cleared subject) {
	delay := maxClearDelay
	if s.Table.isSuspected(cleared.fingerprint) {
		delay = maxUrgentDelay
	}
	if !s.Table.clear(cleared.fingerprint, time.Now()) {
		return
	}
	s.ThinnedLogger.Info().Stringer("content", cleared.fingerprint).Str("part", cleared.part).Msg("quarantine: request answered, cleared")
	if cleared.part == "" {
		s.enqueue(cleared.fingerprint, nil)
		return
	}
	s.enqueueDelayed(cleared.fingerprint, nil, delay)
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

// observe applies a record of the log to the table. replayed states that it was on the log before
// this instance began to follow it.
func (s *Syncer) observe(record logstore.KeyedRecord, replayed bool) {
	if record.Value == nil {
		if f, ok := s.parseKey(record.Key); ok {
			s.Table.clear(f, time.Now())
			s.dropDelayed(f, true)
		}
		return
	}
	f, r, ok := s.parseRecord(record.Key, record.Value)
	if !ok {
		return
	}
	if repaired := s.Table.observe(f, r, replayed, time.Now()); repaired != nil {
		s.enqueueDelayed(f, repaired, maxUrgentDelay)
		return
	}
	s.dropDelayed(f, false)
}

// parseKey returns the fingerprint that is the key of a record. An unreadable one is logged.
func (s *Syncer) parseKey(key string) (f Fingerprint, ok bool) {
	f, err := parseFingerprint(key)
	if err != nil {
		s.Logger.Error().Err(err).Str("key", key).Msg("quarantine: unreadable record skipped")
	}
	return f, err == nil
}

// parseRecord returns the fingerprint and the content of a record. An unreadable one is logged.
func (s *Syncer) parseRecord(key string, value []byte) (f Fingerprint, r *entryRecord, ok bool) {
	if f, ok = s.parseKey(key); !ok {
		return f, nil, false
	}
	r, err := decodeRecord(value)
	if err != nil {
		s.Logger.Error().Err(err).Str("key", key).Msg("quarantine: unreadable record skipped")
	}
	return f, r, err == nil
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
