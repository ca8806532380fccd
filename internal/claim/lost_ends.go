package claim

import (
	"context"
	"sync"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

const (
	// endLogDelay is how long the holder has to log a run's end before the runner
	// does so. Reports of ends go on for notifyTimeout.
	endLogDelay = notifyTimeout
	// endCheckInterval is the time between two searches for ends to log.
	endCheckInterval = time.Second
	// unclaimedTimeout is how long the runner waits for the claim of a run that was
	// not executed to appear in the fold. A claim that is not on the log needs no end.
	unclaimedTimeout = time.Minute
)

// logLostEnds appends the ends of this instance's runs that no holder has logged
// within delay. A claim may reach the log after its run has ended, with the close
// of an epoch whose holder is lost; an end that was appended before it has no
// effect.
func (h *Holder) logLostEnds(delay time.Duration) {
	if !h.deps.Members.PlatformUp() {
		return
	}
	ends := map[int][]record.Record{}
	for _, end := range h.runs.lostEnds(h.foldClaim, delay) {
		n := record.ClaimPartition(end.Key, len(h.deps.Partitions))
		ends[n] = append(ends[n], end)
	}
	var appends sync.WaitGroup
	for n, records := range ends {
		appends.Go(func() { h.appendLostEnds(h.deps.Partitions[n].Stream(), records) })
	}
	appends.Wait()
}

// appendLostEnds appends ends to the log. runTable returns them again if they do
// not get there.
func (h *Holder) appendLostEnds(stream record.Stream, ends []record.Record) {
	ctx, cancel := context.WithTimeout(h.ctx, h.opts.AppendTimeout)
	defer cancel()
	_, err := h.deps.Log.Append(ctx, stream, ends...)
	h.deps.Logger.Info().Err(err).Str("stream", string(stream)).Int("ends", len(ends)).Msg("claim: ends logged in the holder's place")
}

// claimLookup returns the fold's claim of a key.
type claimLookup func(record.RequestKey) (fold.Claim, bool)

// lostEnds returns the ends that no holder has logged within delay although the
// fold has their claims, each again after delay. It drops the ended runs whose
// outcome the fold has.
func (t *runTable) lostEnds(claimOf claimLookup, delay time.Duration) []record.ClaimEnd {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lost []record.ClaimEnd
	for run, ended := range t.ended {
		c, ok := claimOf(ended.key)
		isClaimed := ok && c.Run == run
		waited := t.now().Sub(ended.reportedAt)
		switch {
		case isClaimed && c.Outcome != 0, !isClaimed && ended.outcome == record.OutcomeNotRun && waited > unclaimedTimeout:
			t.forget(run)
		case isClaimed && waited >= delay:
			ended.reportedAt = t.now()
			t.ended[run] = ended
			lost = append(lost, record.ClaimEnd{Key: ended.key, Run: run, Outcome: ended.outcome})
		}
	}
	return append(lost, t.lostAttempts(claimOf, delay)...)
}

// lostAttempts returns the ends of the runs that this instance was to execute for
// attempts that it had given up. t.mu must be held.
func (t *runTable) lostAttempts(claimOf claimLookup, delay time.Duration) []record.ClaimEnd {
	var lost []record.ClaimEnd
	for key, since := range t.givenUp {
		waited := t.now().Sub(since)
		if waited < delay {
			continue
		}
		c, ok := claimOf(key)
		isOpen := ok && c.Runner == t.self && c.Outcome == 0
		if isOpen && t.fenceLocked(key, c.Run).NotStarted {
			lost = append(lost, record.ClaimEnd{Key: key, Run: c.Run, Outcome: record.OutcomeNotRun})
		}
		if isOpen || waited > unclaimedTimeout {
			delete(t.givenUp, key)
		}
	}
	return lost
}
