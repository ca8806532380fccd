package run

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/claim"
	"guavapier/internal/endpoint"
	"guavapier/internal/record"
)

var (
	// errRunGone is returned for a caller that has tokens of a run that cannot be
	// continued: no engine has it, or its key belongs to another run now.
	errRunGone = eris.New("run: run no longer available for continuation")
	// errAnswerGone is returned for a run that was answered, but whose text no
	// engine has any longer.
	errAnswerGone = eris.New("run: answer no longer available at any engine")
)

// locateInterval is the time between two lookups of a joined run's endpoint, while
// the run is queued or moves to another endpoint.
const locateInterval = 100 * time.Millisecond

// searchInterval is how long a joined run may go without a token before all
// engines are searched for it, and the time between two such searches. A queued
// run has no endpoint either, and each search queries every engine: 2 s is well
// above the usual wait for a slot and well below the callers' MaxWait.
const searchInterval = 2 * time.Second

// joinedRun is the state of reading a run that another request owns.
type joinedRun struct {
	runRequest endpoint.RunRequest
	sink       TokenSink
	result     ChatResult
	// text is the answer's text as read so far. It starts at the position that the
	// caller resumes from.
	text answerText
	// takenOver says that this request took the run over. An endpoint may have
	// executed it for the previous runner.
	takenOver bool
	// callerLeft says that reading ended because the caller's connection failed.
	callerLeft bool
}

// locator looks up where a run is now. A ticket without Join means that the joined
// run ended without being executed, and that the request owns a new run.
type locator func(ctx context.Context) (claim.Ticket, error)

// locateByClaim looks up the run of a request's key with the claim's holder.
func (r *Runner) locateByClaim(c Chat) locator {
	return func(ctx context.Context) (claim.Ticket, error) { return r.Claims.Begin(ctx, c.claimRequest(true)) }
}

// locateByRun looks up a run by its ID at the engines, without its claim.
func (r *Runner) locateByRun(run record.RunID) locator {
	return func(ctx context.Context) (claim.Ticket, error) {
		if r.RunFinder == nil {
			return claim.Ticket{}, errRunGone
		}
		name, ok := r.RunFinder.Find(ctx, run)
		if !ok {
			return claim.Ticket{}, errRunGone
		}
		return claim.Ticket{Run: run, Join: true, Endpoint: name}, nil
	}
}

// resumeChat continues an answer of which the caller has a part. The claim of the
// run may have been lost with the instance that held it; the run is then looked
// up at the engines. The caller never gets tokens of another run: parts of two
// runs do not make one answer.
func (r *Runner) resumeChat(ctx context.Context, c Chat, sink TokenSink) (ChatResult, error) {
	locate := r.locateByRun(c.ResumeFrom.Run)
	if c.HasCallerKey {
		ticket, err := r.Claims.Begin(ctx, c.claimRequest(true))
		switch {
		case errors.Is(err, claim.ErrKeyReused):
			return ChatResult{}, newFailure(err, true)
		case err == nil && ticket.Join && ticket.Run == c.ResumeFrom.Run:
			return r.joinChat(ctx, c, ticket, sink, r.locateByClaim(c))
		case err == nil && !ticket.Join:
			r.Claims.End(ctx, c.Key, claim.End{Outcome: record.OutcomeNotRun})
		}
	}
	ticket, err := locate(ctx)
	if err != nil {
		return ChatResult{}, newFailure(err, true)
	}
	return r.joinChat(ctx, c, ticket, sink, locate)
}

// joinChat streams the answer of a run that an earlier attempt started. It reads
// from the run's endpoint directly, so it does not depend on the instance that
// started the run. It neither reserves nor bills tokens: the run's owner does, or
// the reservation's witness if the owner is gone.
func (r *Runner) joinChat(ctx context.Context, c Chat, ticket claim.Ticket, sink TokenSink, locate locator) (ChatResult, error) {
	j := &joinedRun{runRequest: c.newRunRequest(ticket.Run), sink: sink, result: ChatResult{Run: ticket.Run}}
	j.runRequest.ResumeOnly, j.runRequest.ResumeFrom = true, c.ResumeFrom.Tokens
	return r.followRun(ctx, c, ticket, j, locate)
}

// followRun reads the run to its end, across changes of its endpoint, or takes the
// run over. It gives up once no token has come for the caller's MaxWait.
func (r *Runner) followRun(ctx context.Context, c Chat, ticket claim.Ticket, j *joinedRun, locate locator) (ChatResult, error) {
	deadline, lastSearch := time.Now().Add(c.MaxWait), time.Now()
	for {
		before := j.runRequest.ResumeFrom
		err := r.streamJoined(ctx, ticket, j)
		if err == nil {
			return j.result, nil
		}
		if j.callerLeft || ctx.Err() != nil {
			return j.result, newFailure(errors.Join(errCallerLeft, err), true)
		}
		if ticket.Outcome == record.OutcomeUnknown {
			return j.result, newFailure(claim.ErrUnknown, true)
		}
		if j.runRequest.ResumeFrom > before {
			deadline, lastSearch = time.Now().Add(c.MaxWait), time.Now()
		}
		if time.Now().After(deadline) {
			return j.result, newFailure(errors.Join(errNoAnswerInTime, err), true)
		}
		followErr := err
		if ticket, err = r.relocate(ctx, c, j.runRequest, locate); err != nil {
			return j.result, newFailure(err, true)
		}
		mayBeLost := ticket.RunnerGone || ticket.Outcome == record.OutcomeAnswered || time.Since(lastSearch) > searchInterval
		if ticket.Join && mayBeLost {
			lastSearch = time.Now()
			if ticket, err = r.searchOrTakeOver(ctx, c, ticket, j, followErr); err != nil {
				return j.result, newFailure(err, true)
			}
		}
		if !ticket.Join {
			j.takenOver = ticket.Run == j.runRequest.Run
			result, err := r.executeChat(ctx, c, ticket.Run, j)
			return result, c.retractNotRun(ticket, err)
		}
	}
}

// searchOrTakeOver searches all engines for a run whose runner is gone, that has
// been answered, or that has brought no token for searchInterval. If no engine
// has it and it has no outcome, it claims the run for takeover; the claim's
// holder refuses that while the runner still knows the run.
//
// Runs get lost when an instance and an endpoint fail within seconds of each
// other, or when the report of a placement never reached the holder. Without
// this search, callers would wait their whole MaxWait for a run that nobody has.
// Only a request that has read the answer from its start can continue it at
// another endpoint; a caller that resumed from a position gets errRunGone.
//
// A run that was cancelled at its endpoint is not searched for: the engine still
// has it, but does not continue it.
func (r *Runner) searchOrTakeOver(ctx context.Context, c Chat, ticket claim.Ticket, j *joinedRun, followErr error) (claim.Ticket, error) {
	if r.RunFinder != nil && !errors.Is(followErr, endpoint.ErrCancelled) {
		if name, ok := r.RunFinder.Find(ctx, ticket.Run); ok {
			ticket.Endpoint = name
			return ticket, nil
		}
	}
	switch {
	case ticket.Outcome == record.OutcomeAnswered:
		return ticket, errAnswerGone
	case ticket.Outcome != 0:
		return ticket, claim.ErrUnknown
	case c.ResumeFrom.Tokens > 0 && ticket.RunnerGone:
		return ticket, errRunGone
	}
	request := c.claimRequest(true)
	request.Lost = ticket.Run
	newTicket, err := r.Claims.Begin(ctx, request)
	if err == nil && !newTicket.Join && newTicket.Run == ticket.Run && c.ResumeFrom.Tokens > 0 {
		r.Claims.End(ctx, c.Key, claim.End{}) // For a request that reads the answer from its start.
		return newTicket, errRunGone
	}
	if err == nil && newTicket.Run != ticket.Run && j.runRequest.ResumeFrom > 0 {
		if !newTicket.Join {
			r.Claims.End(ctx, c.Key, claim.End{Outcome: record.OutcomeNotRun})
		}
		return newTicket, errRunGone
	}
	return newTicket, err
}

// relocate looks up the run again after locateInterval. The error is errRunGone if
// the key belongs to another run by then and tokens of this one have been read.
func (r *Runner) relocate(ctx context.Context, c Chat, runRequest endpoint.RunRequest, locate locator) (claim.Ticket, error) {
	timer := time.NewTimer(locateInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return claim.Ticket{}, errors.Join(errCallerLeft, ctx.Err())
	}
	ticket, err := locate(ctx)
	if err != nil {
		return ticket, err
	}
	if runRequest.ResumeFrom > 0 && ticket.Run != runRequest.Run {
		if !ticket.Join {
			r.Claims.End(ctx, c.Key, claim.End{Outcome: record.OutcomeNotRun})
		}
		return ticket, errRunGone
	}
	return ticket, nil
}

// errNotPlaced is returned while the run has no endpoint, or one that is not in
// the directory.
var errNotPlaced = eris.New("run: run has no known endpoint")

// streamJoined reads the run over one connection to its endpoint.
func (r *Runner) streamJoined(ctx context.Context, t claim.Ticket, j *joinedRun) error {
	base, ok := r.Endpoints.URL(t.Endpoint)
	if !ok {
		return eris.Wrapf(errNotPlaced, "run: run %s of runner %s at endpoint %q", t.Run, t.Runner, t.Endpoint)
	}
	ctx, progress := r.watchProgress(ctx, true)
	defer progress.stop()
	j.runRequest.Attempt++
	stream, err := r.Engines.Start(ctx, base, j.runRequest)
	if err != nil {
		return progress.withCause(err)
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if endpoint.IsComplete(err) {
			u := stream.Usage()
			j.result.Usage = endpoint.Usage{Prompt: u.Prompt, Cached: u.Cached, Completion: u.AnswerTokens()}
			j.result.FinishReason = stream.Finish()
			return nil
		}
		if err != nil {
			return progress.withCause(err)
		}
		progress.onToken()
		j.runRequest.ResumeFrom = token.Index + 1
		j.text.add(token)
		if err := j.sink(j.runRequest.Run, token); err != nil {
			j.callerLeft = true
			return err
		}
	}
}
