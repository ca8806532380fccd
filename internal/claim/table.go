package claim

import (
	"time"

	"github.com/google/uuid"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

const (
	// MaxAnswerBytes is the size of the largest response body that is kept for
	// retries.
	MaxAnswerBytes = 64 << 10
	// maxTotalAnswerBytes bounds the response bodies kept by one shard, and those kept
	// by one runTable.
	maxTotalAnswerBytes = 4 << 20
	// maxEndedClaims bounds the ended claims that one shard keeps in memory.
	maxEndedClaims = 4096
	// maxOpenClaims bounds the claims of one shard that have not ended or are not
	// on the log. Further claims do not count, so that a log outage cannot exhaust
	// the memory.
	maxOpenClaims = 1 << 16
	// maxClockSkew is the largest assumed difference between the clocks of
	// instances and callers.
	maxClockSkew = time.Hour
)

// claimEntry is one claim in the holder's memory.
type claimEntry struct {
	claim        record.Claim
	repeatable   bool
	attempt      string
	counted      bool
	countingDone chan struct{} // Closed once counting has succeeded or failed.
	outcome      record.Outcome
	answer       *Answer
	logged       bool // The fold has the claim and its outcome, or need not have them.
}

// claimTable contains the claims that the holder of one shard epoch keeps in
// memory. Claims that the fold has need no entry. It is not safe for concurrent
// use.
type claimTable struct {
	entries     map[record.RequestKey]*claimEntry
	ended       []*claimEntry // Ended and logged, oldest first.
	answerBytes int
	// freed contains the runs that ended as not run, whose claim the lagging fold
	// may still show.
	freed   map[record.RunID]struct{}
	lastSeq uint64 // Sequence number of the last claim made in this epoch.
}

func newClaimTable() *claimTable {
	return &claimTable{entries: map[record.RequestKey]*claimEntry{}, freed: map[record.RunID]struct{}{}}
}

// decision is how the holder answers a Begin.
type decision int

const (
	decisionStart      decision = iota // There is no claim: make one.
	decisionWait                       // Another attempt's claim is being counted: wait.
	decisionOwnRun                     // This attempt already has the run.
	decisionJoin                       // Another attempt has the run.
	decisionKeyReused                  // The key was used with another body.
	decisionKeyExpired                 // The key may be older than the claim window.
)

// decide returns the decision about an attempt, so that a request that must not
// be repeated runs at most once although callers retry at any instance and any
// time. This holds within the claim window, after which the tables forget a
// claim: a key that contains its creation time is rejected once it may be that
// old.
func (t *claimTable) decide(r Request, attempt string, logged *fold.Claim, now time.Time) decision {
	entry, ok := t.entries[r.Key]
	if logged != nil {
		if _, wasFreed := t.freed[logged.Run]; wasFreed {
			logged = nil
		}
	}
	switch {
	case ok && entry.claim.Digest != r.Digest, !ok && logged != nil && logged.Digest != r.Digest:
		return decisionKeyReused
	case ok && !entry.counted:
		return decisionWait
	case ok && entry.attempt == attempt && entry.outcome == 0:
		return decisionOwnRun
	case ok, logged != nil:
		return decisionJoin
	case isKeyExpired(r.Key.Key, now):
		return decisionKeyExpired
	}
	return decisionStart
}

// isKeyExpired reports whether a key is a UUIDv7 that may be older than the
// claim window.
func isKeyExpired(key string, now time.Time) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	seconds, nanos := id.Time().UnixTime()
	return now.Sub(time.Unix(seconds, nanos)) > fold.ClaimWindow-maxClockSkew
}

// ticket returns the ticket of an attempt that joins the run, or of the one
// that has it.
func (e *claimEntry) ticket(join bool) Ticket {
	return Ticket{
		Run: e.claim.Run, Join: join, Outcome: e.outcome, Answer: e.answer,
		Runner: e.claim.Runner, Endpoint: e.claim.Endpoint,
	}
}

// ticketFromFold returns the ticket of an attempt that joins a run known from the
// fold.
func ticketFromFold(c fold.Claim) Ticket {
	return Ticket{Run: c.Run, Join: true, Outcome: c.Outcome, Runner: c.Runner, Endpoint: c.Endpoint}
}

// openCount returns the number of claims that must stay in memory.
func (t *claimTable) openCount() int { return len(t.entries) - len(t.ended) }

// end records a run's outcome and returns its entry, or nil if the table has no
// such run or the run has ended before. The outcome not run frees the key.
func (t *claimTable) end(key record.RequestKey, attempt string, e End) *claimEntry {
	entry, ok := t.entries[key]
	if !ok || entry.outcome != 0 || (entry.claim.Run != e.Run && (attempt == "" || entry.attempt != attempt)) {
		return nil
	}
	entry.outcome = e.Outcome
	if e.Endpoint != "" {
		entry.claim.Endpoint = e.Endpoint
	}
	if e.Outcome == record.OutcomeNotRun {
		delete(t.entries, key)
		t.freed[entry.claim.Run] = struct{}{}
		return entry
	}
	if e.Answer != nil && len(e.Answer.Body) <= MaxAnswerBytes {
		entry.answer = e.Answer
		t.answerBytes += len(e.Answer.Body)
	}
	return entry
}

// adoptLoggedEnd takes over an outcome that the runner appended to the log
// because it could not report it to the holder. It returns the entry that has
// ended thereby, nil for none. logged is the fold's claim of the key.
func (t *claimTable) adoptLoggedEnd(key record.RequestKey, logged *fold.Claim) *claimEntry {
	entry, ok := t.entries[key]
	if !ok || !entry.counted || entry.outcome != 0 || logged == nil || logged.Run != entry.claim.Run || logged.Outcome == 0 {
		return nil
	}
	entry.outcome = logged.Outcome
	t.markLogged(entry)
	return entry
}

// markLogged marks an ended entry as being on the log, or as not needed there,
// and evicts the oldest such entries above the bounds.
func (t *claimTable) markLogged(entry *claimEntry) {
	delete(t.freed, entry.claim.Run)
	if t.entries[entry.claim.Key] != entry || entry.logged {
		return
	}
	entry.logged = true
	t.ended = append(t.ended, entry)
	for len(t.ended) > maxEndedClaims || t.answerBytes > maxTotalAnswerBytes {
		oldest := t.ended[0]
		t.ended = t.ended[1:]
		t.answerBytes -= oldest.answer.size()
		if t.entries[oldest.claim.Key] == oldest {
			delete(t.entries, oldest.claim.Key)
		}
		if len(t.ended) == 0 {
			return
		}
	}
}

// unloggedClaims returns the counted claims that may not be on the log.
func (t *claimTable) unloggedClaims() []*claimEntry {
	var out []*claimEntry
	for _, entry := range t.entries {
		if entry.counted && !entry.logged {
			out = append(out, entry)
		}
	}
	return out
}
