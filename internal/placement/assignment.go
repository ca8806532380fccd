package placement

import (
	"time"

	"guavapier/internal/discovery"
)

// Outcome is how an attempt ended, for learning.
type Outcome uint8

// The outcomes.
const (
	// Answered by the endpoint, whatever the status.
	Answered Outcome = iota
	// Failed: refused, broken off, silent or an error of the endpoint's own.
	Failed
	// Unreachable: no connection could be made.
	Unreachable
	// Abandoned: the caller left; says nothing about the endpoint.
	Abandoned
)

// unansweredAttempt is an attempt whose answer has not begun.
type unansweredAttempt struct {
	sentAt time.Duration
	// prefillMS is what reading its prompt takes, in milliseconds.
	prefillMS float64
	// missingTokens are the tokens to read; learns is false if some are fetched.
	missingTokens float64
	updatesSpeed  bool
}

// Assignment is one placed attempt.
type Assignment struct {
	Endpoint discovery.Endpoint
	// Cost, Missing and InFlight are what decided: the endpoint's cost in
	// milliseconds, the prompt tokens that it lacked, and the own requests
	// there, this one not included.
	Cost          float64
	MissingTokens float64
	InFlight      int
	// FetchFrom is the address of an endpoint that has shared parts of the prompt;
	// "" for none.
	FetchFrom string
	// PartsToAnnounce are shared parts of the prompt that the other instances are to know of.
	PartsToAnnounce []string
	// PrefillTime is how long the endpoint is expected to read the prompt.
	PrefillTime   time.Duration
	id            uint64
	endpointState *endpointState
	table         *Table
}

// OnAnswerStart tells that an answer has begun; read says that the endpoint has read the
// prompt for it, as a refusal has not.
func (a *Assignment) OnAnswerStart(now time.Duration, prefilled bool) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	if p, waiting := a.endpointState.unanswered[a.id]; waiting && prefilled && p.updatesSpeed {
		a.endpointState.speed.observe(p.missingTokens, now-p.sentAt)
	}
	delete(a.endpointState.unanswered, a.id)
	a.endpointState.unreachable, a.endpointState.lastAnswerAt = false, now
}

// Done ends the attempt.
func (a *Assignment) Done(outcome Outcome, now time.Duration) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	e := a.endpointState
	e.inFlight--
	delete(e.unanswered, a.id)
	switch outcome {
	case Answered:
		e.consecutiveFailures, e.backoff = 0, 0
	case Failed:
		e.consecutiveFailures++
		if e.consecutiveFailures >= failuresBeforeBackoff {
			e.startBackoff(now)
		}
	case Unreachable:
		// An endpoint that takes no connection is down or cut off.
		e.unreachable = true
	}
}
