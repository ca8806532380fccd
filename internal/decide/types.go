// Package decide holds the decisions under load: which requests to admit,
// refuse, order, place and shift. It works on tables, does no input or output,
// starts no goroutine and has no clock: the caller gives it the time. The same
// input gives the same output.
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
	// Avoid lists endpoints that have already failed this request.
	Avoid []string
}

// Report is an endpoint's own lagging load report.
type Report struct {
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
	// Slots is how many requests the endpoint runs at once.
	Slots int
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
	Failed     bool
	// Silent marks a failure by lack of progress.
	Silent bool
}

// Code says why a request was refused.
type Code string

// The refusal codes.
const (
	CodeOverloaded Code = "overloaded"
	CodeNoEndpoint Code = "no_endpoint"
	CodeDeadline   Code = "deadline"
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
