package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"

	"guavapier/internal/decide"
	"guavapier/internal/record"
	"guavapier/internal/run"
)

// Error types known to clients of the chat completions API.
const (
	typeInvalid        = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeQuota          = "insufficient_quota"
	typeServer         = "server_error"
	typeRateLimit      = "rate_limit_error"
)

// problem describes an error response. Code and Outcome tell programs why the
// request failed and whether it ran; Message is for people.
type problem struct {
	Type    string
	Code    string
	Message string
	Outcome record.Outcome
	// RetryAfter is in seconds; 0 if a retry can't be expected to succeed.
	RetryAfter int
}

// problemBody is the JSON form of a problem. It has the fields that clients of the
// chat completions API expect, with outcome and retry_after in addition.
type problemBody struct {
	Error problemError `json:"error"`
}

type problemError struct {
	Message    string  `json:"message"`
	Type       string  `json:"type"`
	Param      *string `json:"param"`
	Code       string  `json:"code"`
	Outcome    string  `json:"outcome"`
	RetryAfter int     `json:"retry_after,omitempty"`
}

// body returns the JSON form of p.
func (p problem) body() problemBody {
	return problemBody{Error: problemError{
		Message: p.Message, Type: p.Type, Code: p.Code, Outcome: p.Outcome.String(), RetryAfter: p.RetryAfter,
	}}
}

// writeProblem sends p as the response, with a Retry-After header if p has one.
func writeProblem(w http.ResponseWriter, status int, p problem) {
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	writeJSON(w, status, p.body())
}

// writeJSON sends v as the whole response. Content-Length is set, so that a caller can
// detect a truncated response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// invalidRequest returns the problem of a request that fails validation and didn't run.
func invalidRequest(code, message string) problem {
	return problem{Type: typeInvalid, Code: code, Message: message, Outcome: record.OutcomeNotRun}
}

// problemFromError returns the status and the body for an error of Runner. An error that
// is not a run.Failure is answered with 500 and the outcome unknown.
func problemFromError(err error) (int, problem) {
	var failure *run.Failure
	if !errors.As(err, &failure) {
		return http.StatusInternalServerError, problem{Type: typeServer, Code: string(run.CodeInternal), Message: err.Error(), Outcome: record.OutcomeUnknown}
	}
	p := problem{
		Type: typeServer, Code: string(failure.Code), Message: failure.Message, Outcome: failure.Outcome,
		RetryAfter: int(math.Ceil(failure.RetryAfter.Seconds())),
	}
	status := http.StatusServiceUnavailable
	switch failure.Code {
	case run.CodeBudgetExhausted, run.CodeNoBudget:
		status, p.Type = http.StatusPaymentRequired, typeQuota
	case run.Code(decide.CodeUnknownModel):
		status, p.Type = http.StatusNotFound, typeInvalid
	case run.CodeKeyReused:
		status, p.Type = http.StatusUnprocessableEntity, typeInvalid
	case run.CodeRejected:
		status, p.Type = http.StatusBadRequest, typeInvalid
	case run.CodeOutcomeUnknown, run.CodeAnswerGone, run.CodeAnswerNotKept, run.CodeRunGone:
		status = http.StatusConflict
	case run.CodeEndpointFailed:
		status = http.StatusBadGateway
	case run.CodeNoAnswerInTime:
		status = http.StatusGatewayTimeout
	case run.Code(decide.CodeOverloaded):
		status, p.Type = http.StatusTooManyRequests, typeRateLimit
	}
	return status, p
}

// bearerToken returns the token of the Authorization header, empty if there is none.
func bearerToken(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}
