package run

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/config"
	"guavapier/internal/decide"
	"guavapier/internal/dispatch"
	"guavapier/internal/endpoint"
	"guavapier/internal/ledger"
	"guavapier/internal/record"
	"guavapier/internal/session"
)

// Accounts is what a run needs of package ledger.
type Accounts interface {
	Reserve(ctx context.Context, key record.RequestKey, run record.RunID, budget record.BudgetID, tokens int64) (ledger.Reservation, error)
	Settle(ctx context.Context, budget record.BudgetID, r ledger.Reservation, used int64) error
}

// Placer is what a run needs of package dispatch.
type Placer interface {
	Now() decide.Time
	Submit(ctx context.Context, r decide.Request) (*dispatch.Placement, error)
}

// Endpoints finds an endpoint's base URL by its name.
type Endpoints interface {
	URL(name string) (string, bool)
}

// Runner is safe for concurrent use.
type Runner struct {
	Claims    claim.Claims
	Accounts  Accounts
	Placer    Placer
	Endpoints Endpoints
	Engines   endpoint.Engines
	Services  endpoint.Services
	// MaxAttempts bounds how often one run is started at an endpoint.
	MaxAttempts int
	// OnError takes errors that no caller waits for.
	OnError func(error)
}

// Request is what chat requests and service calls have in common.
type Request struct {
	Key      record.RequestKey
	Digest   uint64
	Team     config.Team
	Session  session.Identity
	First    bool
	Priority decide.Priority
	// Wait is how long the caller waits for the first token or the answer.
	Wait time.Duration
}

// Chat is one chat completion.
type Chat struct {
	Request
	Model        string
	Messages     json.RawMessage
	PromptTokens int
	MaxTokens    int
}

// Sink takes the tokens of a run, in order, each once.
type Sink func(endpoint.Token) error

// ChatResult is a whole answer's closing.
type ChatResult struct {
	Run    record.RunID
	Usage  endpoint.Usage
	Finish string
}

// Chat runs a chat completion. The error is a *Failure.
func (r *Runner) Chat(ctx context.Context, c Chat, sink Sink) (ChatResult, error) {
	ticket, err := r.begin(ctx, c.Request, true)
	if err != nil {
		return ChatResult{}, err
	}
	worst := int64(c.PromptTokens + c.MaxTokens)
	reserved, err := r.Accounts.Reserve(ctx, c.Key, ticket.Run, c.Team.Budget, worst)
	if err != nil {
		return ChatResult{}, r.end(ctx, c.Key, notRun(err))
	}
	result, err := r.attempts(ctx, c, ticket.Run, sink)
	r.settle(ctx, c, reserved, result.Usage, err)
	if err != nil {
		return result, r.end(ctx, c.Key, err)
	}
	r.Claims.End(ctx, c.Key, record.OutcomeAnswered)
	return result, nil
}

func (r *Runner) begin(ctx context.Context, q Request, repeatable bool) (claim.Ticket, error) {
	ticket, err := r.Claims.Begin(ctx, claim.Request{
		Key: q.Key, Digest: q.Digest, Home: q.Session.Home, Repeatable: repeatable, First: q.First,
	})
	if err != nil {
		return ticket, notRun(err)
	}
	if ticket.Join {
		return ticket, notRun(claim.ErrUnknown)
	}
	return ticket, nil
}

// end tells the claim how the run failed and returns the failure.
func (r *Runner) end(ctx context.Context, key record.RequestKey, err error) error {
	var f *Failure
	if !errors.As(err, &f) {
		f = unknown(err)
	}
	r.Claims.End(context.WithoutCancel(ctx), key, f.Outcome)
	return f
}

// settle bills the run. Where the usage is unknown the reservation is billed
// whole: the team never pays more than was reserved, and nothing runs free.
func (r *Runner) settle(ctx context.Context, c Chat, reserved ledger.Reservation, usage endpoint.Usage, err error) {
	used := usage.Prompt + usage.Completion
	var f *Failure
	if errors.As(err, &f) {
		used = reserved.Tokens
		if f.Outcome == record.OutcomeNotRun {
			used = 0
		}
	}
	if err := r.Accounts.Settle(context.WithoutCancel(ctx), c.Team.Budget, reserved, used); err != nil {
		r.OnError(err)
	}
}

// attempts places the run until an endpoint answers it whole.
func (r *Runner) attempts(ctx context.Context, c Chat, run record.RunID, sink Sink) (ChatResult, error) {
	place := decide.Request{
		Team: c.Team.Name, Session: c.Session.ID, Model: c.Model, Priority: c.Priority,
		Deadline: r.Placer.Now() + c.Wait, PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens,
		Repeatable: true,
	}
	result := ChatResult{Run: run}
	order := endpoint.Order{Run: run, Priority: int(c.Priority), Model: c.Model, Messages: c.Messages, MaxTokens: c.MaxTokens}
	var last error
	for order.Attempt = 1; order.Attempt <= r.MaxAttempts; order.Attempt++ {
		placement, err := r.Placer.Submit(ctx, place)
		if err != nil && last == nil {
			return result, notRun(err)
		}
		if err != nil {
			break
		}
		last = r.attempt(ctx, c, placement, &order, &result, sink)
		if last == nil {
			return result, nil
		}
		if ctx.Err() != nil {
			return result, unknown(last)
		}
		place.Avoid = append(place.Avoid, placement.Endpoint)
	}
	return result, unknown(last)
}

// attempt streams one attempt into the sink and moves order.From on with each
// token, so that a next attempt goes on where this one ended.
func (r *Runner) attempt(ctx context.Context, c Chat, p *dispatch.Placement, order *endpoint.Order, result *ChatResult, sink Sink) error {
	began := time.Now()
	outcome := decide.Result{Failed: true}
	defer func() {
		outcome.Total = time.Since(began)
		outcome.Abandoned = outcome.Failed && ctx.Err() != nil
		p.Done(outcome)
	}()
	base, ok := r.Endpoints.URL(p.Endpoint)
	if !ok {
		return endpoint.ErrRefused
	}
	r.Claims.Place(ctx, c.Key, p.Endpoint)
	stream, err := r.Engines.Start(ctx, base, *order)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, endpoint.ErrLost) {
			result.Usage, result.Finish = stream.Usage(), stream.Finish()
			outcome.Failed = false
			return nil
		}
		if err != nil {
			return err
		}
		if outcome.Tokens == 0 {
			outcome.FirstToken = time.Since(began)
			p.FirstToken(outcome.FirstToken)
		}
		outcome.Tokens++
		order.From = token.Index + 1
		order.Prior += token.Text
		if err := sink(token); err != nil {
			return err
		}
	}
}
