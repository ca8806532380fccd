package run

import (
	"context"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/endpoint"
	"guavapier/internal/record"
)

// Chat runs a chat completion, or joins the run that an earlier attempt of the
// same request started. It passes the answer's tokens to sink and returns after
// the last one. The error is a *Failure.
func (r *Runner) Chat(ctx context.Context, c Chat, sink TokenSink) (ChatResult, error) {
	began := time.Now()
	result, err := r.startOrJoinChat(ctx, c, sink)
	r.logUnknown(c.Request, began, err)
	return result, err
}

// startOrJoinChat starts the chat's run, joins it, or resumes its answer.
func (r *Runner) startOrJoinChat(ctx context.Context, c Chat, sink TokenSink) (ChatResult, error) {
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
	result, err := r.executeChat(ctx, c, ticket.Run, &joinedRun{runRequest: c.newRunRequest(ticket.Run), sink: sink})
	return result, c.retractNotRun(ticket, err)
}

// executeChat executes a run that this request owns, by a new claim or by
// takeover. In a takeover it continues after the tokens that joined has read
// while another instance owned the run. It returns when the run has its final
// outcome, which may be after the caller has disconnected.
func (r *Runner) executeChat(ctx context.Context, c Chat, run record.RunID, joined *joinedRun) (ChatResult, error) {
	caller := r.attachCaller(ctx, c.Request, joined.sink)
	defer caller.stop()
	worstCaseTokens := int64(c.PromptTokens + c.MaxTokens)
	reserved, err := r.Budgets.Reserve(caller.workCtx, c.Key, run, c.Team.Budget, worstCaseTokens)
	if err != nil {
		return ChatResult{}, r.endChat(ctx, c.Key, caller.withCause(err), false, joined)
	}
	g := newGeneration(c, run, caller)
	g.continueFrom(joined)
	err = caller.withCause(r.generate(caller.workCtx, g))
	r.settleInBackground(ctx, g, reserved, err)
	return g.result, r.endChat(ctx, c.Key, err, g.mayHaveRun, joined)
}

// endChat is endRun for a chat. executed says that an endpoint may have executed
// the run for this request. A run that was taken over and not executed goes back
// to the claim without an outcome, so that a retry can take it over again.
func (r *Runner) endChat(ctx context.Context, key record.RequestKey, err error, executed bool, joined *joinedRun) error {
	if err != nil && !executed && joined.takenOver {
		r.Claims.End(context.WithoutCancel(ctx), key, claim.End{})
		return newFailure(err, true)
	}
	return r.endRun(ctx, key, err, executed || joined.takenOver, nil)
}

// endRun reports the run's final outcome to the claim's holder and returns the
// *Failure for err, or nil. mayHaveRun says that an endpoint may have executed
// the run. answer is kept for retries; nil for a chat.
func (r *Runner) endRun(ctx context.Context, key record.RequestKey, err error, mayHaveRun bool, answer *claim.Answer) error {
	ctx = context.WithoutCancel(ctx)
	if err == nil {
		r.Claims.End(ctx, key, claim.End{Outcome: record.OutcomeAnswered, Answer: answer})
		return nil
	}
	f := newFailure(err, mayHaveRun)
	outcome := f.Outcome
	if !mayHaveRun {
		outcome = record.OutcomeNotRun // The claim's outcome covers this run only, the caller's also earlier attempts.
	}
	r.Claims.End(ctx, key, claim.End{Outcome: outcome})
	return f
}

// generation is the state of one chat run while endpoints generate its answer.
type generation struct {
	chat       Chat
	caller     *attachedCaller
	runRequest endpoint.RunRequest
	text       answerText
	result     ChatResult
	// excluded names the endpoints that failed, which are not tried again.
	excluded []string
	lastBase string // Base URL of the last endpoint that may have accepted a request.
	// mayHaveRun says that an endpoint may have executed the run for this request.
	mayHaveRun     bool
	openAttempts   []attempt // Attempts that may still be running.
	completingBase string    // Base URL of the endpoint that completed the answer.
	lastTokenTime  time.Time
}

// newGeneration returns the state of a run that has no tokens yet.
func newGeneration(c Chat, run record.RunID, caller *attachedCaller) *generation {
	return &generation{chat: c, caller: caller, runRequest: c.newRunRequest(run), result: ChatResult{Run: run}}
}

// continueFrom sets the generation to continue after the tokens that joined has
// read from the previous runner's endpoints. The caller has its first token
// then, so the limit on the wait for it is lifted.
func (g *generation) continueFrom(joined *joinedRun) {
	if joined.runRequest.ResumeFrom == 0 {
		return
	}
	g.runRequest.ResumeFrom, g.runRequest.Attempt = joined.runRequest.ResumeFrom, joined.runRequest.Attempt
	g.text.add(endpoint.Token{Text: joined.text.String()})
	g.lastTokenTime = time.Now()
	g.caller.firstTokenTimer.Stop()
}

// deliver passes a token to the caller and sets the position from which the next
// endpoint continues to the token after it.
func (g *generation) deliver(t endpoint.Token) {
	g.runRequest.ResumeFrom = t.Index + 1
	g.lastTokenTime = time.Now()
	g.text.add(t)
	g.caller.deliver(g.runRequest.Run, t)
}

// setResult sets the usage and finish reason of the completed answer. Completion
// counts the tokens of the whole answer, whichever endpoints generated them.
func (g *generation) setResult(u endpoint.Usage, reason string) {
	g.result.Usage = endpoint.Usage{Prompt: u.Prompt, Cached: u.Cached, Completion: int64(g.runRequest.ResumeFrom)}
	g.result.FinishReason = reason
}
