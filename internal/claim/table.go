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
	// maxTotalAnswerBytes bounds all answers kept by one shard.
	maxTotalAnswerBytes = 4 << 20
	// maxEndedClaims bounds the ended claims that one shard keeps in memory.
	maxEndedClaims = 4096
	// maxOpenClaims bounds the claims of one shard that have not ended or are not on
	// the log. Above it no new one counts: a log outage must not take all
	// memory.
	maxOpenClaims = 1 << 16
	// maxClockSkew is how far the clocks of instances and callers may be apart.
	maxClockSkew = time.Hour
)

// claimEntry is one claim in the holder's memory.
type claimEntry struct {
	claim        record.Claim
	repeatable   bool
	attempt      string
	counted      bool
	countingDone chan struct{} // Closed when counting has ended.
	outcome      record.Outcome
	answer       *Answer
	logged       bool // The fold has it, with its outcome if there is one.
}

// claimTable is the holder's memory of one shard epoch. It is not safe for
// concurrent use. A claim that the fold has needs no row here.
type claimTable struct {
	entries     map[record.RequestKey]*claimEntry
	ended       []*claimEntry // Ended and logged, oldest first.
	answerBytes int
	// freed has the runs that did not run although the fold, which lags, may
	// still show their claim.
	freed   map[record.RunID]struct{}
	lastSeq uint64 // Of the last claim made here.
}

func newClaimTable() *claimTable {
	return &claimTable{entries: map[record.RequestKey]*claimEntry{}, freed: map[record.RunID]struct{}{}}
}

// decision is what Begin meets at the holder.
type decision int

const (
	decisionStart      decision = iota // No claim: make one.
	decisionWait                       // Another attempt is being counted.
	decisionOwnRun                     // This very attempt has the run.
	decisionJoin                       // Another attempt has the run.
	decisionKeyReused                  // The key was used with another body.
	decisionKeyExpired                 // The key is older than the claim window.
)

// decide decides what a request meets. Load: callers that retry at any instance,
// at any time. Harm prevented: a second run of a request that may not be
// repeated. Limit: the claim window, after which the tables have forgotten; a
// key that carries its time is never run once it may be that old.
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

// isKeyExpired says whether a key is a UUIDv7 that may be older than the window.
func isKeyExpired(key string, now time.Time) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	seconds, nanos := id.Time().UnixTime()
	return now.Sub(time.Unix(seconds, nanos)) > fold.ClaimWindow-maxClockSkew
}

// ticket returns what a joiner, or the attempt itself, gets to know.
func (entry *claimEntry) ticket(join bool) Ticket {
	return Ticket{
		Run: entry.claim.Run, Join: join, Outcome: entry.outcome, Answer: entry.answer,
		Runner: entry.claim.Runner, Endpoint: entry.claim.Endpoint,
	}
}

func ticketFromFold(c fold.Claim) Ticket {
	return Ticket{Run: c.Run, Join: true, Outcome: c.Outcome, Runner: c.Runner, Endpoint: c.Endpoint}
}

// openCount returns the number of claims that have to stay in memory.
func (t *claimTable) openCount() int { return len(t.entries) - len(t.ended) }

// end notes a run's outcome. It returns the row, or nil if there is no such
// run here or it has ended before. A run that did not run frees its key.
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

// markLogged notes that an ended row is on the log, or needs no place there, and
// drops the oldest such rows over the bounds.
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
		if oldest.answer != nil {
			t.answerBytes -= len(oldest.answer.Body)
		}
		if t.entries[oldest.claim.Key] == oldest {
			delete(t.entries, oldest.claim.Key)
		}
		if len(t.ended) == 0 {
			return
		}
	}
}

// unlogged returns the counted claims that may not be on the log.
func (t *claimTable) unlogged() []*claimEntry {
	var out []*claimEntry
	for _, entry := range t.entries {
		if entry.counted && !entry.logged {
			out = append(out, entry)
		}
	}
	return out
}
