// Package forward takes one opaque request from a caller's connection to its
// final answer: route, key, budget, placement, attempts, stream. Names of
// headers that are not HTTP's own are the Codec's.
//
// An outcome is one of three. Answered: the endpoint's answer, unchanged. Not
// run: a status that promises that the request has not run and never will.
// Unknown: it may have run. "Not run" is said only where no attempt can have
// run.
package forward

import (
	"context"
	"net/http"
	"time"

	"guavapier/internal/placement"
	"guavapier/internal/prepaid"
	"guavapier/internal/quarantine"
	"guavapier/internal/record"
)

// Request is a caller's request as the Codec reads its head.
type Request struct {
	ID     string
	Method string
	Target string // Path and query, as they came.
	Path   string
	Host   string
	// Header is what goes on to the endpoint but for what the Codec adds.
	Header http.Header
	Key    string
	// Patience is how long the caller waits; 0 if it does not say.
	Patience time.Duration
	Model    string
	// PromptTokens and MaxOutput size a model request; 0 for a plain one.
	PromptTokens int64
	MaxOutput    int64
	Parts        []placement.Part
	// LastEvent is the identity of the last event that the caller has of a
	// stream that it resumes.
	LastEvent string
}

// Attempt is one send of a request to an endpoint.
type Attempt struct {
	Endpoint     string // Its identity; any other endpoint is to refuse.
	Organisation record.Team
	// Left is how long the endpoint may work.
	Left time.Duration
	// FetchFrom is the address of an endpoint from which this one is to get what
	// it lacks of the prompt; "" for none.
	FetchFrom string
	// Urgency is below route.UrgencyLevels, 0 first.
	Urgency int
	// LastEvent is the last event that the caller has; "" for none.
	LastEvent string
}

// Reply is what the head of an endpoint's answer says.
type Reply struct {
	RequestID string // "" if it does not say.
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// Signed says that the answer carries the endpoint's signature.
	Signed bool
}

// Codec names what is not HTTP's own.
type Codec interface {
	Request(r *http.Request) (Request, error)
	Attempt(r *Request, a Attempt) http.Header
	Reply(status int, h http.Header) Reply
}

// Reservation is a request's part of its organisation's budget.
type Reservation interface {
	Tokens() int64
	Settle(used int64)
}

// Budgets reserve tokens.
type Budgets interface {
	// Reserve fails with prepaid.ErrExhausted or prepaid.ErrInsufficient.
	Reserve(ctx context.Context, team record.Team, tokens int64) (Reservation, error)
	// Explain returns what decides on the team's budget at the moment.
	Explain(team record.Team) prepaid.Balance
}

// Quarantine keeps back requests under which endpoints end.
type Quarantine interface {
	// Admit fails with a quarantine.HeldError where the request may not be sent.
	Admit(ctx context.Context, c quarantine.Content) error
	// Broke tells that the connection to an endpoint broke with the request under way
	// there for that long, and returns whether the endpoint is gone.
	Broke(ctx context.Context, c quarantine.Content, endpoint, address string, underWay time.Duration) (gone bool)
	// Answered tells that an endpoint has answered the request.
	Answered(c quarantine.Content)
}
