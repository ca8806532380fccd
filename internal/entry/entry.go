// Package entry is the callers' HTTP interface: chat completions in the usual
// shape, plain services and sessions. Every refusal is JSON with the outcome,
// a code, a sentence and, where it helps, when to come back.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"guavapier/internal/config"
	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/run"
	"guavapier/internal/session"
)

// The headers of the callers' interface.
const (
	HeaderSession = "X-Session"
	HeaderKey     = "Idempotency-Key"
	// HeaderFirst is the caller's promise that this is its first attempt.
	HeaderFirst    = "X-First-Attempt"
	HeaderPriority = "X-Priority"
	// HeaderLast names the last event that the caller has; see eventID.
	HeaderLast = "Last-Event-ID"
)

// Limits bound what callers may send and how long they wait.
type Limits struct {
	BodyBytes int64
	// AnswerBytes bounds an answer that is buffered whole.
	AnswerBytes int
	MaxTokens   int
	// BytesPerToken is the least number of prompt bytes that one token stands
	// for. The prompt's worst case is reserved by it; see promptBound.
	BytesPerToken int
	FirstToken    time.Duration
	ServiceAnswer time.Duration
	// Read bounds the arrival of a body, Write each write to a caller: one that
	// takes nothing for so long counts as gone.
	Read, Write time.Duration
	// Heartbeat is the time between two comments on a stream without tokens.
	Heartbeat time.Duration
}

// Appender appends records to the log; see platform.Publisher.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// Callers serves the callers' interface.
type Callers struct {
	Zone     record.Zone
	Config   *replica.Replica[*fold.Config]
	Sessions session.Keyring
	Ends     session.Registry
	Runner   *run.Runner
	Limits   Limits
	// Ready says whether the instance takes new requests.
	Ready func() bool
}

const (
	headWithin     = 10 * time.Second
	idleWithin     = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// NewServer returns a server for callers. It has no time limit on whole
// requests, since a stream may last; the handlers bound each read and write.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headWithin, IdleTimeout: idleWithin, MaxHeaderBytes: maxHeaderBytes,
	}
}

// Handler returns the callers' routes.
func (c *Callers) Handler() http.Handler {
	r := chi.NewRouter()
	r.NotFound(handleNotFound)
	r.MethodNotAllowed(handleMethodNotAllowed)
	r.Get("/readyz", c.handleReady)
	r.Group(func(r chi.Router) {
		r.Use(c.authenticate)
		r.Post("/v1/chat/completions", c.handleChat)
		r.Post("/v1/sessions", c.handleOpenSession)
		r.Get("/v1/sessions", c.handleSessions)
		r.Get("/v1/sessions/{id}", c.handleSession)
		r.Delete("/v1/sessions/{id}", c.handleEndSession)
		r.HandleFunc("/v1/services/{service}/*", c.handleService)
	})
	return r
}

func handleNotFound(w http.ResponseWriter, _ *http.Request) {
	writeProblem(w, http.StatusNotFound, invalid("no_such_path", "There is nothing at this path."))
}

func handleMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	allowed := http.MethodPost
	if r.URL.Path == "/readyz" {
		allowed = http.MethodGet
	}
	w.Header().Set("Allow", allowed)
	writeProblem(w, http.StatusMethodNotAllowed, invalid("method_not_allowed", "This path takes "+allowed+" only."))
}

func (c *Callers) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !c.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

type teamKey struct{}

// authenticate finds the team of the request's bearer key.
func (c *Callers) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var team config.Team
		ok := false
		c.Config.View(func(f *fold.Config) { team, ok = config.Authenticate(f, bearer(r)) })
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, http.StatusUnauthorized, problem{
				Type: typeAuthentication, Code: "invalid_api_key", Message: "The API key is missing or not valid.", Outcome: record.OutcomeNotRun,
			})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), teamKey{}, team)))
	})
}

func teamOf(r *http.Request) config.Team {
	team, _ := r.Context().Value(teamKey{}).(config.Team)
	return team
}
