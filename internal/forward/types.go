package forward

import (
	"context"
	"net/http"
	"time"

	"guavapier/internal/origin"
	"guavapier/internal/placement"
	"guavapier/internal/prepaid"
	"guavapier/internal/quarantine"
	"guavapier/internal/record"
	"guavapier/internal/tokenwait"
)

// Request is a caller's request line and header, as decoded by the Codec.
type Request struct {
	ID     string
	Method string
	Target string // Path and query, as received.
	Path   string
	Host   string
	// Header is forwarded to the endpoint, together with the fields that the Codec adds
	// for an attempt.
	Header http.Header
	Key    string // The caller's API key; "" for none.
	// Timeout is how long the caller waits; 0 if not stated.
	Timeout time.Duration
	Model   string // Name of the model; "" if not stated.
	// PromptTokens and MaxOutputTokens are the size of a request to a model; both are 0
	// for other requests.
	PromptTokens    int64
	MaxOutputTokens int64
	// PromptParts are the consecutive parts of the prompt that endpoints may have cached.
	PromptParts []placement.Part
	// LastEventID is the ID of the last event that the caller received of the stream that
	// it resumes; "" for none.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of that stream; "" if not
	// stated.
	Resumes string
}

// Attempt holds what the Codec adds to a request when it is sent to an endpoint.
type Attempt struct {
	Endpoint     string // ID of the endpoint; any other one must refuse the request.
	Organisation record.Team
	// Timeout is how long the endpoint may work on the request.
	Timeout time.Duration
	// FetchFrom is the address of another endpoint from which this one should fetch the
	// cached parts of the prompt that it lacks; "" for none.
	FetchFrom string
	// Urgency is from 0, served first, to route.UrgencyLevels-1.
	Urgency int
	// LastEventID is the ID of the last event that the caller received; "" for none.
	LastEventID string
}

// Reply is the part of an endpoint's status and header that the Codec decodes.
type Reply struct {
	RequestID string // ID of the request that was answered; "" if not stated.
	// NotRun reports whether the endpoint states that it has not run the request.
	NotRun bool
	// Misdirected reports whether another endpoint than the one that was meant has answered.
	// The request has not run then.
	Misdirected bool
	// Statement is what the endpoint states of itself.
	Statement placement.Statement
	// Signed reports whether the answer carries the endpoint's signature; the signature is
	// not verified.
	Signed bool
}

// Codec translates the header fields that HTTP does not define.
type Codec interface {
	// Request decodes a caller's request line and header. An error means that they are
	// malformed.
	Request(r *http.Request) (Request, error)
	// Attempt returns the header to send to an endpoint.
	Attempt(r *Request, a Attempt) http.Header
	// Reply decodes the status and header of an endpoint's answer.
	Reply(status int, h http.Header) Reply
}

// Reservation is a number of tokens reserved for a request in its organisation's budget.
type Reservation interface {
	Tokens() int64
	// Settle ends the reservation: used tokens are spent and the others returned.
	Settle(used int64)
}

// Budgets reserves tokens in the organisations' budgets.
type Budgets interface {
	// Reserve fails with prepaid.ErrExhausted or prepaid.ErrInsufficient.
	Reserve(ctx context.Context, r tokenwait.Request) (Reservation, error)
	// Explain returns the current state of the team's budget, for the log.
	Explain(team record.Team) prepaid.Balance
}

// Origins keeps where streams began.
type Origins interface {
	// Find returns the origin of the stream that a caller continues. It fails with
	// origin.ErrUnknown or origin.ErrUnconfirmed.
	Find(ctx context.Context, q origin.Query) (origin.Finding, error)
	// Began records the origin of a stream whose next event is about to be sent.
	Began(r origin.Record)
}

// Quarantine rejects requests that crashed the endpoints serving them.
type Quarantine interface {
	// Admit fails with a quarantine.QuarantinedError if the request must not be sent.
	Admit(ctx context.Context, c quarantine.Content) error
	// Broke records that the connection to an endpoint broke after it had served the
	// request for the given duration, and reports whether the endpoint is gone.
	Broke(ctx context.Context, c quarantine.Content, at quarantine.Endpoint, duration time.Duration) (gone bool)
	// Answered records that an endpoint has answered the request.
	Answered(c quarantine.Content, by quarantine.Endpoint)
	// HasCrashed reports whether an endpoint whose answer ended with its connection has crashed.
	// The error is not nil if that can't be found out.
	HasCrashed(ctx context.Context, e quarantine.Endpoint) (crashed bool, err error)
}
