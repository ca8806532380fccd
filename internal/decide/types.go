// Package decide holds the decisions under load: which requests to admit,
// refuse, order, place and shift. It works on tables, does no input or output,
// starts no goroutine and has no clock: the caller gives it the time. The same
// input gives the same output.
//
// The tables are the endpoints, the pools of endpoints that serve the same kind
// of request, and the requests. Tick runs the systems over them in fixed order:
// expire, admit, order, place, shift, refuse; each has a file of its own. The
// driver submits a request, ticks, and does what the decisions say: exactly one
// for each request that was not cancelled. It calls FirstToken when a started
// model request has its first token, and Finish once for each Start, whatever
// came of it; a slot is taken until then.
package decide

import (
	"time"

	"guavapier/internal/record"
)

// Time is the time since an origin that the caller chooses.
type Time = time.Duration

// RequestID names a queued or running request within one Decider.
type RequestID uint64

// Priority orders requests; a higher one goes first.
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

// Request is what Submit takes.
type Request struct {
	ID       RequestID
	Team     record.Team
	Session  record.SessionID
	Service  string // A plain service's name; empty for a model request.
	Model    string
	Priority Priority
	// Deadline is when the caller gives up waiting for the first token or,
	// for a plain service, for the answer.
	Deadline     Time
	PromptTokens int
	MaxTokens    int
	// Repeatable marks a request that may run twice. Only such a request is
	// sent to an endpoint that is being probed.
	Repeatable bool
	// Attempt counts the starts of this request, from 1; 0 counts as 1. Each
	// name in Avoid counts as an attempt too. Later ones need retry budget.
	Attempt int
	// Avoid lists endpoints that have already failed this request.
	Avoid []string
}

// LoadReport is an endpoint's own lagging load report.
type LoadReport struct {
	Running int
	Queued  int
	At      Time
}

// Endpoint is one row of the endpoint table as configured and listed.
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
	// MaxQueued is how many requests may wait in the endpoint's own queue as its
	// reports show it; above it nothing more is placed there. 0 means the
	// default.
	MaxQueued int
	// Weight is the configured capacity, in any unit common to all endpoints.
	Weight  float64
	Leaving bool
}

// Result is how an attempt ended, as Finish takes it.
type Result struct {
	// FirstToken is the time from start to first token; 0 if none came.
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
	// Cached is how many prompt tokens the endpoint found in its prefix
	// cache; 0 if unknown.
	Cached int
	Failed bool
	// Abandoned marks an attempt that the caller left. It says nothing against
	// the endpoint.
	Abandoned bool
	// Stalled marks a failure by lack of progress.
	Stalled bool
}

// Code says why a request was refused.
type Code string

// The refusal codes.
const (
	CodeOverloaded Code = "overloaded"
	CodeNoEndpoint Code = "no_endpoint"
	CodeDeadline   Code = "deadline"
	// CodeUnknownModel refuses a model that no endpoint has served to the team
	// since the start: coming back does not help, unlike after CodeNoEndpoint.
	CodeUnknownModel Code = "model_not_found"
	// CodeRetryBudget refuses a retry while retries are too large a share.
	CodeRetryBudget Code = "retry_budget"
)

// Kind tells a Decision's meaning.
type Kind uint8

// The kinds of decision.
const (
	// Start sends the request to Endpoint now.
	Start Kind = 1
	// Refuse gives the request its final answer now: it did not run.
	Refuse Kind = 2
)

// Decision is one output of Tick.
type Decision struct {
	Kind     Kind
	Request  RequestID
	Endpoint string
	Code     Code
	// RetryAfter is when coming back helps, for Refuse.
	RetryAfter time.Duration
}
