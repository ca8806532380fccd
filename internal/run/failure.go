// Package run carries one request from its claim to its settlement: claim,
// reserve, place, order at the endpoint, answer, bill. It knows nothing of how
// the caller is connected.
package run

import (
	"context"
	"errors"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/dispatch"
	"guavapier/internal/endpoint"
	"guavapier/internal/ledger"
	"guavapier/internal/record"
)

// Code names the reason of a failure on the callers' interface.
type Code string

// The failure codes.
const (
	CodeBudgetExhausted Code = "budget_exhausted"
	CodeBudgetStranded  Code = "budget_out_of_reach"
	CodeNoBudget        Code = "no_budget"
	CodeKeyReused       Code = "idempotency_key_reused"
	CodeClaimNotCounted Code = "claim_not_counted"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	// CodeAnswerGone goes with the outcome answered.
	CodeAnswerGone     Code = "answer_not_kept"
	CodeEndpointFailed Code = "endpoint_failed"
	CodeAbandoned      Code = "abandoned"
	CodeInternal       Code = "internal"
)

// Failure is a request's final outcome where it has no answer.
type Failure struct {
	Outcome    record.Outcome
	Code       Code
	Message    string
	RetryAfter time.Duration // 0 where coming back does not help.
}

// Error implements error.
func (f *Failure) Error() string { return "run: " + string(f.Code) + ": " + f.Message }

const comeBack = 2 * time.Second

// notRun returns the failure for an error before anything was sent to an
// endpoint.
func notRun(err error) *Failure {
	f := &Failure{Outcome: record.OutcomeNotRun, Code: CodeInternal, Message: err.Error()}
	var refusal *dispatch.Refusal
	switch {
	case errors.As(err, &refusal):
		f.Code, f.Message, f.RetryAfter = Code(refusal.Code), "No endpoint can answer in time.", refusal.RetryAfter
	case errors.Is(err, ledger.ErrExhausted):
		f.Code, f.Message = CodeBudgetExhausted, "The prepaid budget has no tokens left for this request."
	case errors.Is(err, ledger.ErrStranded):
		f.Code, f.Message, f.RetryAfter = CodeBudgetStranded, "The budget cannot be reached from here now.", comeBack
	case errors.Is(err, ledger.ErrNoBudget):
		f.Code, f.Message = CodeNoBudget, "The team has no such budget."
	case errors.Is(err, claim.ErrKeyReused):
		f.Code, f.Message = CodeKeyReused, "The Idempotency-Key was used with another body."
	case errors.Is(err, claim.ErrNotCounted):
		f.Code, f.Message, f.RetryAfter = CodeClaimNotCounted, "The request could not be claimed.", comeBack
	case errors.Is(err, claim.ErrUnknown):
		f.Outcome, f.Code, f.Message = record.OutcomeUnknown, CodeOutcomeUnknown, "An earlier attempt may have run."
	case errors.Is(err, context.Canceled):
		f.Code, f.Message = CodeAbandoned, "The caller left."
	}
	return f
}

// unknown returns the failure for an error after something was sent.
func unknown(err error) *Failure {
	f := &Failure{Outcome: record.OutcomeUnknown, Code: CodeEndpointFailed, Message: "The endpoint failed; the request may have run."}
	if errors.Is(err, endpoint.ErrRefused) {
		f.Outcome, f.Message, f.RetryAfter = record.OutcomeNotRun, "The endpoint refused the request.", comeBack
	}
	return f
}
