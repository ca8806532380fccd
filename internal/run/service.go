package run

import (
	"context"
	"errors"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/decide"
	"guavapier/internal/endpoint"
	"guavapier/internal/record"
)

// Call is one call of a plain service.
type Call struct {
	Request
	Service     string
	Repeatable  bool
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Call runs a service call. The error is a *Failure.
func (r *Runner) Call(ctx context.Context, c Call) (endpoint.Answer, error) {
	ticket, err := r.beginCall(ctx, c)
	if err != nil {
		return endpoint.Answer{}, err
	}
	if ticket.Join {
		return joined(ticket)
	}
	answer, err := r.callAttempts(ctx, c, ticket.Run)
	if err != nil {
		return endpoint.Answer{}, r.end(ctx, c.Key, err)
	}
	r.Claims.End(ctx, c.Key, claim.End{
		Outcome: record.OutcomeAnswered,
		Answer:  &claim.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body},
	})
	return answer, nil
}

// beginCall claims the call, or waits for the run that it joins.
func (r *Runner) beginCall(ctx context.Context, c Call) (claim.Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	ticket, err := claim.BeginOrJoin(ctx, r.Claims, c.claim(c.Repeatable))
	if err != nil {
		return ticket, notRun(err)
	}
	return ticket, nil
}

// joined returns the answer of a run that another attempt has begun.
func joined(t claim.Ticket) (endpoint.Answer, error) {
	if t.Outcome != record.OutcomeAnswered {
		return endpoint.Answer{}, notRun(claim.ErrUnknown)
	}
	if t.Answer == nil {
		return endpoint.Answer{}, &Failure{
			Outcome: record.OutcomeAnswered, Code: CodeAnswerGone,
			Message: "The call ran once and was answered; no copy of the answer is kept.",
		}
	}
	return endpoint.Answer{Status: t.Answer.Status, ContentType: t.Answer.ContentType, Body: t.Answer.Body}, nil
}

// callAttempts tries again only while nothing has run, or where the call may
// be repeated.
func (r *Runner) callAttempts(ctx context.Context, c Call, run record.RunID) (endpoint.Answer, error) {
	place := decide.Request{
		Team: c.Team.Name, Session: c.Session.ID, Service: c.Service, Priority: c.Priority,
		Deadline: r.Placer.Now() + c.Wait, Repeatable: c.Repeatable,
	}
	var last error
	for attempt := 1; attempt <= r.MaxAttempts; attempt++ {
		placement, err := r.Placer.Submit(ctx, place)
		if err != nil && last == nil {
			return endpoint.Answer{}, notRun(err)
		}
		if err != nil {
			break
		}
		var answer endpoint.Answer
		answer, last = r.callOnce(ctx, c, placement.Endpoint, run, attempt, placement.Done)
		if last == nil {
			return answer, nil
		}
		if !c.Repeatable && !errors.Is(last, endpoint.ErrRefused) {
			break
		}
		place.Avoid = append(place.Avoid, placement.Endpoint)
	}
	return endpoint.Answer{}, unknown(last)
}

func (r *Runner) callOnce(ctx context.Context, c Call, name string, run record.RunID, attempt int, done func(decide.Result)) (endpoint.Answer, error) {
	began := time.Now()
	outcome := decide.Result{Failed: true}
	caller := ctx
	defer func() {
		outcome.Total = time.Since(began)
		outcome.Abandoned = outcome.Failed && caller.Err() != nil
		done(outcome)
	}()
	base, ok := r.Endpoints.URL(name)
	if !ok {
		return endpoint.Answer{}, endpoint.ErrRefused
	}
	r.Claims.Place(ctx, c.Key, name)
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	answer, err := r.Services.Call(ctx, base, endpoint.Call{
		Run: run, Attempt: attempt, Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body,
	})
	outcome.Failed = err != nil
	return answer, err
}
