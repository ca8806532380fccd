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

// Code names the reason of a failure on the callers' interface.
type Code string

// The failure codes, besides those of package decide.
const (
	CodeBudgetExhausted Code = "budget_exhausted"
	CodeBudgetStranded  Code = "budget_out_of_reach"
	CodeNoBudget        Code = "no_budget"
	CodeKeyReused       Code = "idempotency_key_reused"
	CodeClaimNotCounted Code = "claim_not_counted"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	CodeEndpointFailed  Code = "endpoint_failed"
	CodeEndpointRefused Code = "endpoint_refused"
	CodeRejected        Code = "rejected_by_endpoint"
	CodeNoAnswerInTime  Code = "no_answer_in_time"
	CodeRunGone         Code = "run_gone"
	CodeAnswerGone      Code = "answer_gone"
	// CodeAnswerNotKept goes with the outcome answered.
	CodeAnswerNotKept Code = "answer_not_kept"
	CodeAbandoned     Code = "abandoned"
	CodeInternal      Code = "internal"
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

// unclaimed returns the failure for a request that got no claim. An earlier
// attempt under its key may have run, so "not run" takes the word of the
// claim's holder; every other error leaves it open.
func unclaimed(err error) *Failure {
	known := errors.Is(err, claim.ErrNotCounted) || errors.Is(err, claim.ErrKeyReused)
	return failure(err, !known)
}

// doubted takes back a "not run" that this instance cannot know: the claim's
// holder was out of reach, so an earlier attempt may have run elsewhere. The
// caller's promise of a first attempt makes it true.
func (q Request) doubted(ticket claim.Ticket, err error) error {
	var f *Failure
	if ticket.Uncounted && !q.First && errors.As(err, &f) && f.Outcome == record.OutcomeNotRun {
		f.Outcome = record.OutcomeUnknown
	}
	return err
}

// failure returns the final outcome for an error; started says whether
// anything may have run.
func failure(err error, started bool) *Failure {
	f := describe(err)
	f.Outcome = record.OutcomeNotRun
	if started || errors.Is(err, claim.ErrUnknown) || errors.Is(err, errRunGone) {
		f.Outcome = record.OutcomeUnknown
	}
	if started && f.Code == CodeEndpointRefused {
		f.Code, f.Message = CodeEndpointFailed, "The endpoint failed; the request may have run."
	}
	return f
}

// describe finds an error's code, message and when to come back. The first
// match is the reason that ended the request.
func describe(err error) *Failure {
	var refusal *dispatch.Refusal
	var stranded *ledger.Stranded
	switch {
	case errors.Is(err, errLate):
		return &Failure{Code: CodeNoAnswerInTime, Message: "No answer came in time.", RetryAfter: comeBack}
	case errors.Is(err, errLeft), errors.Is(err, context.Canceled):
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
		return &Failure{Code: CodeBudgetStranded, Message: "The budget cannot be reached from here now: " + stranded.Reason + ".", RetryAfter: stranded.RetryAfter}
	case errors.Is(err, ledger.ErrNoBudget):
		return &Failure{Code: CodeNoBudget, Message: "The team has no such budget."}
	case errors.Is(err, claim.ErrKeyReused):
		return &Failure{Code: CodeKeyReused, Message: "The Idempotency-Key was used with another body."}
	case errors.Is(err, claim.ErrNotCounted):
		return &Failure{Code: CodeClaimNotCounted, Message: "The request could not be claimed.", RetryAfter: comeBack}
	case errors.Is(err, claim.ErrUnknown):
		return &Failure{Code: CodeOutcomeUnknown, Message: "An earlier attempt may have run."}
	case errors.Is(err, endpoint.ErrRejected):
		return &Failure{Code: CodeRejected, Message: "The endpoint does not accept the request as it stands."}
	case errors.Is(err, endpoint.ErrRefused):
		return &Failure{Code: CodeEndpointRefused, Message: "The endpoints refused the request.", RetryAfter: comeBack}
	case errors.Is(err, endpoint.ErrLost), errors.Is(err, endpoint.ErrNoProgress), errors.Is(err, endpoint.ErrMismatch), errors.Is(err, errStalled):
		return &Failure{Code: CodeEndpointFailed, Message: "The endpoint failed; the request may have run."}
	}
	return &Failure{Code: CodeInternal, Message: err.Error()}
}
