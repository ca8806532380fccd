// Package endpointload describes what is under way at endpoints, and sums it up over the
// instances of a fleet.
//
// An instance sees only the requests that it sends itself: of 91 instances each knows a
// ninetieth of an endpoint's load. The sums are hints for placement. One that is late or lost
// makes a placement worse and has no other effect.
package endpointload

import "time"

// Load is what one or several instances have under way at an endpoint.
type Load struct {
	Requests int // Sent and not ended.
	Waiting  int // Of Requests, those whose answers have not started.
	// Prefill is the expected time for the prompts of the waiting ones.
	Prefill time.Duration
	// Tokens is the memory that the requests may take at most: prompts and longest answers.
	Tokens int64
}

// Add adds the load of other instances.
func (l *Load) Add(other Load) {
	l.Requests += other.Requests
	l.Waiting += other.Waiting
	l.Prefill += other.Prefill
	l.Tokens += other.Tokens
}

// IsZero reports whether nothing is under way.
func (l Load) IsZero() bool { return l == Load{} }

// Sample is an observed time to first token (TTFT), from which endpoints' speeds are estimated.
type Sample struct {
	Endpoint string  // Its ID.
	Tokens   float64 // Of the prompt, those that were not cached.
	TTFT     time.Duration
}

// Report is what an endpoint states of its load.
type Report struct {
	Running, Waiting int
	// UsedTokens is the memory that can't be freed, TotalTokens all of it.
	UsedTokens, TotalTokens int64
	// Age is how long ago the report was read; the endpoint made it some 100 ms before.
	Age time.Duration
}
