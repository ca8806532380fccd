package claim

import (
	"context"
	"sync"
	"time"

	"guavapier/internal/record"
)

// mayStillRun asks a run's runner whether it knows the run. The runner does not
// know it if the reply of its Begin was lost, or if it has ended the run and
// that report was lost. If the runner does not answer, the result is true.
func (h *Holder) mayStillRun(ctx context.Context, runner record.InstanceID, key record.RequestKey, run record.RunID) bool {
	reply, err := h.askRunner(ctx, runner, RunningArgs{Key: key, Run: run})
	return err != nil || reply.Running
}

// askRunner asks an instance, which may be this one, about a run of its own.
func (h *Holder) askRunner(ctx context.Context, runner record.InstanceID, args RunningArgs) (RunningReply, error) {
	if runner == h.deps.Self.ID {
		return h.localRunState(args), nil
	}
	var reply RunningReply
	err := h.deps.Caller.Call(ctx, runner, ServiceName+".Running", args, &reply)
	return reply, err
}

// localRunState returns what this instance knows about a run of its own.
func (h *Holder) localRunState(args RunningArgs) RunningReply {
	if !args.Disown {
		return RunningReply{Running: h.runs.isRunning(args.Key, args.Run)}
	}
	state := h.runs.disown(args.Key, args.Run)
	partition := h.deps.Partitions[record.ClaimPartition(args.Key, len(h.deps.Partitions))]
	return RunningReply{
		Running: state.running, NotStarted: state.notStarted, Outcome: state.outcome, Answer: state.answer, NextOffset: partition.NextOffset(),
	}
}

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

// settleLost decides about a run that must not be repeated and has not ended for
// some time. Only its runner knows whether it was begun: the reply that gave it
// the run may be lost, and so may the report of its end. A run that was not begun
// is ended as not run, so that the attempt gets a new one.
func (h *Holder) settleLost(ctx context.Context, s *shard, r Request, attempt string, runner record.InstanceID, found Ticket) (Ticket, error) {
	state, err := h.askRunner(ctx, found.Runner, RunningArgs{Key: r.Key, Run: found.Run, Disown: true})
	h.deps.Logger.Info().Str("key", r.Key.String()).Str("run", string(found.Run)).Str("runner", string(found.Runner)).
		Str("right", string(s.terms.Right)).Bool("running", state.Running).Bool("not_started", state.NotStarted).
		Uint8("outcome", uint8(state.Outcome)).AnErr("error", err).Msg("claim: runner asked about a run")
	if err != nil {
		return found, nil
	}
	found.RunnerGone = false // It has answered.
	switch {
	case state.Outcome != 0:
		s.end(r.Key, "", End{Run: found.Run, Outcome: state.Outcome, Answer: state.Answer})
		found.Outcome, found.Answer = state.Outcome, state.Answer
		return found, nil
	case !state.NotStarted:
		return found, nil
	}
	if err := s.release(ctx, r.Key, found.Run, state.NextOffset); err != nil {
		h.deps.Logger.Warn().Err(err).Str("run", string(found.Run)).Msg("claim: key of a run that was not begun is not free yet")
		return found, nil
	}
	r.Lost = ""
	return h.begin(ctx, r, attempt, runner)
}

// release frees the key of a run that its runner has disowned. nextOffset is
// RunningReply.NextOffset: an outcome in the fold up to there takes precedence,
// because the runner no longer keeps runs whose outcome is on the log. A run that
// is known from the fold only holds its key until the fold has its end, since the
// claim of another run would have no effect before.
func (s *shard) release(ctx context.Context, key record.RequestKey, run record.RunID, nextOffset uint64) error {
	if nextOffset > 0 {
		if err := s.partition.AwaitOffset(ctx, nextOffset-1); err != nil {
			return err
		}
	}
	if c := s.foldClaim(key); c != nil && c.Run == run && c.Outcome != 0 {
		return nil
	}
	s.mu.Lock()
	entry, ok := s.table.entries[key]
	s.mu.Unlock()
	if ok && entry.claim.Run == run {
		s.end(key, "", End{Run: run, Outcome: record.OutcomeNotRun})
		return nil
	}
	offset, err := s.log.Append(ctx, s.partition.Stream(), record.ClaimEnd{Key: key, Run: run, Outcome: record.OutcomeNotRun})
	if err != nil {
		return err
	}
	return s.partition.AwaitOffset(ctx, offset)
}

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
