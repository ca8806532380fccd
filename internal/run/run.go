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

// Accounts is what a run needs of package ledger.
type Accounts interface {
	Reserve(ctx context.Context, key record.RequestKey, run record.RunID, budget record.BudgetID, tokens int64) (ledger.Reservation, error)
	Settle(ctx context.Context, budget record.BudgetID, r ledger.Reservation, used int64) error
}

// Placer is what a run needs of package dispatch.
type Placer interface {
	Now() decide.Time
	Submit(ctx context.Context, r decide.Request) (*dispatch.Placement, error)
}

// Endpoints finds an endpoint's base URL by its name.
type Endpoints interface {
	URL(name string) (string, bool)
}

// Finder finds the engine that has a run, by the run alone.
type Finder interface {
	Find(ctx context.Context, run record.RunID) (endpoint string, ok bool)
}

// RepeatRules says which calls of a plain service may be repeated.
type RepeatRules interface {
	Repeatable(service, method, path string) bool
}

// Runner is safe for concurrent use.
type Runner struct {
	Claims    claim.Claims
	Accounts  Accounts
	Placer    Placer
	Endpoints Endpoints
	Engines   endpoint.Engines
	Services  endpoint.Services
	// Finder finds runs whose claim is lost; nil where none can be found.
	Finder Finder
	// Repeats is nil where no call may be repeated.
	Repeats RepeatRules
	// Limits bound the runs.
	Limits Limits
	// Leaving takes an endpoint's own word that it is leaving.
	Leaving func(endpoint string)
	// OnError takes errors that no caller waits for.
	OnError func(error)

	background sync.WaitGroup
}

// Limits bound what one run may take.
type Limits struct {
	// Endpoints bounds at how many endpoints one run is tried.
	Endpoints int
	// Resumes bounds the new connections to one endpoint, one after the other,
	// that bring no token.
	Resumes int
	// Progress is how long a begun answer may go without a token, heartbeats or
	// not, before its endpoint is given up.
	Progress time.Duration
	// Linger is how long the run of a caller who gave an Idempotency-Key goes
	// on after the caller's connection is lost. It must be longer than the
	// longest answer takes, since a retry may be reading that answer.
	Linger time.Duration
	// Control bounds the work that is done for a run after its end.
	Control time.Duration
}

// Close waits for the work that is done after the runs' end.
func (r *Runner) Close() { r.background.Wait() }

// Request is what chat requests and service calls have in common.
type Request struct {
	Key record.RequestKey
	// Keyed says that the caller gave the key, so that a retry can name it.
	Keyed    bool
	Digest   uint64
	Team     config.Team
	Session  session.Identity
	First    bool
	Priority decide.Priority
	// Wait is how long the caller waits for the first token or the answer.
	Wait time.Duration
}

func (q Request) claim(repeatable bool) claim.Request {
	return claim.Request{Key: q.Key, Digest: q.Digest, Home: q.Session.Home, Repeatable: repeatable, First: q.First, Minted: !q.Keyed}
}

// Position is where in a run's answer a caller is. It must come from the entry's
// own signed word, since it gives access to the run.
type Position struct {
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
	// Have is what the caller says it has already.
	Have Position
}

func (c Chat) order(run record.RunID) endpoint.RunRequest {
	return endpoint.RunRequest{
		Run: run, Priority: int(c.Priority), Model: c.Model, Messages: c.Messages, ExtraFields: c.Params, MaxTokens: c.MaxTokens,
	}
}

// Sink takes the tokens of a run, in order, each once.
type Sink func(record.RunID, endpoint.Token) error

// ChatResult is a whole answer's closing.
type ChatResult struct {
	Run    record.RunID
	Usage  endpoint.Usage
	Finish string
}
