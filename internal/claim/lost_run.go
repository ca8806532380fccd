package claim

import (
	"context"

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
	if !args.Fence {
		return RunningReply{Running: h.runs.isRunning(args.Key, args.Run)}
	}
	reply := h.runs.fence(args.Key, args.Run)
	reply.NextOffset = h.deps.Partitions[record.ClaimPartition(args.Key, len(h.deps.Partitions))].NextOffset()
	return reply
}

// resolveLostRun decides about a run that must not be repeated and has not ended for
// some time. Only its runner knows whether it was started: the reply that gave it
// the run may be lost, and so may the report of its end. A run that was not started
// is ended as not run, so that the attempt gets a new one.
func (h *Holder) resolveLostRun(ctx context.Context, s *shard, r Request, attempt string, runner record.InstanceID, found Ticket) (Ticket, error) {
	state, err := h.askRunner(ctx, found.Runner, RunningArgs{Key: r.Key, Run: found.Run, Fence: true})
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
		h.deps.Logger.Warn().Err(err).Str("run", string(found.Run)).Msg("claim: key of a run that was not started is not free yet")
		return found, nil
	}
	r.Lost = ""
	return h.begin(ctx, r, attempt, runner)
}

// release frees the key of a run that its runner has fenced. nextOffset is
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
