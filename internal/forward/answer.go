package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Reason says in a log line and a refusal's body why a request was not
// answered by an endpoint.
type Reason string

// The reasons.
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
	ReasonBudgetExhausted    Reason = "budget exhausted"
	ReasonInsufficientTokens Reason = "budget not at hand"
	ReasonNoEndpoint         Reason = "no endpoint"
	ReasonEndpointsRefused   Reason = "endpoints refused"
	ReasonQuarantined        Reason = "endpoints ended under this request"
	ReasonUnreachable        Reason = "endpoint unreachable"
	ReasonTimeout            Reason = "timeout"
	ReasonAnswerFailed       Reason = "answer broken off"
	ReasonCallerDisconnected Reason = "caller left"
	ReasonDrainTimeout       Reason = "cut at the end of the drain"
)

// refusal is a final answer of the instance's own.
type refusal struct {
	status int
	reason Reason
	// retryAfter is when coming back helps; set where nothing has run.
	retryAfter time.Duration
}

const (
	// defaultRetryAfter suits what other instances or the next moment may serve.
	defaultRetryAfter = 250 * time.Millisecond
	// tokensRetryAfter suits a budget whose tokens are held elsewhere: a claim takes
	// a round trip, a give-back by another instance up to a second.
	tokensRetryAfter = time.Second
	// tokensRetryJitter spreads callers that all wait for the same moment.
	tokensRetryJitter = 200 * time.Millisecond
	// noStateRetryAfter suits an instance that has no desired state yet; another one
	// has.
	noStateRetryAfter = 500 * time.Millisecond
)

func notRun(reason Reason, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// write sends the refusal.
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
