package claim

import (
	"time"

	"guavapier/internal/record"
)

// takeOver gives a run whose runner is unreachable, or does not know it, to the
// attempt that found it lost. The run keeps its ID, so that it is billed once
// even if the old runner is only partitioned. Of several such attempts the
// first gets the run and the others join it.
func (s *shard) takeOver(r Request, attempt string, runner record.InstanceID, found Ticket) Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.table.entries[r.Key]
	if ok && (entry.claim.Run != found.Run || entry.claim.Runner != found.Runner || entry.outcome != 0) {
		return entry.ticket(true)
	}
	if !ok {
		entry = s.table.adopt(r, found.Run, s.terms.Right, s.opts.Now())
	}
	entry.claim.Runner, entry.claim.Endpoint, entry.attempt = runner, "", attempt
	s.heldRight.Update(newUse(entry.claim, 0))
	s.heldRight.Flush()
	return entry.ticket(false)
}

// adopt adds an entry for a run that was claimed in an earlier epoch and is
// known from the fold only.
func (t *claimTable) adopt(r Request, run record.RunID, right record.RightID, now time.Time) *claimEntry {
	t.lastSeq++
	entry := &claimEntry{
		claim:      record.Claim{Key: r.Key, Digest: r.Digest, Run: run, Right: right, UnixMilli: now.UnixMilli(), Seq: t.lastSeq},
		repeatable: r.Repeatable, counted: true, countingDone: make(chan struct{}),
	}
	close(entry.countingDone)
	t.entries[r.Key] = entry
	return entry
}
