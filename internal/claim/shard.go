package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/right"
)

// errNotHolder says that this instance does not hold the shard, or no more.
// Another instance may have counted a claim of the key.
var errNotHolder = eris.New("claim: shard not held here")

// Use is the body of a use of a claim shard: what the witness keeps.
type Use struct {
	Claim   record.Claim
	Outcome record.Outcome
}

// shardID names a claim shard.
type shardID struct {
	Zone  record.Zone
	Shard int
}

// Replica is the fold of the ledger partition that a shard's claims stand in.
type Replica = replica.Replica[*fold.Ledger]

// shard is one epoch of a claim shard, held by this instance. It is safe for
// concurrent use.
type shard struct {
	terms     right.Terms
	heldRight *right.Held[Use]
	partition *Replica
	log       Appender
	opts      Options

	ctx     context.Context // Ends with the instance.
	wake    chan struct{}
	retired chan struct{} // Closed when the epoch has ended in the fold.

	mu    sync.Mutex // Guards all below.
	table *claimTable
	// queue has the records that go to the log lazily, and what follows once
	// they are there.
	queue []queuedRecords
}

type queuedRecords struct {
	records  []record.Record
	onLogged func()
}

func newShard(ctx context.Context, terms right.Terms, heldRight *right.Held[Use], partition *Replica, log Appender, opts Options) *shard {
	return &shard{
		terms: terms, heldRight: heldRight, partition: partition, log: log, opts: opts,
		ctx: ctx, wake: make(chan struct{}, 1), retired: make(chan struct{}), table: newClaimTable(),
	}
}

// retire ends this instance's use of an epoch that the fold has ended. What is
// queued for the log still goes there.
func (s *shard) retire() {
	s.heldRight.Close()
	close(s.retired)
}

// begin answers one attempt's Begin. When several attempts of a request come
// at once, one is counted and the others wait for it.
func (s *shard) begin(ctx context.Context, r Request, attempt string, runner record.InstanceID) (Ticket, error) {
	for {
		entry, ticket, v := s.findOrAdd(r, attempt, runner)
		switch v {
		case decisionKeyReused:
			return Ticket{}, ErrKeyReused
		case decisionKeyExpired:
			return Ticket{}, ErrUnknown
		case decisionOwnRun, decisionJoin:
			return ticket, nil
		case decisionStart:
			return s.admit(ctx, r, entry)
		}
		select {
		case <-entry.countingDone:
		case <-ctx.Done():
			return Ticket{}, ErrUnknown
		}
	}
}

// findOrAdd looks a request up in memory and fold, and enters a new row where there
// is none.
func (s *shard) findOrAdd(r Request, attempt string, runner record.InstanceID) (*claimEntry, Ticket, decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	logged := s.foldClaim(r.Key)
	v := s.table.decide(r, attempt, logged, s.opts.Now())
	entry := s.table.entries[r.Key]
	switch {
	case v == decisionStart:
		s.table.lastSeq++
		entry = &claimEntry{
			claim: record.Claim{
				Key: r.Key, Digest: r.Digest, Run: record.NewRunID(), Right: s.terms.Right, Runner: runner,
				UnixMilli: s.opts.Now().UnixMilli(), Seq: s.table.lastSeq,
			},
			repeatable: r.Repeatable, attempt: attempt, countingDone: make(chan struct{}),
		}
		s.table.entries[r.Key] = entry
		return entry, Ticket{}, v
	case (v == decisionOwnRun || v == decisionJoin) && entry != nil:
		return entry, entry.ticket(v == decisionJoin), v
	case v == decisionJoin:
		return nil, ticketFromFold(*logged), v
	}
	return entry, Ticket{}, v
}

// foldClaim returns the fold's claim of a key.
func (s *shard) foldClaim(key record.RequestKey) *fold.Claim {
	var c fold.Claim
	var ok bool
	s.partition.View(func(f *fold.Ledger) { c, ok = f.Claim(key) })
	if !ok {
		return nil
	}
	return &c
}

// admit counts a new row.
func (s *shard) admit(ctx context.Context, r Request, entry *claimEntry) (Ticket, error) {
	err := s.count(ctx, r, entry)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(entry.countingDone)
	if err != nil {
		delete(s.table.entries, r.Key)
		return Ticket{}, err
	}
	if r.Repeatable && s.table.openCount() > maxOpenClaims {
		delete(s.table.entries, r.Key)
		return Ticket{Run: entry.claim.Run, Runner: entry.claim.Runner, Uncounted: true}, nil
	}
	entry.counted = true
	return entry.ticket(false), nil
}

// count makes a claim stand in two places. A repeatable request does not wait
// for the second: its bill is idempotent, so a twin does no harm.
func (s *shard) count(ctx context.Context, r Request, entry *claimEntry) error {
	if r.Repeatable {
		s.heldRight.Change(newUse(entry.claim, 0))
		s.heldRight.Flush()
		return nil
	}
	s.mu.Lock()
	full := s.table.openCount() > maxOpenClaims
	s.mu.Unlock()
	if full {
		return s.notCountedError(ctx, r)
	}
	if s.opts.Modes.WhenLogUnavailable(r.Key.Team) == ModeServe && s.countByWitness(ctx, entry) == nil {
		s.enqueue([]record.Record{entry.claim}, nil)
		return nil
	}
	err := s.countByLog(ctx, entry)
	if err == nil || errors.Is(err, errNotHolder) {
		return err
	}
	return s.notCountedError(ctx, r)
}

func (s *shard) countByWitness(ctx context.Context, entry *claimEntry) error {
	if s.terms.Witness == "" {
		return errNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.AcknowledgeTimeout)
	defer cancel()
	return s.heldRight.Use(ctx, newUse(entry.claim, 0))
}

// countByLog appends a claim and looks whether the fold has it. A claim that
// may still reach the log after the wait is followed by its end, not run.
func (s *shard) countByLog(ctx context.Context, entry *claimEntry) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.AppendTimeout)
	defer cancel()
	offset, err := s.log.Append(ctx, s.partition.Stream(), entry.claim)
	if err == nil {
		err = s.partition.Wait(ctx, offset)
	}
	c := s.foldClaim(entry.claim.Key)
	switch {
	case c != nil && c.Run == entry.claim.Run:
		return nil
	case err == nil:
		return errNotHolder
	}
	s.enqueue([]record.Record{record.ClaimEnd{Key: entry.claim.Key, Run: entry.claim.Run, Outcome: record.OutcomeNotRun}}, nil)
	return err
}

// notCountedError decides what is true of a request whose claim could not be
// counted. Load: log and witness out of reach. Harm prevented: "not run" said
// by a holder whose shard was sealed and taken over behind a partition, while
// an earlier attempt ran there. Limit: it is said only by the caller's promise
// that there was no earlier attempt, or once the witness has shown just now
// that it has not sealed the shard.
func (s *shard) notCountedError(ctx context.Context, r Request) error {
	if r.First || s.witnessConfirms(ctx) {
		return ErrNotCounted
	}
	return ErrUnknown
}

// witnessConfirms says whether the witness acknowledges a use now.
func (s *shard) witnessConfirms(ctx context.Context) bool {
	if s.terms.Witness == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.AcknowledgeTimeout)
	defer cancel()
	probe := right.Use[Use]{ID: right.UseID("probe-" + record.NewRunID())}
	if s.heldRight.Use(ctx, probe) != nil {
		return false
	}
	s.heldRight.Drop(probe.ID)
	return true
}

// place notes a run's endpoint.
func (s *shard) place(key record.RequestKey, run record.RunID, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.table.entries[key]
	if !ok || entry.claim.Run != run || entry.outcome != 0 {
		return
	}
	entry.claim.Endpoint = endpoint
	s.heldRight.Change(newUse(entry.claim, 0))
	s.heldRight.Flush()
}

// end notes a run's outcome and sends it to the log. It returns false where
// the run is not known here.
func (s *shard) end(key record.RequestKey, attempt string, e End) bool {
	s.mu.Lock()
	entry := s.table.end(key, attempt, e)
	s.mu.Unlock()
	if entry == nil {
		return s.endLogged(key, e)
	}
	if entry.repeatable {
		s.endRepeatable(entry, e)
		return true
	}
	s.heldRight.Change(newUse(entry.claim, e.Outcome))
	end := record.ClaimEnd{Key: key, Run: entry.claim.Run, Outcome: e.Outcome}
	s.enqueue([]record.Record{entry.claim, end}, func() { s.release(entry) })
	return true
}

// endRepeatable lets go of a repeatable run. The log knows it only where it was
// claimed in an earlier epoch; then it must learn the end too, or later epochs
// would take the run for lost.
func (s *shard) endRepeatable(entry *claimEntry, e End) {
	c := s.foldClaim(entry.claim.Key)
	if c == nil || c.Run != entry.claim.Run {
		s.release(entry)
		return
	}
	end := record.ClaimEnd{Key: entry.claim.Key, Run: entry.claim.Run, Outcome: e.Outcome}
	s.enqueue([]record.Record{end}, func() { s.release(entry) })
}

// endLogged notes the outcome of a run that was claimed in an earlier epoch.
func (s *shard) endLogged(key record.RequestKey, e End) bool {
	c := s.foldClaim(key)
	if c == nil || c.Run != e.Run {
		return false
	}
	s.enqueue([]record.Record{record.ClaimEnd{Key: key, Run: e.Run, Outcome: e.Outcome}}, nil)
	return true
}

// release lets go of a row that needs no place in a close any more.
func (s *shard) release(entry *claimEntry) {
	s.heldRight.Drop(right.UseID(entry.claim.Run))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.markLogged(entry)
}

// enqueue queues records for the log.
func (s *shard) enqueue(records []record.Record, onLogged func()) {
	s.mu.Lock()
	s.queue = append(s.queue, queuedRecords{records: records, onLogged: onLogged})
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runLogWriter appends what is queued, many records at once, until the instance
// or the epoch ends. The witness has the claims meanwhile.
func (s *shard) runLogWriter() {
	for {
		final := false
		select {
		case <-s.wake:
		case <-s.retired:
			final = true
		case <-s.ctx.Done():
			return
		}
		for s.appendQueued() {
			if !s.hasFullGroup() {
				sleep(s.ctx, s.opts.LogFlushInterval)
			}
		}
		if final {
			return
		}
	}
}

// hasFullGroup says whether a whole group is queued: more calls than Linger is
// made for. Then the appends follow each other at once, before maxOpenClaims refuses.
func (s *shard) hasFullGroup() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) >= maxAppendEntries
}

// appendQueued appends one group; it returns false when none was queued.
func (s *shard) appendQueued() bool {
	s.mu.Lock()
	n := min(len(s.queue), maxAppendEntries)
	group := s.queue[:n:n]
	s.queue = s.queue[n:]
	s.mu.Unlock()
	var records []record.Record
	for _, l := range group {
		records = append(records, l.records...)
	}
	if len(records) == 0 {
		return false
	}
	offset, err := s.log.Append(s.ctx, s.partition.Stream(), records...)
	if err == nil {
		err = s.partition.Wait(s.ctx, offset)
	}
	for _, l := range group {
		if err == nil && l.onLogged != nil {
			l.onLogged()
		}
	}
	s.heldRight.Flush()
	return err == nil
}

// close ends this instance's use of the shard and returns what must be on the
// log before, and with, the close.
func (s *shard) close() []Use {
	s.heldRight.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Use
	for _, entry := range s.table.unlogged() {
		out = append(out, Use{Claim: entry.claim, Outcome: entry.outcome})
	}
	return out
}

func newUse(c record.Claim, outcome record.Outcome) right.Use[Use] {
	return right.Use[Use]{ID: right.UseID(c.Run), Body: Use{Claim: c, Outcome: outcome}}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
