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
	terms right.Terms
	held  *right.HeldRight[Use]
	part  *Replica
	log   Appender
	opts  Options

	ctx     context.Context // Ends with the instance.
	wake    chan struct{}
	retired chan struct{} // Closed when the epoch has ended in the fold.

	mu    sync.Mutex // Guards all below.
	table *table
	// queue has the records that go to the log lazily, and what follows once
	// they are there.
	queue []lazy
}

type lazy struct {
	records []record.Record
	then    func()
}

func newShard(ctx context.Context, terms right.Terms, held *right.HeldRight[Use], part *Replica, log Appender, opts Options) *shard {
	return &shard{
		terms: terms, held: held, part: part, log: log, opts: opts,
		ctx: ctx, wake: make(chan struct{}, 1), retired: make(chan struct{}), table: newTable(),
	}
}

// retire ends this instance's use of an epoch that the fold has ended. What is
// queued for the log still goes there.
func (s *shard) retire() {
	s.held.Close()
	close(s.retired)
}

// begin answers one attempt's Begin. When several attempts of a request come
// at once, one is counted and the others wait for it.
func (s *shard) begin(ctx context.Context, r Request, attempt string, runner record.InstanceID) (Ticket, error) {
	for {
		w, ticket, v := s.meet(r, attempt, runner)
		switch v {
		case verdictReused:
			return Ticket{}, ErrKeyReused
		case verdictExpired:
			return Ticket{}, ErrUnknown
		case verdictMine, verdictJoin:
			return ticket, nil
		case verdictStart:
			return s.start(ctx, r, w)
		}
		select {
		case <-w.decided:
		case <-ctx.Done():
			return Ticket{}, ErrUnknown
		}
	}
}

// meet looks a request up in memory and fold, and enters a new row where there
// is none.
func (s *shard) meet(r Request, attempt string, runner record.InstanceID) (*row, Ticket, verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	logged := s.logged(r.Key)
	v := s.table.meet(r, attempt, logged, s.opts.Now())
	w := s.table.rows[r.Key]
	switch {
	case v == verdictStart:
		s.table.seq++
		w = &row{
			claim: record.Claim{
				Key: r.Key, Digest: r.Digest, Run: record.NewRunID(), Right: s.terms.Right, Runner: runner,
				UnixMilli: s.opts.Now().UnixMilli(), Seq: s.table.seq,
			},
			repeatable: r.Repeatable, attempt: attempt, decided: make(chan struct{}),
		}
		s.table.rows[r.Key] = w
		return w, Ticket{}, v
	case (v == verdictMine || v == verdictJoin) && w != nil:
		return w, w.ticket(v == verdictJoin), v
	case v == verdictJoin:
		return nil, foldTicket(*logged), v
	}
	return w, Ticket{}, v
}

// logged returns the fold's claim of a key.
func (s *shard) logged(key record.RequestKey) *fold.Claim {
	var c fold.Claim
	var ok bool
	s.part.View(func(f *fold.Ledger) { c, ok = f.Claim(key) })
	if !ok {
		return nil
	}
	return &c
}

// start counts a new row.
func (s *shard) start(ctx context.Context, r Request, w *row) (Ticket, error) {
	err := s.count(ctx, r, w)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(w.decided)
	if err != nil {
		delete(s.table.rows, r.Key)
		return Ticket{}, err
	}
	if r.Repeatable && s.table.open() > maxOpen {
		delete(s.table.rows, r.Key)
		return Ticket{Run: w.claim.Run, Runner: w.claim.Runner, Uncounted: true}, nil
	}
	w.counted = true
	return w.ticket(false), nil
}

// count makes a claim stand in two places. A repeatable request does not wait
// for the second: its bill is idempotent, so a twin does no harm.
func (s *shard) count(ctx context.Context, r Request, w *row) error {
	if r.Repeatable {
		s.held.Update(use(w.claim, 0))
		s.held.Flush()
		return nil
	}
	s.mu.Lock()
	full := s.table.open() > maxOpen
	s.mu.Unlock()
	if full {
		return s.uncounted(ctx, r)
	}
	if s.opts.Modes.WhenLogAway(r.Key.Team) == Serve && s.countByWitness(ctx, w) == nil {
		s.later([]record.Record{w.claim}, nil)
		return nil
	}
	err := s.countByLog(ctx, w)
	if err == nil || errors.Is(err, errNotHolder) {
		return err
	}
	return s.uncounted(ctx, r)
}

func (s *shard) countByWitness(ctx context.Context, w *row) error {
	if s.terms.Witness == "" {
		return errNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Acknowledge)
	defer cancel()
	return s.held.Use(ctx, use(w.claim, 0))
}

// countByLog appends a claim and looks whether the fold has it. A claim that
// may still reach the log after the wait is followed by its end, not run.
func (s *shard) countByLog(ctx context.Context, w *row) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Append)
	defer cancel()
	offset, err := s.log.Append(ctx, s.part.Stream(), w.claim)
	if err == nil {
		err = s.part.Wait(ctx, offset)
	}
	c := s.logged(w.claim.Key)
	switch {
	case c != nil && c.Run == w.claim.Run:
		return nil
	case err == nil:
		return errNotHolder
	}
	s.later([]record.Record{record.ClaimEnd{Key: w.claim.Key, Run: w.claim.Run, Outcome: record.OutcomeNotRun}}, nil)
	return err
}

// uncounted decides what is true of a request whose claim could not be
// counted. Load: log and witness out of reach. Harm prevented: "not run" said
// by a holder whose shard was sealed and taken over behind a partition, while
// an earlier attempt ran there. Limit: it is said only by the caller's promise
// that there was no earlier attempt, or once the witness has shown just now
// that it has not sealed the shard.
func (s *shard) uncounted(ctx context.Context, r Request) error {
	if r.First || s.proven(ctx) {
		return ErrNotCounted
	}
	return ErrUnknown
}

// proven says whether the witness acknowledges a use now.
func (s *shard) proven(ctx context.Context) bool {
	if s.terms.Witness == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Acknowledge)
	defer cancel()
	probe := right.Use[Use]{ID: right.UseID("probe-" + record.NewRunID())}
	if s.held.Use(ctx, probe) != nil {
		return false
	}
	s.held.Drop(probe.ID)
	return true
}

// place notes a run's endpoint.
func (s *shard) place(key record.RequestKey, run record.RunID, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.table.rows[key]
	if !ok || w.claim.Run != run || w.outcome != 0 {
		return
	}
	w.claim.Endpoint = endpoint
	s.held.Update(use(w.claim, 0))
	s.held.Flush()
}

// end notes a run's outcome and sends it to the log. It returns false where
// the run is not known here.
func (s *shard) end(key record.RequestKey, attempt string, e End) bool {
	s.mu.Lock()
	w := s.table.end(key, attempt, e)
	s.mu.Unlock()
	if w == nil {
		return s.endLogged(key, e)
	}
	if w.repeatable {
		s.endRepeatable(w, e)
		return true
	}
	s.held.Update(use(w.claim, e.Outcome))
	end := record.ClaimEnd{Key: key, Run: w.claim.Run, Outcome: e.Outcome}
	s.later([]record.Record{w.claim, end}, func() { s.settled(w) })
	return true
}

// endRepeatable lets go of a repeatable run. The log knows it only where it was
// claimed in an earlier epoch; then it must learn the end too, or later epochs
// would take the run for lost.
func (s *shard) endRepeatable(w *row, e End) {
	c := s.logged(w.claim.Key)
	if c == nil || c.Run != w.claim.Run {
		s.settled(w)
		return
	}
	end := record.ClaimEnd{Key: w.claim.Key, Run: w.claim.Run, Outcome: e.Outcome}
	s.later([]record.Record{end}, func() { s.settled(w) })
}

// endLogged notes the outcome of a run that was claimed in an earlier epoch.
func (s *shard) endLogged(key record.RequestKey, e End) bool {
	c := s.logged(key)
	if c == nil || c.Run != e.Run {
		return false
	}
	s.later([]record.Record{record.ClaimEnd{Key: key, Run: e.Run, Outcome: e.Outcome}}, nil)
	return true
}

// settled lets go of a row that needs no place in a close any more.
func (s *shard) settled(w *row) {
	s.held.Drop(right.UseID(w.claim.Run))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.retire(w)
}

// later queues records for the log.
func (s *shard) later(records []record.Record, then func()) {
	s.mu.Lock()
	s.queue = append(s.queue, lazy{records: records, then: then})
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// writeLazily appends what is queued, many records at once, until the instance
// or the epoch ends. The witness has the claims meanwhile.
func (s *shard) writeLazily() {
	for {
		last := false
		select {
		case <-s.wake:
		case <-s.retired:
			last = true
		case <-s.ctx.Done():
			return
		}
		for s.writeGroup() {
			if !s.groupWaits() {
				pause(s.ctx, s.opts.Linger)
			}
		}
		if last {
			return
		}
	}
}

// groupWaits says whether a whole group is queued: more calls than Linger is
// made for. Then the appends follow each other at once, before maxOpen refuses.
func (s *shard) groupWaits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) >= maxGroup
}

// writeGroup appends one group; it returns false when none was queued.
func (s *shard) writeGroup() bool {
	s.mu.Lock()
	n := min(len(s.queue), maxGroup)
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
	offset, err := s.log.Append(s.ctx, s.part.Stream(), records...)
	if err == nil {
		err = s.part.Wait(s.ctx, offset)
	}
	for _, l := range group {
		if err == nil && l.then != nil {
			l.then()
		}
	}
	s.held.Flush()
	return err == nil
}

// close ends this instance's use of the shard and returns what must be on the
// log before, and with, the close.
func (s *shard) close() []Use {
	s.held.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Use
	for _, w := range s.table.unlogged() {
		out = append(out, Use{Claim: w.claim, Outcome: w.outcome})
	}
	return out
}

func use(c record.Claim, outcome record.Outcome) right.Use[Use] {
	return right.Use[Use]{ID: right.UseID(c.Run), Body: Use{Claim: c, Outcome: outcome}}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
