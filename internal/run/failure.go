package run

import (
	"context"
	"errors"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/decide"
	"guavapier/internal/dispatch"
	"guavapier/internal/endpoint"
	"guavapier/internal/ledger"
	"guavapier/internal/record"
)

// Code identifies the reason of a failure in the callers' API.
type Code string

// The failure codes. A refused placement has a decide.Code instead, as text.
const (
	CodeBudgetExhausted   Code = "budget_exhausted"
	CodeBudgetUnreachable Code = "budget_out_of_reach"
	CodeNoBudget          Code = "no_budget"
	CodeKeyReused         Code = "idempotency_key_reused"
	CodeClaimNotCounted   Code = "claim_not_counted"
	CodeOutcomeUnknown    Code = "outcome_unknown"
	CodeEndpointFailed    Code = "endpoint_failed"
	CodeEndpointRefused   Code = "endpoint_refused"
	CodeRejected          Code = "rejected_by_endpoint"
	CodeNoAnswerInTime    Code = "no_answer_in_time"
	CodeRunGone           Code = "run_gone"
	CodeAnswerGone        Code = "answer_gone"
	// CodeAnswerNotKept is for a retry of a call that was answered. Its outcome is
	// record.OutcomeAnswered.
	CodeAnswerNotKept Code = "answer_not_kept"
	CodeAbandoned     Code = "abandoned"
	CodeInternal      Code = "internal"
)

// Failure is the final outcome of a request that gets no answer. Code and Message
// are returned to the caller.
type Failure struct {
	Outcome    record.Outcome
	Code       Code
	Message    string
	RetryAfter time.Duration // 0 if a retry does not help.
	cause      error         // For the log; nil for a joined run that ended like this.
}

// Error implements error.
func (f *Failure) Error() string { return "run: " + string(f.Code) + ": " + f.Message }

// logUnknown logs why a request ended with an unknown outcome. It ignores other
// errors.
func (r *Runner) logUnknown(q Request, began time.Time, err error) {
	var f *Failure
	if !errors.As(err, &f) || f.Outcome != record.OutcomeUnknown {
		return
	}
	r.Log.Info().AnErr("cause", f.cause).Str("key", q.Key.String()).Str("code", string(f.Code)).
		Dur("took_ms", time.Since(began)).Msg("run: outcome unknown")
}

// defaultRetryAfter is returned where nothing better is known about when a retry
// can succeed.
const defaultRetryAfter = 2 * time.Second

// claimFailure returns the failure of a request that could not be claimed. An
// earlier attempt under its key may have run, so the outcome is "not run" only
// for errors with which the claim's holder rules that out, and unknown otherwise.
func claimFailure(err error) *Failure {
	notRun := errors.Is(err, claim.ErrNotCounted) || errors.Is(err, claim.ErrKeyReused)
	return newFailure(err, !notRun)
}

// retractNotRun changes the outcome "not run" of a *Failure to unknown if this
// instance cannot know it: the claim's holder was unreachable, so an earlier
// attempt may have run elsewhere. If the caller declared this to be its first
// attempt, "not run" is certain and stays.
func (q Request) retractNotRun(ticket claim.Ticket, err error) error {
	var f *Failure
	if ticket.Uncounted && !q.FirstAttempt && errors.As(err, &f) && f.Outcome == record.OutcomeNotRun {
		f.Outcome = record.OutcomeUnknown
	}
	return err
}

// newFailure returns the failure for an error. mayHaveRun says that an endpoint
// may have executed the request; the outcome is then unknown.
func newFailure(err error, mayHaveRun bool) *Failure {
	f := classify(err)
	f.cause = err
	f.Outcome = record.OutcomeNotRun
	if mayHaveRun || errors.Is(err, claim.ErrUnknown) || errors.Is(err, errRunGone) {
		f.Outcome = record.OutcomeUnknown
	}
	if mayHaveRun && f.Code == CodeEndpointRefused {
		f.Code, f.Message = CodeEndpointFailed, "The endpoint failed; the request may have run."
	}
	return f
}

// classify returns the code, message and retry delay for an error. Joined errors
// match several cases; the cases are ordered so that the first match is the
// reason that ended the request.
func classify(err error) *Failure {
	var refusal *dispatch.Refusal
	var stranded *ledger.Stranded
	switch {
	case errors.Is(err, errNoAnswerInTime):
		return &Failure{Code: CodeNoAnswerInTime, Message: "No answer came in time.", RetryAfter: defaultRetryAfter}
	case errors.Is(err, errCallerLeft), errors.Is(err, context.Canceled):
		return &Failure{Code: CodeAbandoned, Message: "The caller left."}
	case errors.Is(err, errRunGone):
		return &Failure{Code: CodeRunGone, Message: "The run that the Last-Event-ID names cannot be continued."}
	case errors.Is(err, errAnswerGone):
		return &Failure{Code: CodeAnswerGone, Message: "The request was answered; its answer is kept no longer."}
	case errors.As(err, &refusal) && refusal.Code == decide.CodeUnknownModel:
		return &Failure{Code: Code(refusal.Code), Message: "No endpoint serves this model."}
	case errors.As(err, &refusal):
		return &Failure{Code: Code(refusal.Code), Message: "No endpoint can answer in time.", RetryAfter: refusal.RetryAfter}
	case errors.Is(err, ledger.ErrExhausted):
		return &Failure{Code: CodeBudgetExhausted, Message: "The prepaid budget has no tokens left for this request."}
	case errors.As(err, &stranded):
		return &Failure{Code: CodeBudgetUnreachable, Message: "The budget cannot be reached from here now: " + stranded.Reason + ".", RetryAfter: stranded.RetryAfter}
	case errors.Is(err, ledger.ErrNoBudget):
		return &Failure{Code: CodeNoBudget, Message: "The team has no such budget."}
	case errors.Is(err, claim.ErrKeyReused):
		return &Failure{Code: CodeKeyReused, Message: "The Idempotency-Key was used with another body."}
	case errors.Is(err, claim.ErrNotCounted):
		return &Failure{Code: CodeClaimNotCounted, Message: "The request could not be claimed.", RetryAfter: defaultRetryAfter}
	case errors.Is(err, claim.ErrUndecided):
		return &Failure{Code: CodeOutcomeUnknown, Message: "An earlier attempt may have run; a retry can learn its outcome.", RetryAfter: defaultRetryAfter}
	case errors.Is(err, claim.ErrUnknown):
		return &Failure{Code: CodeOutcomeUnknown, Message: "An earlier attempt may have run."}
	case errors.Is(err, endpoint.ErrRejected):
		return &Failure{Code: CodeRejected, Message: "The endpoint does not accept the request as it stands."}
	case errors.Is(err, endpoint.ErrRefused):
		return &Failure{Code: CodeEndpointRefused, Message: "The endpoints refused the request.", RetryAfter: defaultRetryAfter}
	case errors.Is(err, endpoint.ErrLost), errors.Is(err, endpoint.ErrNoProgress), errors.Is(err, endpoint.ErrMismatch), errors.Is(err, errStalled):
		return &Failure{Code: CodeEndpointFailed, Message: "The endpoint failed; the request may have run."}
	}
	return &Failure{Code: CodeInternal, Message: err.Error()}
}
