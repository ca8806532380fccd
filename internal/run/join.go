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

// joinPause is how long a joining caller waits before it asks again where the
// run is: while it is queued, or on its way to another endpoint.
const joinPause = 100 * time.Millisecond

// strayAfter is how long a joined run may bring nothing before its joiner asks
// whether anybody has it. A queued run has no endpoint either, and each such
// question goes to every engine: 2 s is well over the usual wait for a slot and
// well under the callers' waits.
const strayAfter = 2 * time.Second

// follower reads a run that another request owns.
type follower struct {
	order  endpoint.RunRequest
	sink   Sink
	result ChatResult
	// text is what was read, from the caller's offset on.
	text tokenText
	// taken says that the run was taken over: its earlier runner may have run it.
	taken bool
	// left marks an error of the caller's own connection.
	left bool
}

// locate says where a run is now. A ticket without Join says that the run ended
// without having run, so that the request may begin anew.
type locate func(ctx context.Context) (claim.Ticket, error)

// byClaim locates the run that a request's key stands for.
func (r *Runner) byClaim(c Chat) locate {
	return func(ctx context.Context) (claim.Ticket, error) { return r.Claims.Begin(ctx, c.claim(true)) }
}

// byRun locates a run at the engines, whatever became of its claim.
func (r *Runner) byRun(run record.RunID) locate {
	return func(ctx context.Context) (claim.Ticket, error) {
		if r.Finder == nil {
			return claim.Ticket{}, errRunGone
		}
		name, ok := r.Finder.Find(ctx, run)
		if !ok {
			return claim.Ticket{}, errRunGone
		}
		return claim.Ticket{Run: run, Join: true, Endpoint: name}, nil
	}
}

// continueChat goes on in a run that the caller has a part of. Its claim may
// have died with its instance; then the engines know the run. Parts of two runs
// never make one answer.
func (r *Runner) continueChat(ctx context.Context, c Chat, sink Sink) (ChatResult, error) {
	where := r.byRun(c.Have.Run)
	if c.Keyed {
		ticket, err := r.Claims.Begin(ctx, c.claim(true))
		switch {
		case errors.Is(err, claim.ErrKeyReused):
			return ChatResult{}, failure(err, true)
		case err == nil && ticket.Join && ticket.Run == c.Have.Run:
			return r.joinChat(ctx, c, ticket, sink, r.byClaim(c))
		case err == nil && !ticket.Join:
			r.Claims.End(ctx, c.Key, claim.End{Outcome: record.OutcomeNotRun})
		}
	}
	ticket, err := where(ctx)
	if err != nil {
		return ChatResult{}, failure(err, true)
	}
	return r.joinChat(ctx, c, ticket, sink, where)
}

// joinChat streams a run that an earlier attempt began, from its endpoint,
// wherever that attempt's instance is and whether it still lives. It neither
// reserves nor bills: the run's owner or its witness does.
func (r *Runner) joinChat(ctx context.Context, c Chat, ticket claim.Ticket, sink Sink, where locate) (ChatResult, error) {
	f := &follower{order: c.order(ticket.Run), sink: sink, result: ChatResult{Run: ticket.Run}}
	f.order.ResumeOnly, f.order.ResumeFrom = true, c.Have.Tokens
	return r.joinRun(ctx, c, ticket, f, where)
}

// joinRun follows the run from endpoint to endpoint to its end, or takes it over.
func (r *Runner) joinRun(ctx context.Context, c Chat, ticket claim.Ticket, f *follower, where locate) (ChatResult, error) {
	patience, asked := time.Now().Add(c.Wait), time.Now()
	for {
		before := f.order.ResumeFrom
		err := r.follow(ctx, ticket, f)
		if err == nil {
			return f.result, nil
		}
		if f.left || ctx.Err() != nil {
			return f.result, failure(errors.Join(errLeft, err), true)
		}
		if ticket.Outcome == record.OutcomeUnknown {
			return f.result, failure(claim.ErrUnknown, true)
		}
		if f.order.ResumeFrom > before {
			patience, asked = time.Now().Add(c.Wait), time.Now()
		}
		if time.Now().After(patience) {
			return f.result, failure(errors.Join(errLate, err), true)
		}
		last := err
		if ticket, err = r.again(ctx, c, f.order, where); err != nil {
			return f.result, failure(err, true)
		}
		if ticket.RunnerGone || ticket.Outcome == record.OutcomeAnswered || time.Since(asked) > strayAfter {
			asked = time.Now()
			if ticket, err = r.seek(ctx, c, ticket, f, last); err != nil {
				return f.result, failure(err, true)
			}
		}
		if !ticket.Join {
			f.taken = ticket.Run == f.order.Run
			result, err := r.ownChat(ctx, c, ticket.Run, f)
			return result, c.doubted(ticket, err)
		}
	}
}

// seek finds the endpoint that has a run: its runner is gone, it has its answer,
// or it has brought nothing for long. Where none has it, a run without an
// outcome is taken over, unless its runner still knows it. Load: an instance and an endpoint that die in
// the same seconds, and placements that never reached the holder. Harm
// prevented: callers who wait out their whole time for a run that nobody has.
// Limit: only a joiner that has read the answer from its start can go on with
// it elsewhere; a caller who came with a part of it is told that the run is gone.
func (r *Runner) seek(ctx context.Context, c Chat, ticket claim.Ticket, f *follower, last error) (claim.Ticket, error) {
	if r.Finder != nil && !errors.Is(last, endpoint.ErrCancelled) {
		if name, ok := r.Finder.Find(ctx, ticket.Run); ok {
			ticket.Endpoint = name
			return ticket, nil
		}
	}
	switch {
	case ticket.Outcome == record.OutcomeAnswered:
		return ticket, errAnswerGone
	case ticket.Outcome != 0:
		return ticket, claim.ErrUnknown
	case c.Have.Tokens > 0 && ticket.RunnerGone:
		return ticket, errRunGone
	case c.Have.Tokens > 0:
		return ticket, nil
	}
	again := c.claim(true)
	again.Lost = ticket.Run
	taken, err := r.Claims.Begin(ctx, again)
	if err == nil && taken.Run != ticket.Run && f.order.ResumeFrom > 0 {
		if !taken.Join {
			r.Claims.End(ctx, c.Key, claim.End{Outcome: record.OutcomeNotRun})
		}
		return taken, errRunGone
	}
	return taken, err
}

// again asks again where the run is, after a pause.
func (r *Runner) again(ctx context.Context, c Chat, order endpoint.RunRequest, where locate) (claim.Ticket, error) {
	timer := time.NewTimer(joinPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return claim.Ticket{}, errors.Join(errLeft, ctx.Err())
	}
	ticket, err := where(ctx)
	if err != nil {
		return ticket, err
	}
	if order.ResumeFrom > 0 && ticket.Run != order.Run {
		if !ticket.Join {
			r.Claims.End(ctx, c.Key, claim.End{Outcome: record.OutcomeNotRun})
		}
		return ticket, errRunGone
	}
	return ticket, nil
}

// errNotPlaced says that the run has no endpoint yet.
var errNotPlaced = eris.New("run: not placed yet")

// follow reads the run over one connection.
func (r *Runner) follow(ctx context.Context, t claim.Ticket, f *follower) error {
	base, ok := r.Endpoints.URL(t.Endpoint)
	if !ok {
		return errNotPlaced
	}
	ctx, progress := r.watchProgress(ctx, true)
	defer progress.stop()
	f.order.Attempt++
	stream, err := r.Engines.Start(ctx, base, f.order)
	if err != nil {
		return progress.explain(err)
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if endpoint.IsComplete(err) {
			u := stream.Usage()
			f.result.Usage = endpoint.Usage{Prompt: u.Prompt, Cached: u.Cached, Completion: u.AnswerTokens()}
			f.result.Finish = stream.Finish()
			return nil
		}
		if err != nil {
			return progress.explain(err)
		}
		progress.token()
		f.order.ResumeFrom = token.Index + 1
		f.text.add(token)
		if err := f.sink(f.order.Run, token); err != nil {
			f.left = true
			return err
		}
	}
}
