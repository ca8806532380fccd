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

// Call is a request for one call of a plain service, that is one without a model.
type Call struct {
	Request
	Service     string
	Method      string
	Path        string // Path below the service, escaped, with a leading slash.
	Query       string // Raw query without the question mark; may be empty.
	ContentType string
	Body        []byte
}

// callsPath is the path prefix of calls at a plain service's endpoint.
const callsPath = "/call"

// requestTarget returns the path and query of the call at the endpoint.
func (c Call) requestTarget() string {
	if c.Query == "" {
		return callsPath + c.Path
	}
	return callsPath + c.Path + "?" + c.Query
}

// Repeatable reports whether a call may run more than once. It may only if a rule
// allows it.
func (r *Runner) Repeatable(service, method, path string) bool {
	return r.RepeatRules != nil && r.RepeatRules.Repeatable(service, method, path)
}

// Call runs a service call, or returns the answer of the run that an earlier
// attempt of the same request started. The error is a *Failure.
func (r *Runner) Call(ctx context.Context, c Call) (endpoint.Answer, error) {
	began := time.Now()
	answer, err := r.claimAndExecute(ctx, c)
	r.logUnknown(c.Request, began, err)
	return answer, err
}

// claimAndExecute claims the call and runs it, or returns the answer of the run
// that it joins.
func (r *Runner) claimAndExecute(ctx context.Context, c Call) (endpoint.Answer, error) {
	repeatable := r.Repeatable(c.Service, c.Method, c.Path)
	ticket, err := r.beginCall(ctx, c, repeatable)
	if err != nil {
		return endpoint.Answer{}, claimFailure(err)
	}
	if ticket.Join {
		return joinedAnswer(ticket)
	}
	answer, err := r.executeCall(ctx, c, ticket.Run, repeatable)
	return answer, c.retractNotRun(ticket, err)
}

// beginCall claims the call, or joins an earlier attempt's run and waits, up to
// MaxWait, for its end.
func (r *Runner) beginCall(ctx context.Context, c Call, repeatable bool) (claim.Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, c.MaxWait)
	defer cancel()
	return claim.BeginOrJoin(ctx, r.Claims, c.claimRequest(repeatable))
}

// joinedAnswer returns the answer of a joined run. It fails with the code
// CodeAnswerNotKept if the call was answered but no copy of the answer is kept.
func joinedAnswer(t claim.Ticket) (endpoint.Answer, error) {
	if t.Outcome != record.OutcomeAnswered {
		return endpoint.Answer{}, newFailure(claim.ErrUnknown, true)
	}
	if t.Answer == nil {
		return endpoint.Answer{}, &Failure{
			Outcome: record.OutcomeAnswered, Code: CodeAnswerNotKept,
			Message: "The call ran once and was answered; no copy of the answer is kept.",
		}
	}
	return endpoint.Answer{Status: t.Answer.Status, ContentType: t.Answer.ContentType, Body: t.Answer.Body}, nil
}

// executeCall executes a call that this request has claimed. It continues when the
// caller disconnects: a call that was sent cannot be revoked, and a retry gets its
// outcome.
func (r *Runner) executeCall(ctx context.Context, c Call, run record.RunID, repeatable bool) (endpoint.Answer, error) {
	workCtx, stop := context.WithTimeoutCause(context.WithoutCancel(ctx), c.MaxWait, errNoAnswerInTime)
	defer stop()
	s := &callState{call: c, run: run, repeatable: repeatable, maxWait: c.MaxWait}
	answer, err := r.sendCall(workCtx, s)
	if err != nil && workCtx.Err() != nil {
		err = errors.Join(errNoAnswerInTime, err)
	}
	return answer, r.endRun(ctx, c.Key, err, s.mayHaveRun, &claim.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
}

// callState is the state of one call while endpoints are tried for it.
type callState struct {
	call       Call
	run        record.RunID
	repeatable bool
	maxWait    time.Duration
	attempt    int      // Number of the last attempt, from 1; 0 before the first.
	excluded   []string // Names of the endpoints that failed.
	mayHaveRun bool     // An endpoint may have executed the call.
}

// sendCall tries endpoints in turn until one answers. After an endpoint that may
// have executed the call it tries another one only if the call is repeatable.
func (r *Runner) sendCall(ctx context.Context, s *callState) (endpoint.Answer, error) {
	deadline := r.Placer.Now() + s.maxWait
	var lastErr error
	for range r.Limits.MaxEndpoints {
		placement, err := r.Placer.Submit(ctx, s.placementRequest(deadline))
		if err != nil {
			return endpoint.Answer{}, errors.Join(lastErr, err)
		}
		meter := newAttemptMeter(placement)
		answer, err := r.sendToEndpoint(ctx, s, placement.Endpoint)
		meter.finish(ctx, err)
		if err == nil {
			return answer, nil
		}
		lastErr = err
		r.reportLeaving(placement.Endpoint, err)
		if ctx.Err() != nil || errors.Is(err, endpoint.ErrRejected) {
			break
		}
		if !s.repeatable && !errors.Is(err, endpoint.ErrRefused) {
			break
		}
		s.excluded = append(s.excluded, placement.Endpoint)
	}
	return endpoint.Answer{}, lastErr
}

// placementRequest returns the request for the call's next endpoint.
func (s *callState) placementRequest(deadline decide.Time) decide.Request {
	c := s.call
	return decide.Request{
		Team: c.Team.Name, Session: c.Session.ID, Service: c.Service, Priority: c.Priority, Deadline: deadline, Avoid: s.excluded,
		Repeatable: s.repeatable,
	}
}

// sendToEndpoint sends the call to one endpoint. The first attempt of a repeatable
// call may take half of MaxWait, which leaves time for another endpoint.
func (r *Runner) sendToEndpoint(ctx context.Context, s *callState, name string) (endpoint.Answer, error) {
	base, ok := r.Endpoints.URL(name)
	if !ok {
		return endpoint.Answer{}, endpoint.ErrRefused
	}
	r.Claims.Place(ctx, s.call.Key, name)
	if s.repeatable && s.attempt == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.maxWait/2)
		defer cancel()
	}
	s.attempt++
	answer, err := r.Services.Call(ctx, base, endpoint.Call{
		Run: s.run, Attempt: s.attempt, Method: s.call.Method, Path: s.call.requestTarget(), ContentType: s.call.ContentType, Body: s.call.Body,
	})
	if !errors.Is(err, endpoint.ErrRefused) {
		s.mayHaveRun = true
	}
	return answer, err
}
