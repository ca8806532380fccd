package claim

import (
	"context"
	"time"

	"guavapier/internal/record"
)

// runs asks a run's runner whether it knows the run. It may not: the answer to
// its Begin, or its word of the end, can be lost. No answer counts as yes.
func (h *Holder) runs(ctx context.Context, runner record.InstanceID, key record.RequestKey, run record.RunID) bool {
	if runner == h.parts.Self.ID {
		return h.running(key, run)
	}
	var reply RunningReply
	err := h.parts.Caller.Call(ctx, runner, ServiceName+".Running", RunningArgs{Key: key, Run: run}, &reply)
	return err != nil || reply.Running
}

// takeOver gives a run whose runner is gone to the attempt that found it lost.
// The run keeps its id, so that it is billed once even if the runner was only
// cut off. Of several such attempts the first gets the run, the others join it.
func (s *shard) takeOver(r Request, attempt string, runner record.InstanceID, found Ticket) Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.table.rows[r.Key]
	if ok && (w.claim.Run != found.Run || w.claim.Runner != found.Runner || w.outcome != 0) {
		return w.ticket(true)
	}
	if !ok {
		w = s.table.adopt(r, found.Run, s.terms.Right, s.opts.Now())
	}
	w.claim.Runner, w.claim.Endpoint, w.attempt = runner, "", attempt
	s.held.Update(use(w.claim, 0))
	s.held.Flush()
	return w.ticket(false)
}

// adopt enters a run that was claimed in an earlier epoch and is known from the
// fold only.
func (t *table) adopt(r Request, run record.RunID, right record.RightID, now time.Time) *row {
	t.seq++
	w := &row{
		claim:      record.Claim{Key: r.Key, Digest: r.Digest, Run: run, Right: right, UnixMilli: now.UnixMilli(), Seq: t.seq},
		repeatable: r.Repeatable, counted: true, decided: make(chan struct{}),
	}
	close(w.decided)
	t.rows[r.Key] = w
	return w
}
