// Package run carries one request from its claim to its settlement: claim,
// reserve, place, order at the endpoint, answer, bill. It knows nothing of how
// the caller is connected.
package run

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/config"
	"guavapier/internal/decide"
	"guavapier/internal/dispatch"
	"guavapier/internal/endpoint"
	"guavapier/internal/ledger"
	"guavapier/internal/record"
	"guavapier/internal/session"
)

// Budgets is what a run needs of package ledger.
type Budgets interface {
	Reserve(ctx context.Context, key record.RequestKey, run record.RunID, budget record.BudgetID, tokens int64) (ledger.Reservation, error)
	Settle(ctx context.Context, budget record.BudgetID, r ledger.Reservation, used int64) error
}

// Placer is what a run needs of package dispatch.
type Placer interface {
	Now() decide.Time
	Submit(ctx context.Context, r decide.Request) (*dispatch.Placement, error)
}

// EndpointDirectory finds an endpoint's base URL by its name.
type EndpointDirectory interface {
	URL(name string) (string, bool)
}

// RunFinder finds the engine that has a run, by the run alone.
type RunFinder interface {
	Find(ctx context.Context, run record.RunID) (endpoint string, ok bool)
}

// RepeatRules says which calls of a plain service may be repeated.
type RepeatRules interface {
	Repeatable(service, method, path string) bool
}

// Runner is safe for concurrent use.
type Runner struct {
	Claims    claim.Claims
	Budgets   Budgets
	Placer    Placer
	Endpoints EndpointDirectory
	Engines   endpoint.Engines
	Services  endpoint.Services
	// RunFinder finds runs whose claim is lost; nil where none can be found.
	RunFinder RunFinder
	// RepeatRules is nil where no call may be repeated.
	RepeatRules RepeatRules
	// Limits bound the runs.
	Limits Limits
	// OnEndpointLeaving takes an endpoint's own word that it is leaving.
	OnEndpointLeaving func(endpoint string)
	// OnError takes errors that no caller waits for.
	OnError func(error)

	background sync.WaitGroup
}

// Limits bound what one run may take.
type Limits struct {
	// MaxEndpoints bounds at how many endpoints one run is tried.
	MaxEndpoints int
	// MaxResumes bounds the new connections to one endpoint, one after the other,
	// that bring no token.
	MaxResumes int
	// ProgressTimeout is how long a begun answer may go without a token, heartbeats or
	// not, before its endpoint is given up.
	ProgressTimeout time.Duration
	// LingerTimeout is how long the run of a caller who gave an Idempotency-Key goes
	// on after the caller's connection is lost. It must be longer than the
	// longest answer takes, since a retry may be reading that answer.
	LingerTimeout time.Duration
	// ControlTimeout bounds the work that is done for a run after its end.
	ControlTimeout time.Duration
}

// Close waits for the work that is done after the runs' end.
func (r *Runner) Close() { r.background.Wait() }

// Request is what chat requests and service calls have in common.
type Request struct {
	Key record.RequestKey
	// HasCallerKey says that the caller gave the key, so that a retry can name it.
	HasCallerKey bool
	Digest       uint64
	Team         config.Team
	Session      session.Identity
	FirstAttempt bool
	Priority     decide.Priority
	// MaxWait is how long the caller waits for the first token or the answer.
	MaxWait time.Duration
}

func (q Request) claimRequest(repeatable bool) claim.Request {
	return claim.Request{Key: q.Key, Digest: q.Digest, Home: q.Session.Home, Repeatable: repeatable, First: q.FirstAttempt, Minted: !q.HasCallerKey}
}

// ResumePosition is where in a run's answer a caller is. It must come from the entry's
// own signed word, since it gives access to the run.
type ResumePosition struct {
	Run record.RunID // Empty for a caller who has nothing yet.
	// Tokens is how many tokens of the answer the caller has.
	Tokens int
}

// Chat is one chat completion.
type Chat struct {
	Request
	Model    string
	Messages json.RawMessage
	// Params are the caller's further fields, for the engine as they are.
	Params map[string]json.RawMessage
	// PromptTokens is the worst case of the prompt, MaxTokens of the answer.
	PromptTokens int
	MaxTokens    int
	// ResumeFrom is what the caller says it has already.
	ResumeFrom ResumePosition
}

func (c Chat) newOrder(run record.RunID) endpoint.Order {
	return endpoint.Order{
		Run: run, Priority: int(c.Priority), Model: c.Model, Messages: c.Messages, Params: c.Params, MaxTokens: c.MaxTokens,
	}
}

// TokenSink takes the tokens of a run, in order, each once.
type TokenSink func(record.RunID, endpoint.Token) error

// ChatResult is a whole answer's closing.
type ChatResult struct {
	Run          record.RunID
	Usage        endpoint.Usage
	FinishReason string
}
