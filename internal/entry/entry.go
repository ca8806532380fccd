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
	HeaderSession        = "X-Session"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFirstAttempt is the caller's promise that this is its first attempt.
	HeaderFirstAttempt = "X-First-Attempt"
	HeaderPriority     = "X-Priority"
	// HeaderLastEventID names the last event that the caller has; see eventID.
	HeaderLastEventID = "Last-Event-ID"
)

// Limits bound what callers may send and how long they wait.
type Limits struct {
	MaxBodyBytes int64
	// MaxAnswerBytes bounds an answer that is buffered whole.
	MaxAnswerBytes int
	MaxTokens      int
	// MinPromptBytesPerToken is the least number of prompt bytes that one token stands
	// for. The prompt's worst case is reserved by it; see promptBound.
	MinPromptBytesPerToken int
	FirstTokenTimeout      time.Duration
	ServiceAnswerTimeout   time.Duration
	// BodyReadTimeout bounds the arrival of a body, WriteTimeout each write to a caller: one that
	// takes nothing for so long counts as gone.
	BodyReadTimeout, WriteTimeout time.Duration
	// HeartbeatInterval is the time between two comments on a stream without tokens.
	HeartbeatInterval time.Duration
}

// Appender appends records to the log; see platform.Publisher.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// API serves the callers' interface.
type API struct {
	Zone            record.Zone
	Config          *replica.Replica[*fold.Config]
	SessionKeys     session.Keyring
	SessionRegistry session.Ends
	Runner          *run.Runner
	Limits          Limits
	// IsReady says whether the instance takes new requests.
	IsReady func() bool
}

const (
	headerReadTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// NewServer returns a server for callers. It has no time limit on whole
// requests, since a stream may last; the handlers bound each read and write.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerReadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// Handler returns the callers' routes.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.NotFound(handleNotFound)
	r.MethodNotAllowed(handleMethodNotAllowed)
	r.Get("/readyz", a.handleReady)
	r.Group(func(r chi.Router) {
		r.Use(a.authenticate)
		r.Post("/v1/chat/completions", a.handleChat)
		r.Post("/v1/sessions", a.handleOpenSession)
		r.Get("/v1/sessions", a.handleListSessions)
		r.Get("/v1/sessions/{id}", a.handleGetSession)
		r.Delete("/v1/sessions/{id}", a.handleEndSession)
		r.HandleFunc("/v1/services/{service}/*", a.handleService)
	})
	return r
}

func handleNotFound(w http.ResponseWriter, _ *http.Request) {
	writeProblem(w, http.StatusNotFound, invalidRequest("no_such_path", "There is nothing at this path."))
}

func handleMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	allowed := http.MethodPost
	if r.URL.Path == "/readyz" {
		allowed = http.MethodGet
	}
	w.Header().Set("Allow", allowed)
	writeProblem(w, http.StatusMethodNotAllowed, invalidRequest("method_not_allowed", "This path takes "+allowed+" only."))
}

func (a *API) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !a.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

type teamContextKey struct{}

// authenticate finds the team of the request's bearer key.
func (a *API) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var team config.Team
		ok := false
		a.Config.View(func(f *fold.Config) { team, ok = config.Authenticate(f, bearerToken(r)) })
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, http.StatusUnauthorized, problem{
				Type: typeAuthentication, Code: "invalid_api_key", Message: "The API key is missing or not valid.", Outcome: record.OutcomeNotRun,
			})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), teamContextKey{}, team)))
	})
}

func authenticatedTeam(r *http.Request) config.Team {
	team, _ := r.Context().Value(teamContextKey{}).(config.Team)
	return team
}
