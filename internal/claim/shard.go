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

// errNotHolder reports that this instance does not hold the shard, or no longer
// does. Another instance may have counted a claim for the key.
var errNotHolder = eris.New("claim: shard not held by this instance")

// Use is what the witness stores about one use of a claim shard: a claim and,
// once the run has ended, its outcome.
type Use struct {
	Claim   record.Claim
	Outcome record.Outcome
}

// shardID identifies a claim shard. Zone is empty for requests without a
// session.
type shardID struct {
	Zone  record.Zone
	Shard int
}

// Replica is the replicated fold of the ledger partition that stores a shard's
// claims.
type Replica = replica.Replica[*fold.Ledger]

// shard is one epoch of a claim shard that this instance holds. It is safe for
// concurrent use.
type shard struct {
	terms     right.Terms
	heldRight *right.HeldRight[Use]
	partition *Replica
	log       Appender
	opts      Options

	ctx          context.Context // Canceled by Holder.Close.
	queueChanged chan struct{}
	retired      chan struct{} // Closed once the epoch has ended in the fold.

	mu    sync.Mutex // Guards all below.
	table *claimTable
	// queue contains the records to append to the log in the background.
	queue []queuedRecords
}

// queuedRecords is one entry of a shard's queue. onLogged, if not nil, is called
// once its records are appended and applied.
type queuedRecords struct {
	records  []record.Record
	onLogged func()
}

func newShard(ctx context.Context, terms right.Terms, heldRight *right.HeldRight[Use], partition *Replica, log Appender, opts Options) *shard {
	return &shard{
		terms: terms, heldRight: heldRight, partition: partition, log: log, opts: opts,
		ctx: ctx, queueChanged: make(chan struct{}, 1), retired: make(chan struct{}), table: newClaimTable(),
	}
}

// retire stops using an epoch that has ended in the fold. Queued records are
// still appended to the log.
func (s *shard) retire() {
	s.heldRight.Close()
	close(s.retired)
}

// begin handles one attempt's Begin. If several attempts of a request arrive
// together, the first one's claim is counted and the others wait for the
// result.
func (s *shard) begin(ctx context.Context, r Request, attempt string, runner record.InstanceID) (Ticket, error) {
	for {
		entry, ticket, v := s.findOrAdd(r, attempt, runner)
		switch v {
		case decisionKeyReused:
			return Ticket{}, ErrKeyReused
		case decisionKeyExpired:
			return Ticket{}, eris.Wrapf(ErrUnknown, "claim: key %q may be older than the claim window", r.Key.Key)
		case decisionOwnRun, decisionJoin:
			return ticket, nil
		case decisionStart:
			return s.admit(ctx, r, entry)
		}
		select {
		case <-entry.countingDone:
		case <-ctx.Done():
			return Ticket{}, eris.Wrap(ErrUndecided, "claim: another attempt's claim was not counted in time")
		}
	}
}

// findOrAdd looks up the request's claim in memory and in the fold, and adds a
// new entry if there is none.
func (s *shard) findOrAdd(r Request, attempt string, runner record.InstanceID) (*claimEntry, Ticket, decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	logged := s.foldClaim(r.Key)
	if ended := s.table.adoptLoggedEnd(r.Key, logged); ended != nil {
		s.heldRight.Drop(right.UseID(ended.claim.Run))
	}
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

// foldClaim returns the fold's claim of a key, nil for none.
func (s *shard) foldClaim(key record.RequestKey) *fold.Claim {
	var c fold.Claim
	var ok bool
	s.partition.View(func(f *fold.Ledger) { c, ok = f.Claim(key) })
	if !ok {
		return nil
	}
	return &c
}

// admit counts the claim of a new entry and returns its ticket, or removes the
// entry if the claim does not count.
func (s *shard) admit(ctx context.Context, r Request, entry *claimEntry) (Ticket, error) {
	err := s.countClaim(ctx, r, entry)
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

// countClaim stores a claim in a second place. A repeatable request does not
// wait for that: its bill is idempotent, so a duplicate run does no harm.
func (s *shard) countClaim(ctx context.Context, r Request, entry *claimEntry) error {
	if r.Repeatable {
		s.heldRight.Update(newUse(entry.claim, 0))
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

// countByWitness waits for the witness to acknowledge a claim.
func (s *shard) countByWitness(ctx context.Context, entry *claimEntry) error {
	if s.terms.Witness == "" {
		return errNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.AcknowledgeTimeout)
	defer cancel()
	return s.heldRight.Use(ctx, newUse(entry.claim, 0))
}

// countByLog appends a claim and checks whether the fold accepted it. If the
// append is not confirmed in time, the claim may still reach the log, so an end
// with the outcome not run is queued to follow it.
func (s *shard) countByLog(ctx context.Context, entry *claimEntry) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.AppendTimeout)
	defer cancel()
	offset, err := s.log.Append(ctx, s.partition.Stream(), entry.claim)
	if err == nil {
		err = s.partition.AwaitOffset(ctx, offset)
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

// notCountedError returns the error for a request whose claim could not be
// counted because log and witness are unreachable. This instance's shard may
// have been sealed and taken over behind a network partition, and an earlier
// attempt may have run there. So the error is ErrNotCounted, which asserts that
// the request has not run, only if the caller assured that there was no earlier
// attempt or the witness confirms at this moment that it has not sealed the
// shard.
func (s *shard) notCountedError(ctx context.Context, r Request) error {
	if r.First || s.witnessConfirms(ctx) {
		return ErrNotCounted
	}
	return eris.Wrap(ErrUndecided, "claim: neither log nor witness stored the claim, and the witness may have sealed the shard")
}

// witnessConfirms reports whether the witness currently acknowledges a use, so
// has not sealed the shard. It sends a use without a claim as a probe.
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

// place records a run's endpoint, here and at the witness.
func (s *shard) place(key record.RequestKey, run record.RunID, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.table.entries[key]
	if !ok || entry.claim.Run != run || entry.outcome != 0 {
		return
	}
	entry.claim.Endpoint = endpoint
	s.heldRight.Update(newUse(entry.claim, 0))
	s.heldRight.Flush()
}

// end records a run's outcome and queues it for the log. It returns false if
// the run is unknown here.
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
	s.heldRight.Update(newUse(entry.claim, e.Outcome))
	end := record.ClaimEnd{Key: key, Run: entry.claim.Run, Outcome: e.Outcome}
	s.enqueue([]record.Record{entry.claim, end}, func() { s.forget(entry) })
	return true
}

// endRepeatable releases the entry of a repeatable run. Only a run that was
// claimed in an earlier epoch is on the log; its end is queued for the log,
// because later epochs would otherwise treat the run as lost.
func (s *shard) endRepeatable(entry *claimEntry, e End) {
	c := s.foldClaim(entry.claim.Key)
	if c == nil || c.Run != entry.claim.Run {
		s.forget(entry)
		return
	}
	end := record.ClaimEnd{Key: entry.claim.Key, Run: entry.claim.Run, Outcome: e.Outcome}
	s.enqueue([]record.Record{end}, func() { s.forget(entry) })
}

// endLogged queues the outcome of a run that was claimed in an earlier epoch.
// It returns false if the fold has no claim of this run.
func (s *shard) endLogged(key record.RequestKey, e End) bool {
	c := s.foldClaim(key)
	if c == nil || c.Run != e.Run {
		return false
	}
	s.enqueue([]record.Record{record.ClaimEnd{Key: key, Run: e.Run, Outcome: e.Outcome}}, nil)
	return true
}

// forget drops an entry's use at the witness, as a close need not account for it
// any more, and lets the table evict the entry.
func (s *shard) forget(entry *claimEntry) {
	s.heldRight.Drop(right.UseID(entry.claim.Run))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.markLogged(entry)
}

// enqueue queues records for the log. onLogged, if not nil, is called once they
// are appended and applied.
func (s *shard) enqueue(records []record.Record, onLogged func()) {
	s.mu.Lock()
	s.queue = append(s.queue, queuedRecords{records: records, onLogged: onLogged})
	s.mu.Unlock()
	select {
	case s.queueChanged <- struct{}{}:
	default:
	}
}

// runLogWriter appends the queued records in groups until the instance stops or
// the epoch ends. The witness stores the claims until then.
func (s *shard) runLogWriter() {
	for {
		final := false
		select {
		case <-s.queueChanged:
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

// hasFullGroup reports whether a whole group is queued, which means more calls
// than the flush interval allows for. The next append then follows without a
// pause, so that the number of open claims does not reach maxOpenClaims.
func (s *shard) hasFullGroup() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) >= maxAppendEntries
}

// appendQueued appends one group of queued entries and waits until the fold has
// applied it. It returns false if nothing was queued or the append failed.
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
		err = s.partition.AwaitOffset(s.ctx, offset)
	}
	for _, l := range group {
		if err == nil && l.onLogged != nil {
			l.onLogged()
		}
	}
	s.heldRight.Flush()
	return err == nil
}

// close stops using the shard and returns the uses whose records must be on the
// log before the close, or in the same batch.
func (s *shard) close() []Use {
	s.heldRight.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Use
	for _, entry := range s.table.unloggedClaims() {
		out = append(out, Use{Claim: entry.claim, Outcome: entry.outcome})
	}
	return out
}

// newUse returns the use of the shard that the witness stores for a claim; the
// run ID identifies it.
func newUse(c record.Claim, outcome record.Outcome) right.Use[Use] {
	return right.Use[Use]{ID: right.UseID(c.Run), Body: Use{Claim: c, Outcome: outcome}}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
