package claim

import (
	"time"

	"github.com/google/uuid"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

const (
	// MaxAnswerBytes is the largest answer that is kept for retries.
	MaxAnswerBytes = 64 << 10
	// maxAnswersBytes bounds all answers kept by one shard.
	maxAnswersBytes = 4 << 20
	// maxEnded bounds the ended claims that one shard keeps in memory.
	maxEnded = 4096
	// maxOpen bounds the claims of one shard that have not ended or are not on
	// the log. Above it no new one counts: a log outage must not take all
	// memory.
	maxOpen = 1 << 16
	// clockSkew is how far the clocks of instances and callers may be apart.
	clockSkew = time.Hour
)

// row is one claim in the holder's memory.
type row struct {
	claim      record.Claim
	repeatable bool
	attempt    string
	counted    bool
	decided    chan struct{} // Closed when counting has ended.
	outcome    record.Outcome
	answer     *Answer
	logged     bool // The fold has it, with its outcome if there is one.
}

// table is the holder's memory of one shard epoch. It is not safe for
// concurrent use. A claim that the fold has needs no row here.
type table struct {
	rows        map[record.RequestKey]*row
	ended       []*row // Ended and logged, oldest first.
	answerBytes int
	// freed has the runs that did not run although the fold, which lags, may
	// still show their claim.
	freed map[record.RunID]struct{}
	seq   uint64 // Of the last claim made here.
}

func newTable() *table {
	return &table{rows: map[record.RequestKey]*row{}, freed: map[record.RunID]struct{}{}}
}

// verdict is what Begin meets at the holder.
type verdict int

const (
	verdictStart   verdict = iota // No claim: make one.
	verdictWait                   // Another attempt is being counted.
	verdictMine                   // This very attempt has the run.
	verdictJoin                   // Another attempt has the run.
	verdictReused                 // The key was used with another body.
	verdictExpired                // The key is older than the claim window.
)

// meet decides what a request meets. Load: callers that retry at any instance,
// at any time. Harm prevented: a second run of a request that may not be
// repeated. Limit: the claim window, after which the tables have forgotten; a
// key that carries its time is never run once it may be that old.
func (t *table) meet(r Request, attempt string, logged *fold.Claim, now time.Time) verdict {
	own, ok := t.rows[r.Key]
	if logged != nil {
		if _, free := t.freed[logged.Run]; free {
			logged = nil
		}
	}
	switch {
	case ok && own.claim.Digest != r.Digest, !ok && logged != nil && logged.Digest != r.Digest:
		return verdictReused
	case ok && !own.counted:
		return verdictWait
	case ok && own.attempt == attempt && own.outcome == 0:
		return verdictMine
	case ok, logged != nil:
		return verdictJoin
	case expired(r.Key.Key, now):
		return verdictExpired
	}
	return verdictStart
}

// expired says whether a key is a UUIDv7 that may be older than the window.
func expired(key string, now time.Time) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	seconds, nanos := id.Time().UnixTime()
	return now.Sub(time.Unix(seconds, nanos)) > fold.ClaimWindow-clockSkew
}

// ticket returns what a joiner, or the attempt itself, gets to know.
func (w *row) ticket(join bool) Ticket {
	return Ticket{
		Run: w.claim.Run, Join: join, Outcome: w.outcome, Answer: w.answer,
		Runner: w.claim.Runner, Endpoint: w.claim.Endpoint,
	}
}

func foldTicket(c fold.Claim) Ticket {
	return Ticket{Run: c.Run, Join: true, Outcome: c.Outcome, Runner: c.Runner, Endpoint: c.Endpoint}
}

// open returns the number of claims that have to stay in memory.
func (t *table) open() int { return len(t.rows) - len(t.ended) }

// end notes a run's outcome. It returns the row, or nil if there is no such
// run here or it has ended before. A run that did not run frees its key.
func (t *table) end(key record.RequestKey, attempt string, e End) *row {
	w, ok := t.rows[key]
	if !ok || w.outcome != 0 || (w.claim.Run != e.Run && (attempt == "" || w.attempt != attempt)) {
		return nil
	}
	w.outcome = e.Outcome
	if e.Endpoint != "" {
		w.claim.Endpoint = e.Endpoint
	}
	if e.Outcome == record.OutcomeNotRun {
		delete(t.rows, key)
		t.freed[w.claim.Run] = struct{}{}
		return w
	}
	if e.Answer != nil && len(e.Answer.Body) <= MaxAnswerBytes {
		w.answer = e.Answer
		t.answerBytes += len(e.Answer.Body)
	}
	return w
}

// retire notes that an ended row is on the log, or needs no place there, and
// drops the oldest such rows over the bounds.
func (t *table) retire(w *row) {
	delete(t.freed, w.claim.Run)
	if t.rows[w.claim.Key] != w || w.logged {
		return
	}
	w.logged = true
	t.ended = append(t.ended, w)
	for len(t.ended) > maxEnded || t.answerBytes > maxAnswersBytes {
		old := t.ended[0]
		t.ended = t.ended[1:]
		if old.answer != nil {
			t.answerBytes -= len(old.answer.Body)
		}
		if t.rows[old.claim.Key] == old {
			delete(t.rows, old.claim.Key)
		}
		if len(t.ended) == 0 {
			return
		}
	}
}

// unlogged returns the counted claims that may not be on the log.
func (t *table) unlogged() []*row {
	var out []*row
	for _, w := range t.rows {
		if w.counted && !w.logged {
			out = append(out, w)
		}
	}
	return out
}
