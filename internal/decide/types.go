// Package decide makes the scheduling decisions of one instance under load:
// which requests to admit, in which order and at which endpoint to start
// them, which to refuse, and which endpoints to take out of use. It works on
// tables in memory, does no I/O, starts no goroutine and has no clock: the
// caller passes the time. The same seed and the same input give the same
// decisions.
//
// The tables hold the endpoints, the requests, and the pools: all endpoints
// that serve the same kind of request, with the queue for them. Tick runs the
// stages expire, admit, order, place, detectOutliers and refuse in this
// order.
//
// The caller submits a request, ticks and carries out the decisions: exactly
// one for each request that was not cancelled. It calls ObserveFirstToken
// when a started model request has its first token, and Finish once for each
// Start, whatever the outcome; the request holds its slot until then.
package decide

import (
	"time"

	"guavapier/internal/record"
)

// Time is the time since an origin that the caller chooses.
type Time = time.Duration

// RequestID identifies a queued or running request within one Decider.
type RequestID uint64

// Priority is a request's class; requests of a higher class start first.
type Priority uint8

// The priority classes.
const (
	// PriorityBatch is for long work whose caller waits minutes: reports,
	// summaries, trace tags.
	PriorityBatch Priority = 1
	// PriorityInteractive is for a person who waits for the first token.
	PriorityInteractive Priority = 2
	// PriorityCall is for calls by machines with a short deadline.
	PriorityCall Priority = 3
)

// Request describes a request to Submit.
type Request struct {
	ID       RequestID
	Team     record.Team
	Session  record.SessionID
	Service  string // The name of a plain service; empty for a model request.
	Model    string
	Priority Priority
	// Deadline is when the caller stops waiting for the first token or, from a
	// plain service, for the answer.
	Deadline     Time
	PromptTokens int
	MaxTokens    int
	// Repeatable marks a request that may run twice. Only such a request is used
	// to probe an ejected endpoint.
	Repeatable bool
	// Attempt numbers the starts of this request from 1; 0 counts as 1. Each
	// name in Avoid counts as an earlier attempt too. Attempts after the first
	// need retry budget.
	Attempt int
	// Avoid lists endpoints that have already failed this request.
	Avoid []string
}

// LoadReport is the load that an endpoint reports about itself, of all
// instances together. It arrives late.
type LoadReport struct {
	Running int  // Requests in slots.
	Queued  int  // Requests in the endpoint's own queue.
	At      Time // When the endpoint took it.
}

// Endpoint is one row of the endpoint table, from the configuration and
// discovery.
type Endpoint struct {
	Name    string
	Zone    record.Zone
	Service string
	Models  []string
	// Team is set for an endpoint that serves one team only.
	Team record.Team
	// Slots is how many requests the endpoint runs at once, for all instances
	// together. One Decider never starts more than that there.
	Slots int
	// MaxQueued is how many requests may wait in the endpoint's own queue, as
	// its reports show it; with more, nothing is started there. 0 means
	// defaultMaxQueued.
	MaxQueued int
	// Weight is the configured capacity, in any unit common to all endpoints.
	Weight  float64
	Leaving bool // It is draining and takes no new requests.
}

// Result is the outcome of an attempt, as passed to Finish. The zero Result
// gives back a slot that was not used.
type Result struct {
	// FirstToken is the time from start to first token; 0 if none came.
	FirstToken time.Duration
	Total      time.Duration // From start to end.
	Tokens     int           // Generated tokens.
	// Cached is how many prompt tokens the endpoint found in its prefix cache; 0
	// if unknown.
	Cached int
	Failed bool
	// Abandoned marks an attempt whose caller left before its end. It does not
	// count against the endpoint.
	Abandoned bool
	// Stalled marks a failed attempt that made no progress for too long.
	Stalled bool
}

// Code is the reason of a refusal.
type Code string

// The refusal codes.
const (
	CodeOverloaded Code = "overloaded"
	CodeNoEndpoint Code = "no_endpoint"
	CodeDeadline   Code = "deadline"
	// CodeUnknownModel refuses a model that no endpoint has served to the team
	// since the start. Unlike after CodeNoEndpoint, a retry does not help.
	CodeUnknownModel Code = "model_not_found"
	// CodeRetryBudget refuses a retry while retries are too large a share of the
	// requests.
	CodeRetryBudget Code = "retry_budget"
)

// Kind is what a Decision decides.
type Kind uint8

// The kinds of decision.
const (
	// Start sends the request to Endpoint now.
	Start Kind = 1
	// Refuse answers the request now with Code and RetryAfter; it did not run.
	Refuse Kind = 2
)

// Decision is the decision about one request, from Tick. Endpoint is set for
// Start; Code and RetryAfter are set for Refuse.
type Decision struct {
	Kind     Kind
	Request  RequestID
	Endpoint string
	Code     Code
	// RetryAfter is after how long a retry has a chance to be admitted.
	RetryAfter time.Duration
}
