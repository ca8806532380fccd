// Package entry serves the HTTP API for callers: chat completions in the usual
// format, calls to plain services, and sessions. Every error response is JSON
// with a code, a message, the outcome of the request (whether it ran) and,
// where a retry can succeed, the number of seconds after which to retry.
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
	"guavapier/internal/upload"
)

// Request headers of the API.
const (
	// HeaderSession carries the token of a session.
	HeaderSession = "X-Session"
	// HeaderIdempotencyKey carries a key that the caller chose. Requests of a
	// team with the same key in the same session are attempts at one request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFirstAttempt, if "true", is the caller's promise that it has never
	// sent this request before.
	HeaderFirstAttempt = "X-First-Attempt"
	// HeaderPriority carries a priority class as a number; see parsePriority.
	HeaderPriority = "X-Priority"
	// HeaderLastEventID carries the ID of the last event that the caller received
	// of an answer that it wants to resume; see eventID.
	HeaderLastEventID = "Last-Event-ID"
)

// Limits bounds the size of requests and answers and the time they take.
type Limits struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxAnswerBytes bounds the text of a chat answer that isn't streamed.
	MaxAnswerBytes int
	// MaxTokens bounds the max_tokens of a chat request.
	MaxTokens int
	// MinPromptBytesPerToken is the smallest number of prompt bytes assumed per
	// token. It determines how many tokens are reserved for a prompt; see
	// maxPromptTokens.
	MinPromptBytesPerToken int
	// FirstTokenTimeout bounds the wait for the first token of a chat answer.
	FirstTokenTimeout time.Duration
	// ServiceAnswerTimeout bounds the wait for the answer of a plain service.
	ServiceAnswerTimeout time.Duration
	// BodyReadTimeout bounds the time in which a request's body must arrive.
	// WriteTimeout bounds each write to a caller; if the caller reads nothing for
	// this long, the write fails as if the caller had disconnected.
	BodyReadTimeout, WriteTimeout time.Duration
	// HeartbeatInterval is the time between two comments that are sent on a
	// stream while no event is.
	HeartbeatInterval time.Duration
}

// Appender appends records to a stream of the log in one batch and returns its
// offset; see logstore.Publisher. After an error the records may still be on
// the log.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// API serves the callers' HTTP API on one instance. Its fields must be set
// before Handler is called.
type API struct {
	// Zone is the availability zone of this instance, recorded as the home zone of
	// the sessions that it opens.
	Zone record.Zone
	// Config holds the API keys and the settings of the teams.
	Config *replica.Replica[*fold.Config]
	// SessionKeys signs and verifies session tokens and event IDs.
	SessionKeys session.Keyring
	// SessionRegistry lists open sessions and records which have ended.
	SessionRegistry session.Registry
	// Runner executes chat completions and service calls.
	Runner *run.Runner
	// Uploads bounds what is held of requests' bodies.
	Uploads *upload.Limiter
	Limits  Limits
	// IsReady reports whether this instance can take new requests; /readyz answers
	// accordingly.
	IsReady func() bool
}

const (
	headerReadTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// NewServer returns an HTTP server for callers. It sets no timeout on whole
// requests, since a streamed answer may take arbitrarily long; the handlers set a
// deadline for reading the body and for each write.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerReadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// Handler returns the HTTP routes of the API.
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

// leaveBody makes the server close the connection without reading the body of a request that is
// refused.
func leaveBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // Fails only if the connection is closed.
}

func handleNotFound(w http.ResponseWriter, r *http.Request) {
	leaveBody(w, r)
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

// teamContextKey is the context key of the team that authenticate found.
type teamContextKey struct{}

// authenticate looks up the team of the request's API key, a bearer token, and
// stores it in the request's context. Without a valid key it answers 401.
func (a *API) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var team config.Team
		ok := false
		a.Config.View(func(f *fold.Config) { team, ok = config.Authenticate(f, bearerToken(r)) })
		if !ok {
			leaveBody(w, r)
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, http.StatusUnauthorized, problem{
				Type: typeAuthentication, Code: "invalid_api_key", Message: "The API key is missing or not valid.", Outcome: record.OutcomeNotRun,
			})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), teamContextKey{}, team)))
	})
}

// authenticatedTeam returns the team that authenticate stored.
func authenticatedTeam(r *http.Request) config.Team {
	team, _ := r.Context().Value(teamContextKey{}).(config.Team)
	return team
}
