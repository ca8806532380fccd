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
	// errRunGone says that the caller has tokens of a run that is not the one
	// that its key stands for now.
	errRunGone = eris.New("run: the run is gone")
	// errAnswerGone says that a run has ended and its text is kept no longer.
	errAnswerGone = eris.New("run: the answer is gone")
)

// locateInterval is how long a joining caller waits before it asks again where the
// run is: while it is queued, or on its way to another endpoint.
const locateInterval = 100 * time.Millisecond

// searchInterval is how long a joined run may bring nothing before its joiner asks
// whether anybody has it. A queued run has no endpoint either, and each such
// question goes to every engine: 2 s is well over the usual wait for a slot and
// well under the callers' waits.
const searchInterval = 2 * time.Second

// joinedRun reads a run that another request owns.
type joinedRun struct {
	order  endpoint.Order
	sink   TokenSink
	result ChatResult
	// text is what was read, from the caller's offset on.
	text answerText
	// takenOver says that the run was takenOver over: its earlier runner may have run it.
	takenOver bool
	// callerLeft marks an error of the caller's own connection.
	callerLeft bool
}

// locator says where a run is now. A ticket without Join says that the run ended
// without having run, so that the request may begin anew.
type locator func(ctx context.Context) (claim.Ticket, error)

// locateByClaim locates the run that a request's key stands for.
func (r *Runner) locateByClaim(c Chat) locator {
	return func(ctx context.Context) (claim.Ticket, error) { return r.Claims.Begin(ctx, c.claimRequest(true)) }
}

// locateByRun locates a run at the engines, whatever became of its claim.
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

// resumeChat goes on in a run that the caller has a part of. Its claim may
// have died with its instance; then the engines know the run. Parts of two runs
// never make one answer.
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

// joinChat streams a run that an earlier attempt began, from its endpoint,
// wherever that attempt's instance is and whether it still lives. It neither
// reserves nor bills: the run's owner or its witness does.
func (r *Runner) joinChat(ctx context.Context, c Chat, ticket claim.Ticket, sink TokenSink, locate locator) (ChatResult, error) {
	j := &joinedRun{order: c.newOrder(ticket.Run), sink: sink, result: ChatResult{Run: ticket.Run}}
	j.order.ResumeOnly, j.order.From = true, c.ResumeFrom.Tokens
	return r.followRun(ctx, c, ticket, j, locate)
}

// followRun follows the run from endpoint to endpoint to its end, or takes it over.
func (r *Runner) followRun(ctx context.Context, c Chat, ticket claim.Ticket, j *joinedRun, locate locator) (ChatResult, error) {
	deadline, lastSearch := time.Now().Add(c.MaxWait), time.Now()
	for {
		before := j.order.From
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
		if j.order.From > before {
			deadline, lastSearch = time.Now().Add(c.MaxWait), time.Now()
		}
		if time.Now().After(deadline) {
			return j.result, newFailure(errors.Join(errNoAnswerInTime, err), true)
		}
		followErr := err
		if ticket, err = r.relocate(ctx, c, j.order, locate); err != nil {
			return j.result, newFailure(err, true)
		}
		if ticket.RunnerGone || ticket.Outcome == record.OutcomeAnswered || time.Since(lastSearch) > searchInterval {
			lastSearch = time.Now()
			if ticket, err = r.searchOrTakeOver(ctx, c, ticket, j, followErr); err != nil {
				return j.result, newFailure(err, true)
			}
		}
		if !ticket.Join {
			j.takenOver = ticket.Run == j.order.Run
			result, err := r.executeChat(ctx, c, ticket.Run, j)
			return result, c.retractNotRun(ticket, err)
		}
	}
}

// searchOrTakeOver finds the endpoint that has a run: its runner is gone, it has its answer,
// or it has brought nothing for long. Where none has it, a run without an
// outcome is taken over, unless its runner still knows it. Load: an instance and an endpoint that die in
// the same seconds, and placements that never reached the holder. Harm
// prevented: callers who wait out their whole time for a run that nobody has.
// Limit: only a joiner that has read the answer from its start can go on with
// it elsewhere; a caller who came with a part of it is told that the run is gone.
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
	case c.ResumeFrom.Tokens > 0:
		return ticket, nil
	}
	request := c.claimRequest(true)
	request.Lost = ticket.Run
	newTicket, err := r.Claims.Begin(ctx, request)
	if err == nil && newTicket.Run != ticket.Run && j.order.From > 0 {
		if !newTicket.Join {
			r.Claims.End(ctx, c.Key, claim.End{Outcome: record.OutcomeNotRun})
		}
		return newTicket, errRunGone
	}
	return newTicket, err
}

// relocate asks relocate where the run is, after a pause.
func (r *Runner) relocate(ctx context.Context, c Chat, order endpoint.Order, locate locator) (claim.Ticket, error) {
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
	if order.From > 0 && ticket.Run != order.Run {
		if !ticket.Join {
			r.Claims.End(ctx, c.Key, claim.End{Outcome: record.OutcomeNotRun})
		}
		return ticket, errRunGone
	}
	return ticket, nil
}

// errNotPlaced says that the run has no endpoint yet.
var errNotPlaced = eris.New("run: not placed yet")

// streamJoined reads the run over one connection.
func (r *Runner) streamJoined(ctx context.Context, t claim.Ticket, j *joinedRun) error {
	base, ok := r.Endpoints.URL(t.Endpoint)
	if !ok {
		return errNotPlaced
	}
	ctx, progress := r.watchProgress(ctx, true)
	defer progress.stop()
	j.order.Attempt++
	stream, err := r.Engines.Start(ctx, base, j.order)
	if err != nil {
		return progress.withCause(err)
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if endpoint.Whole(err) {
			u := stream.Usage()
			j.result.Usage = endpoint.Usage{Prompt: u.Prompt, Cached: u.Cached, Completion: u.Answer()}
			j.result.FinishReason = stream.Finish()
			return nil
		}
		if err != nil {
			return progress.withCause(err)
		}
		progress.onToken()
		j.order.From = token.Index + 1
		j.text.add(token)
		if err := j.sink(j.order.Run, token); err != nil {
			j.callerLeft = true
			return err
		}
	}
}
