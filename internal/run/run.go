// Package run executes requests: it claims a request, reserves tokens from the
// budget for a chat, has the request placed at an endpoint, sends it there, passes
// the answer to the caller and settles the reservation. It retries at other
// endpoints. A run is the execution of one request, shared by all attempts of the
// caller: a later attempt joins the run of an earlier one, or takes it over if its
// instance failed. The package is independent of the protocol by which the caller
// is connected.
package run

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/claim"
	"guavapier/internal/config"
	"guavapier/internal/decide"
	"guavapier/internal/dispatch"
	"guavapier/internal/endpoint"
	"guavapier/internal/ledger"
	"guavapier/internal/record"
	"guavapier/internal/session"
)

// Budgets reserves and settles the tokens of runs; see ledger.Ledger.
type Budgets interface {
	Reserve(ctx context.Context, key record.RequestKey, run record.RunID, budget record.BudgetID, tokens int64) (ledger.Reservation, error)
	Settle(ctx context.Context, budget record.BudgetID, r ledger.Reservation, used int64) error
}

// Placer chooses the endpoints of runs; see dispatch.Dispatcher.
type Placer interface {
	Now() decide.Time
	Submit(ctx context.Context, r decide.Request) (*dispatch.Placement, error)
}

// EndpointDirectory returns the base URL of an endpoint, and false for an unknown
// name.
type EndpointDirectory interface {
	URL(name string) (string, bool)
}

// Finder searches the engines for a run by its ID. Find returns the name of the
// endpoint that has it.
type Finder interface {
	Find(ctx context.Context, run record.RunID) (endpoint string, ok bool)
}

// RepeatRules reports which calls of a plain service, that is one without a model,
// may run more than once.
type RepeatRules interface {
	Repeatable(service, method, path string) bool
}

// Runner executes chats and service calls. Its fields must be set before the first
// one and not be changed later. It is safe for concurrent use.
type Runner struct {
	Claims    claim.Claims
	Budgets   Budgets
	Placer    Placer
	Endpoints EndpointDirectory
	Engines   endpoint.Engines
	Services  endpoint.Services
	// RunFinder finds runs whose claim or endpoint is lost. If it is nil, such runs
	// are not found.
	RunFinder Finder
	// RepeatRules may be nil; then no call may be repeated.
	RepeatRules RepeatRules
	Limits      Limits
	// OnEndpointLeaving is called with the name of an endpoint that refused a
	// request because it is shutting down.
	OnEndpointLeaving func(endpoint string)
	// OnError is called with errors of background work, which no caller waits for.
	OnError func(error)
	// Log gets a line for each request whose outcome is unknown.
	Log zerolog.Logger

	background sync.WaitGroup // Settlements and cancellations after the runs' ends.
}

// Limits bounds the resources and time that one run may use.
type Limits struct {
	// MaxEndpoints bounds how many endpoints are tried for one run, one after the
	// other. For a chat, each token starts the count anew.
	MaxEndpoints int
	// MaxResumes bounds the new connections to one endpoint after a failed one, as
	// long as none of them brings a token.
	MaxResumes int
	// ProgressTimeout is how long an answer that has tokens may go without a further
	// one before its endpoint is given up. Heartbeats do not extend it.
	ProgressTimeout time.Duration
	// LingerTimeout is how long the run of a request with an Idempotency-Key goes on
	// after the caller's connection is lost. It must be longer than the longest
	// answer takes, since a retry may be reading that answer.
	LingerTimeout time.Duration
	// ControlTimeout bounds the calls to endpoints that cancel a run or query its
	// usage after its end.
	ControlTimeout time.Duration
}

// Close waits for the settlements and cancellations of runs that have ended.
func (r *Runner) Close() { r.background.Wait() }

// Request holds what chats and service calls have in common.
type Request struct {
	// Key identifies the request in all its attempts.
	Key record.RequestKey
	// HasCallerKey says that the key is the caller's Idempotency-Key, so that a
	// retry can send it again. Otherwise the key was generated for this attempt.
	HasCallerKey bool
	// Digest is a hash of the request's method, path, query and body, to detect a
	// key that is used with another request.
	Digest  uint64
	Team    config.Team
	Session session.Identity
	// FirstAttempt says that no attempt under this key was made before, by the
	// caller's declaration or because the key was generated.
	FirstAttempt bool
	Priority     decide.Priority
	// MaxWait bounds the caller's wait for the first token of a chat, or for the
	// whole answer of a call. For a chat that has tokens it also bounds the wait
	// for the next endpoint.
	MaxWait time.Duration
}

// claimRequest returns the request to the claim's holder. repeatable says that the
// run may be executed more than once.
func (q Request) claimRequest(repeatable bool) claim.Request {
	return claim.Request{Key: q.Key, Digest: q.Digest, Home: q.Session.Home, Repeatable: repeatable, First: q.FirstAttempt, Minted: !q.HasCallerKey}
}

// ResumePosition is the position in a run's answer up to which a caller has its
// tokens. It gives access to the run, so it must come from an event ID whose
// signature has been verified.
type ResumePosition struct {
	Run    record.RunID // Empty for a caller that has no part of an answer.
	Tokens int          // Number of tokens of the answer that the caller has.
}

// Chat is a request for one chat completion.
type Chat struct {
	Request
	Model    string
	Messages json.RawMessage
	// Params holds the further fields of the caller's request body, which are passed
	// to the engine unchanged.
	Params       map[string]json.RawMessage
	PromptTokens int // Upper bound of the prompt's tokens.
	MaxTokens    int // Upper bound of the answer's tokens.
	// ResumeFrom is the position after which the caller continues an answer.
	ResumeFrom ResumePosition
}

// newRunRequest returns the request that starts the run at an engine, from the
// first token of the answer.
func (c Chat) newRunRequest(run record.RunID) endpoint.RunRequest {
	return endpoint.RunRequest{
		Run: run, Priority: int(c.Priority), Model: c.Model, Messages: c.Messages, ExtraFields: c.Params, MaxTokens: c.MaxTokens,
	}
}

// TokenSink receives the tokens of a run in order, each once. An error means that
// the caller's connection failed; it gets no further tokens.
type TokenSink func(record.RunID, endpoint.Token) error

// ChatResult is the summary of a completed answer.
type ChatResult struct {
	Run          record.RunID
	Usage        endpoint.Usage
	FinishReason string
}
