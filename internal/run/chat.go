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
func (r *Runner) Chat(ctx context.Context, c Chat, sink Sink) (ChatResult, error) {
	if c.Have.Run != "" {
		return r.continueChat(ctx, c, sink)
	}
	ticket, err := r.Claims.Begin(ctx, c.claim(true))
	if err != nil {
		return ChatResult{}, unclaimed(err)
	}
	if ticket.Join {
		return r.joinChat(ctx, c, ticket, sink, r.byClaim(c))
	}
	result, err := r.ownChat(ctx, c, ticket.Run, &follower{order: c.order(ticket.Run), sink: sink})
	return result, c.doubted(ticket, err)
}

// ownChat carries a run that this call has claimed, after what it has read of
// the run while it was another's. It returns when the run has its final
// outcome, which may be after the caller has left.
func (r *Runner) ownChat(ctx context.Context, c Chat, run record.RunID, read *follower) (ChatResult, error) {
	p := r.attend(ctx, c.Request, read.sink)
	defer p.stop()
	worst := int64(c.PromptTokens + c.MaxTokens)
	reserved, err := r.Accounts.Reserve(p.work, c.Key, run, c.Team.Budget, worst)
	if err != nil {
		return ChatResult{}, r.end(ctx, c.Key, p.explain(err), read.taken, nil)
	}
	g := newGeneration(c, run, p)
	g.goOn(read)
	err = p.explain(r.generate(p.work, g))
	r.settleLater(ctx, g, reserved, err)
	return g.result, r.end(ctx, c.Key, err, g.started, nil)
}

// end tells the claim how the run ended and returns its failure, if any.
// started says whether anything may have run; answer is kept for retries.
func (r *Runner) end(ctx context.Context, key record.RequestKey, err error, started bool, answer *claim.Answer) error {
	ctx = context.WithoutCancel(ctx)
	if err == nil {
		r.Claims.End(ctx, key, claim.End{Outcome: record.OutcomeAnswered, Answer: answer})
		return nil
	}
	f := failure(err, started)
	outcome := f.Outcome
	if !started {
		outcome = record.OutcomeNotRun // Of this claim's run; the caller may be told less.
	}
	r.Claims.End(ctx, key, claim.End{Outcome: outcome})
	return f
}

// generation is the state of one chat run while its endpoints generate.
type generation struct {
	chat   Chat
	caller *presence
	order  endpoint.RunRequest
	text   tokenText
	result ChatResult
	avoid  []string
	// base is where the last order went, started says that an order may have run.
	base    string
	started bool
	// began lists the attempts that may be running; wholeAt is the endpoint that
	// brought the answer to its end.
	began   []attempt
	wholeAt string
	moved   time.Time // When the last token came.
}

func newGeneration(c Chat, run record.RunID, p *presence) *generation {
	return &generation{chat: c, caller: p, order: c.order(run), result: ChatResult{Run: run}}
}

// goOn continues after the part of the answer that was read from its earlier
// runner's endpoints.
func (g *generation) goOn(read *follower) {
	g.started = read.taken
	if read.order.ResumeFrom == 0 {
		return
	}
	g.order.ResumeFrom, g.order.Attempt = read.order.ResumeFrom, read.order.Attempt
	g.text.add(endpoint.Token{Text: read.text.String()})
	g.moved = time.Now()
	g.caller.late.Stop()
}

// take passes a token on and moves the order's offset past it.
func (g *generation) take(t endpoint.Token) {
	g.order.ResumeFrom = t.Index + 1
	g.moved = time.Now()
	g.text.add(t)
	g.caller.take(g.order.Run, t)
}

// finish sets the closing of the whole answer.
func (g *generation) finish(u endpoint.Usage, reason string) {
	g.result.Usage = endpoint.Usage{Prompt: u.Prompt, Cached: u.Cached, Completion: int64(g.order.ResumeFrom)}
	g.result.Finish = reason
}
