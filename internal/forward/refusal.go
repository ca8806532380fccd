package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Reason states, in log lines, metrics and the body of a refusal, why a request
// or one attempt got no endpoint's answer.
type Reason string

// Values of Reason. Reports and metrics use their text.
const (
	ReasonNoDesiredState     Reason = "no desired state yet"
	ReasonOutdated           Reason = "instance behind the store"
	ReasonShuttingDown       Reason = "instance ends"
	ReasonBadRequest         Reason = "malformed request"
	ReasonNoRoute            Reason = "no route"
	ReasonUnknownKey         Reason = "unknown key"
	ReasonHeaderTooLarge     Reason = "head too large"
	ReasonBodyTooLarge       Reason = "body too large"
	ReasonBodyIncomplete     Reason = "body not received"
	ReasonBodyTimeout        Reason = "body not received in time"
	ReasonNoMemory           Reason = "no memory for the body"
	ReasonBudgetExhausted    Reason = "budget exhausted"
	ReasonInsufficientTokens Reason = "budget not at hand"
	ReasonNoEndpoint         Reason = "no endpoint"
	ReasonResting            Reason = "endpoints resting"
	ReasonRequestLimit       Reason = "request limits of the endpoints"
	ReasonEndpointsRefused   Reason = "endpoints refused"
	ReasonQuarantined        Reason = "endpoints ended under this request"
	ReasonSuspected          Reason = "part of the prompt under test"
	ReasonOriginUnknown      Reason = "origin unknown"
	ReasonVersionGone        Reason = "version not served"
	ReasonUnreachable        Reason = "endpoint unreachable"
	ReasonTimeout            Reason = "timeout"
	ReasonAnswerFailed       Reason = "answer broken off"
	ReasonCallerDisconnected Reason = "caller left"
	ReasonDrainTimeout       Reason = "cut at the end of the drain"
)

// refusal is a final answer that this instance gives itself, without an endpoint.
type refusal struct {
	status int
	reason Reason
	// retryAfter is sent as the Retry-After header, in seconds. It is set only if
	// the request has not run; 0 sends no header.
	retryAfter time.Duration
}

const (
	// defaultRetryAfter applies when another instance, or this one shortly after,
	// may be able to serve the request.
	defaultRetryAfter = 250 * time.Millisecond
	// tokensRetryAfter applies when the budget's tokens are held by other
	// instances: claiming more takes a round trip, and another instance takes up
	// to a second to return tokens. It is also the minimum delay for a quarantined
	// request.
	tokensRetryAfter = time.Second
	// tokensRetryJitterDivisor is the ratio of a retry delay to the maximum random delay
	// that is added to it.
	tokensRetryJitterDivisor = 4
	// tokensRetryJitter is the least maximum of that random delay, which keeps the
	// callers of an organisation from retrying all at once.
	tokensRetryJitter = 200 * time.Millisecond
	// noStateRetryAfter applies while this instance has not loaded a desired state;
	// other instances have one.
	noStateRetryAfter = 500 * time.Millisecond
)

// notRun returns a 503 refusal, which promises that the request has not run.
func notRun(reason Reason, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// write sends the refusal with the reason as a plain-text body.
func (r *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	body := fmt.Sprintf("%s\n", r.reason)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(body))
}
