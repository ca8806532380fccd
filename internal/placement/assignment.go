package placement

import (
	"slices"
	"time"

	"guavapier/internal/discovery"
	"guavapier/internal/endpointload"
	"guavapier/internal/quota"
)

// Outcome is how an attempt ended, as far as it concerns the choice of endpoints.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the endpoint answered, with any status.
	Answered Outcome = iota
	// Failed means that the endpoint refused the request or reported an error of its own.
	Failed
	// Broken means that the connection broke, or that the endpoint did not answer.
	Broken
	// Unreachable means that no connection could be made.
	Unreachable
	// Replaced means that another endpoint has answered at the address.
	Replaced
	// Abandoned means that the caller left, which says nothing about the endpoint.
	Abandoned
)

// unansweredAttempt is an attempt whose answer has not started.
type unansweredAttempt struct {
	id     uint64 // Of the assignment.
	sentAt time.Duration
	// prefillMS is the expected prefill time in milliseconds.
	prefillMS float64
	// missingTokens is the expected number of tokens to compute. updatesSpeed is false
	// if tokens are fetched or the prompt's parts are unknown, because the TTFT then
	// says nothing about the prefill speed.
	missingTokens float64
	updatesSpeed  bool
}

// takeUnanswered removes the attempt of this assignment from those whose answer has not started;
// false if it is not among them.
func (e *endpointState) takeUnanswered(id uint64) (unansweredAttempt, bool) {
	i := slices.IndexFunc(e.unanswered, func(p unansweredAttempt) bool { return p.id == id })
	if i < 0 {
		return unansweredAttempt{}, false
	}
	taken := e.unanswered[i]
	e.unanswered = slices.Delete(e.unanswered, i, i+1)
	return taken, true
}

// Assignment is an attempt at a request that has been placed on an endpoint.
type Assignment struct {
	Endpoint discovery.Endpoint
	// Cost, MissingTokens and InFlight explain the choice in logs: the endpoint's
	// cost in milliseconds, the expected number of prompt tokens that it has to
	// compute, and this instance's requests there without this one.
	Cost          float64
	MissingTokens float64
	InFlight      int
	// FetchFrom is the address (IP:port) of an endpoint from which shared parts of the
	// prompt can be fetched; "" for none.
	FetchFrom string
	// PartsToAnnounce are the IDs of the shared parts that the other instances should
	// know the endpoint to have cached; nil if they have been announced.
	PartsToAnnounce []string
	// Held explains what the endpoint is believed to hold of the prompt.
	Held Held
	// PrefillTime is the expected duration of the prefill, including a fetch.
	PrefillTime time.Duration
	// UsualPrefill is PrefillTime at an endpoint of usual speed, which tells prompts by their size.
	UsualPrefill  time.Duration
	id            uint64
	placedAt      time.Duration
	answeredAt    time.Duration // When the answer started; 0 before.
	tokens        int64         // Of Query.Tokens.
	usesShare     bool          // It counts against the share of a cold endpoint.
	quotaUse      quota.Use     // Of the endpoint's request limit.
	sent          bool
	endpointState *endpointState
	table         *Table
}

// OnSend records that the request is about to be written to the endpoint.
func (a *Assignment) OnSend(now time.Duration) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	if a.usesShare && !a.sent {
		a.endpointState.coldSends.pending--
		a.endpointState.coldSends.sentAt = append(a.endpointState.coldSends.sentAt, now)
	}
	a.sent = true
}

// OnAnswerStart records that an answer has started. prefilled states that the endpoint
// has processed the prompt for it, which it has not for a refusal.
func (a *Assignment) OnAnswerStart(now time.Duration, prefilled bool) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	if p, waiting := a.endpointState.takeUnanswered(a.id); waiting && prefilled && p.updatesSpeed {
		a.endpointState.observeOwnTTFT(p.missingTokens, now-p.sentAt, now)
		a.table.keepSample(endpointload.Sample{Endpoint: a.Endpoint.ID, Tokens: p.missingTokens, TTFT: now - p.sentAt})
	}
	a.endpointState.onConnected(a.table.warmUps[a.Endpoint.Service].Duration, now)
	a.endpointState.lastAnswerAt, a.answeredAt = now, now
}

// OnReply records what the endpoint's answer to the request of this ID says of the request, and what
// it states of the endpoint. It reports whether that is not what the endpoint stated before. It has
// to be called after OnAnswerStart, unless another endpoint has answered.
func (a *Assignment) OnReply(kind ReplyKind, s Statement, request string, now time.Duration) (changed bool) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.table.onRejectionLimit(a.Endpoint.Service, kind, s.RejectionLimit, a.placedAt, now)
	if kind == ReplyRejection {
		a.table.recordRejection(a.endpointState, now)
	}
	a.endpointState.onRest(s.Rest, now)
	if kind != ReplyRejection {
		a.endpointState.onTaken(a.placedAt)
	}
	changed = a.endpointState.onStatement(kind, s, request, a.placedAt, now)
	a.table.updateQuota(a.endpointState, now)
	return changed
}

// Done records the end of the attempt. It has to be called exactly once.
func (a *Assignment) Done(outcome Outcome, now time.Duration) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	e := a.endpointState
	e.inFlight--
	e.reservedTokens -= a.tokens
	if a.usesShare && !a.sent {
		e.coldSends.pending--
	}
	if !a.sent {
		e.quota.GiveBack(a.quotaUse)
	}
	if _, unanswered := e.takeUnanswered(a.id); unanswered && a.sent {
		a.table.recordRejection(e, now) // The answer that was lost may have been one.
	}
	switch outcome {
	case Answered:
		e.onAnswered()
		e.prompts.onEnd(now - a.answeredAt)
	case Failed:
		e.onFailed(now)
	case Broken:
		e.onFailed(now)
		e.doubtVersion(versionUncertain, now)
	case Replaced:
		e.onReplaced()
	case Unreachable:
		e.onUnreachable()
		e.doubtVersion(versionUnknown, now)
	}
}
