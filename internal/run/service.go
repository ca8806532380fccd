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
	Service string
	Method  string
	// Path is the call's path below the service, escaped, with a slash in front.
	Path        string
	Query       string
	ContentType string
	Body        []byte
}

// callsPath is the path of a plain service below which its calls are.
const callsPath = "/call"

func (c Call) target() string {
	if c.Query == "" {
		return callsPath + c.Path
	}
	return callsPath + c.Path + "?" + c.Query
}

// Repeatable says whether a call may run more than once. Without a rule that
// says so it may not.
func (r *Runner) Repeatable(service, method, path string) bool {
	return r.Repeats != nil && r.Repeats.Repeatable(service, method, path)
}

// Call runs a service call, or returns the answer of the run that an earlier
// attempt has begun. The error is a *Failure.
func (r *Runner) Call(ctx context.Context, c Call) (endpoint.Answer, error) {
	repeatable := r.Repeatable(c.Service, c.Method, c.Path)
	ticket, err := r.beginCall(ctx, c, repeatable)
	if err != nil {
		return endpoint.Answer{}, unclaimed(err)
	}
	if ticket.Join {
		return joinCall(ticket)
	}
	answer, err := r.ownCall(ctx, c, ticket.Run, repeatable)
	return answer, c.doubted(ticket, err)
}

// beginCall claims the call, or waits for the end of the run that it joins.
func (r *Runner) beginCall(ctx context.Context, c Call, repeatable bool) (claim.Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	return claim.BeginOrJoin(ctx, r.Claims, c.claim(repeatable))
}

// joinCall returns the answer of a call that another attempt has sent, where a
// copy of it is kept.
func joinCall(t claim.Ticket) (endpoint.Answer, error) {
	if t.Outcome != record.OutcomeAnswered {
		return endpoint.Answer{}, failure(claim.ErrUnknown, true)
	}
	if t.Answer == nil {
		return endpoint.Answer{}, &Failure{
			Outcome: record.OutcomeAnswered, Code: CodeAnswerNotKept,
			Message: "The call ran once and was answered; no copy of the answer is kept.",
		}
	}
	return endpoint.Answer{Status: t.Answer.Status, ContentType: t.Answer.ContentType, Body: t.Answer.Body}, nil
}

// ownCall carries a call that this request has claimed. It goes on without its
// caller: a call that is on its way cannot be called back, and a retry is told
// its outcome.
func (r *Runner) ownCall(ctx context.Context, c Call, run record.RunID, repeatable bool) (endpoint.Answer, error) {
	work, stop := context.WithTimeoutCause(context.WithoutCancel(ctx), c.Wait, errLate)
	defer stop()
	s := &sending{call: c, run: run, repeatable: repeatable, wait: c.Wait}
	answer, err := r.send(work, s)
	if err != nil && work.Err() != nil {
		err = errors.Join(errLate, err)
	}
	return answer, r.end(ctx, c.Key, err, s.started, &claim.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
}

// sending is the state of one call while endpoints are tried.
type sending struct {
	call       Call
	run        record.RunID
	repeatable bool
	wait       time.Duration
	attempt    int
	avoid      []string
	started    bool // An endpoint may have run the call.
}

// send tries one endpoint after the other while nothing has run, or where the
// call may be repeated.
func (r *Runner) send(ctx context.Context, s *sending) (endpoint.Answer, error) {
	deadline := r.Placer.Now() + s.wait
	var last error
	for range r.Limits.Endpoints {
		placement, err := r.Placer.Submit(ctx, s.place(deadline))
		if err != nil {
			return endpoint.Answer{}, errors.Join(last, err)
		}
		meter := newMeter(placement)
		answer, err := r.sendTo(ctx, s, placement.Endpoint)
		meter.done(ctx, err)
		if err == nil {
			return answer, nil
		}
		last = err
		r.heed(placement.Endpoint, err)
		if ctx.Err() != nil || errors.Is(err, endpoint.ErrRejected) {
			break
		}
		if !s.repeatable && !errors.Is(err, endpoint.ErrRefused) {
			break
		}
		s.avoid = append(s.avoid, placement.Endpoint)
	}
	return endpoint.Answer{}, last
}

func (s *sending) place(deadline decide.Time) decide.Request {
	c := s.call
	return decide.Request{
		Team: c.Team.Name, Session: c.Session.ID, Service: c.Service, Priority: c.Priority, Deadline: deadline, Avoid: s.avoid,
		Repeatable: s.repeatable,
	}
}

// sendTo sends the call to one endpoint. One that may be repeated is given up
// there in time for another try.
func (r *Runner) sendTo(ctx context.Context, s *sending, name string) (endpoint.Answer, error) {
	base, ok := r.Endpoints.URL(name)
	if !ok {
		return endpoint.Answer{}, endpoint.ErrRefused
	}
	r.Claims.Place(ctx, s.call.Key, name)
	if s.repeatable && s.attempt == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.wait/2)
		defer cancel()
	}
	s.attempt++
	answer, err := r.Services.Call(ctx, base, endpoint.Call{
		Run: s.run, Attempt: s.attempt, Method: s.call.Method, Path: s.call.target(), ContentType: s.call.ContentType, Body: s.call.Body,
	})
	if !errors.Is(err, endpoint.ErrRefused) {
		s.started = true
	}
	return answer, err
}
