package run

import (
	"context"
	"errors"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/endpoint"
	"guavapier/internal/record"

	"github.com/rotisserie/eris"
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

// follower reads a run that another request owns.
type follower struct {
	order  endpoint.Order
	sink   Sink
	result ChatResult
	// left marks an error of the caller's own connection.
	left bool
}

// joinChat streams a run that an earlier attempt began, from its endpoint,
// wherever that attempt's instance is and whether it still lives. It neither
// reserves nor bills: the run's owner or its witness does.
func (r *Runner) joinChat(ctx context.Context, c Chat, ticket claim.Ticket, sink Sink) (ChatResult, error) {
	if c.Have.Run != "" && c.Have.Run != ticket.Run {
		return ChatResult{}, failure(errRunGone, true)
	}
	f := &follower{order: c.order(ticket.Run), sink: sink, result: ChatResult{Run: ticket.Run}}
	f.order.ResumeOnly, f.order.From = true, c.Have.Tokens
	patience := time.Now().Add(c.Wait)
	for {
		before := f.order.From
		err := r.follow(ctx, ticket, f)
		if err == nil {
			return f.result, nil
		}
		if f.left || ctx.Err() != nil {
			return f.result, failure(errors.Join(errLeft, err), true)
		}
		if final := ended(ticket, err); final != nil {
			return f.result, failure(final, true)
		}
		if f.order.From > before {
			patience = time.Now().Add(c.Wait)
		}
		if time.Now().After(patience) {
			return f.result, failure(errors.Join(errLate, err), true)
		}
		if ticket, err = r.rejoin(ctx, c, f.order); err != nil {
			return f.result, failure(err, true)
		}
		if !ticket.Join {
			return r.ownChat(ctx, c, ticket.Run, sink)
		}
	}
}

// ended returns the final error of a run that has ended, nil while it may go on.
func ended(t claim.Ticket, err error) error {
	switch {
	case t.Outcome == record.OutcomeUnknown:
		return claim.ErrUnknown
	case t.Outcome == record.OutcomeAnswered && errors.Is(err, endpoint.ErrRefused):
		return errAnswerGone
	case t.RunnerGone && errors.Is(err, endpoint.ErrRefused):
		return claim.ErrUnknown
	}
	return nil
}

// rejoin asks again where the run is. A ticket without Join says that the run
// ended without having run, so that the request may begin anew.
func (r *Runner) rejoin(ctx context.Context, c Chat, order endpoint.Order) (claim.Ticket, error) {
	timer := time.NewTimer(joinPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return claim.Ticket{}, errors.Join(errLeft, ctx.Err())
	}
	ticket, err := r.Claims.Begin(ctx, c.claim(true))
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
		if endpoint.Whole(err) {
			u := stream.Usage()
			f.result.Usage = endpoint.Usage{Prompt: u.Prompt, Cached: u.Cached, Completion: u.Answer()}
			f.result.Finish = stream.Finish()
			return nil
		}
		if err != nil {
			return progress.explain(err)
		}
		progress.token()
		f.order.From = token.Index + 1
		if err := f.sink(f.order.Run, token); err != nil {
			f.left = true
			return err
		}
	}
}
