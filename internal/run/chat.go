package run

import (
	"context"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/endpoint"
	"guavapier/internal/record"
)

// Chat runs a chat completion, or joins the run that an earlier attempt has
// begun. The error is a *Failure.
func (r *Runner) Chat(ctx context.Context, c Chat, sink TokenSink) (ChatResult, error) {
	if c.ResumeFrom.Run != "" {
		return r.resumeChat(ctx, c, sink)
	}
	ticket, err := r.Claims.Begin(ctx, c.claimRequest(true))
	if err != nil {
		return ChatResult{}, claimFailure(err)
	}
	if ticket.Join {
		return r.joinChat(ctx, c, ticket, sink, r.locateByClaim(c))
	}
	result, err := r.executeChat(ctx, c, ticket.Run, &joinedRun{order: c.newOrder(ticket.Run), sink: sink})
	return result, c.retractNotRun(ticket, err)
}

// executeChat carries a run that this call has claimed, after what it has read of
// the run while it was another's. It returns when the run has its final
// outcome, which may be after the caller has left.
func (r *Runner) executeChat(ctx context.Context, c Chat, run record.RunID, joined *joinedRun) (ChatResult, error) {
	binding := r.bindCaller(ctx, c.Request, joined.sink)
	defer binding.stop()
	worstCaseTokens := int64(c.PromptTokens + c.MaxTokens)
	reserved, err := r.Budgets.Reserve(binding.workCtx, c.Key, run, c.Team.Budget, worstCaseTokens)
	if err != nil {
		return ChatResult{}, r.endRun(ctx, c.Key, binding.withCause(err), joined.takenOver, nil)
	}
	g := newGeneration(c, run, binding)
	g.continueFrom(joined)
	err = binding.withCause(r.generate(binding.workCtx, g))
	r.settleInBackground(ctx, g, reserved, err)
	return g.result, r.endRun(ctx, c.Key, err, g.mayHaveRun, nil)
}

// endRun tells the claim how the run ended and returns its failure, if any.
// started says whether anything may have run; answer is kept for retries.
func (r *Runner) endRun(ctx context.Context, key record.RequestKey, err error, mayHaveRun bool, answer *claim.Answer) error {
	ctx = context.WithoutCancel(ctx)
	if err == nil {
		r.Claims.End(ctx, key, claim.End{Outcome: record.OutcomeAnswered, Answer: answer})
		return nil
	}
	f := newFailure(err, mayHaveRun)
	outcome := f.Outcome
	if !mayHaveRun {
		outcome = record.OutcomeNotRun // Of this claim's run; the caller may be told less.
	}
	r.Claims.End(ctx, key, claim.End{Outcome: outcome})
	return f
}

// generation is the state of one chat run while its endpoints generate.
type generation struct {
	chat     Chat
	binding  *callerBinding
	order    endpoint.Order
	text     answerText
	result   ChatResult
	excluded []string
	// lastBase is where the last order went, started says that an order may have run.
	lastBase   string
	mayHaveRun bool
	// openAttempts lists the attempts that may be running; wholeAt is the endpoint that
	// brought the answer to its end.
	openAttempts   []attempt
	completingBase string
	lastTokenTime  time.Time // When the last token came.
}

func newGeneration(c Chat, run record.RunID, b *callerBinding) *generation {
	return &generation{chat: c, binding: b, order: c.newOrder(run), result: ChatResult{Run: run}}
}

// continueFrom continues after the part of the answer that was read from its earlier
// runner's endpoints.
func (g *generation) continueFrom(joined *joinedRun) {
	g.mayHaveRun = joined.takenOver
	if joined.order.From == 0 {
		return
	}
	g.order.From, g.order.Attempt = joined.order.From, joined.order.Attempt
	g.text.add(endpoint.Token{Text: joined.text.String()})
	g.lastTokenTime = time.Now()
	g.binding.firstTokenTimer.Stop()
}

// deliver passes a token on and moves the order's offset past it.
func (g *generation) deliver(t endpoint.Token) {
	g.order.From = t.Index + 1
	g.lastTokenTime = time.Now()
	g.text.add(t)
	g.binding.deliver(g.order.Run, t)
}

// setResult sets the closing of the whole answer.
func (g *generation) setResult(u endpoint.Usage, reason string) {
	g.result.Usage = endpoint.Usage{Prompt: u.Prompt, Cached: u.Cached, Completion: int64(g.order.From)}
	g.result.FinishReason = reason
}
