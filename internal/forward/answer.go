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
	ReasonNoState      Reason = "no desired state yet"
	ReasonOutdated     Reason = "instance behind the store"
	ReasonEnding       Reason = "instance ends"
	ReasonBadRequest   Reason = "malformed request"
	ReasonNoRoute      Reason = "no route"
	ReasonUnknownKey   Reason = "unknown key"
	ReasonHeadTooLarge Reason = "head too large"
	ReasonBodyTooLarge Reason = "body too large"
	ReasonBodyBroken   Reason = "body not received"
	ReasonExhausted    Reason = "budget exhausted"
	ReasonShort        Reason = "budget not at hand"
	ReasonNoEndpoint   Reason = "no endpoint"
	ReasonRefused      Reason = "endpoints refused"
	ReasonHeld         Reason = "endpoints ended under this request"
	ReasonUnreachable  Reason = "endpoint unreachable"
	ReasonTimeout      Reason = "timeout"
	ReasonBroken       Reason = "answer broken off"
	ReasonCallerLeft   Reason = "caller left"
	ReasonCut          Reason = "cut at the end of the drain"
)

// refusal is a final answer of the instance's own.
type refusal struct {
	status int
	reason Reason
	// after is when coming back helps; set where nothing has run.
	after time.Duration
}

const (
	// againSoon suits what other instances or the next moment may serve.
	againSoon = 250 * time.Millisecond
	// againShort suits a budget whose tokens are held elsewhere: a claim takes
	// a round trip, a give-back by another instance up to a second.
	againShort = time.Second
	// spreadShort spreads callers that all wait for the same moment.
	spreadShort = 200 * time.Millisecond
	// againStart suits an instance that has no desired state yet; another one
	// has.
	againStart = 500 * time.Millisecond
)

func notRun(reason Reason, after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, after: after}
}

// write sends the refusal.
func (f *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if f.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.after.Seconds(), 'f', 2, 64))
	}
	body := fmt.Sprintf("%s\n", f.reason)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(body))
}
