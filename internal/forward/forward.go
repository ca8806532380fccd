// Package forward serves one caller's request from its arrival to the final answer: it
// matches the route, checks the key, reserves tokens, selects an endpoint, retries and
// streams the answer. The request's content is opaque to it, and a Codec translates the
// header fields that HTTP does not define.
//
// A request has one of three outcomes. Answered: the caller receives the endpoint's answer
// unchanged. Not run: the status promises that the request has not run and never will.
// Unknown: the request may have run. "Not run" is reported only if no attempt can have run.
package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/placement"
	"guavapier/internal/prepaid"
	"guavapier/internal/quarantine"
	"guavapier/internal/record"
	"guavapier/internal/retry"
	"guavapier/internal/route"
	"guavapier/internal/upstream"
)

const (
	// defaultCallerTimeout bounds a request whose caller does not state how long it
	// waits.
	defaultCallerTimeout = 30 * time.Second
	// defaultMaxBodyBytes bounds a request body if the desired state sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxBufferedAnswerBytes bounds the body of an answer that is read into memory before
	// it is passed on. Longer bodies are truncated.
	maxBufferedAnswerBytes = 16 << 20
	// maxAttempts bounds the endpoints tried for one request, including those that were
	// unreachable or replaced. If one of four availability zones is cut off, 1 of 250 requests would find
	// only unreachable endpoints in four attempts.
	maxAttempts = 5
	// minRetryTimeLeft is the least time before the deadline at which a request is
	// still retried: with less, it would hardly reach another endpoint in time.
	minRetryTimeLeft = 20 * time.Millisecond
)

// Forwarder is the HTTP handler for callers' requests: it forwards each to an endpoint
// of the service that its route selects. All fields must be set.
type Forwarder struct {
	Zone      string // Availability zone of this instance.
	Codec     Codec
	State     func() *route.Config // Returns nil until a desired state is loaded.
	Budgets   Budgets
	Endpoints *placement.Table
	Retries   *retry.Limiter
	// Quarantine rejects requests that crash endpoints.
	Quarantine Quarantine
	Pool       *upstream.Pool
	Clock      func() time.Duration // Monotonic time since an arbitrary start.
	// ClosesConnections reports whether answers carry Connection: close, so that callers
	// move to other instances: this one is draining, outdated or its link is overloaded.
	ClosesConnections func() bool
	// IsOutdated reports whether this instance's data is older than that of other instances
	// that callers can reach.
	IsOutdated func() bool
	// ShutdownTime returns when this instance shuts down. It is zero until the last part
	// of a drain, so that callers first have time to move to other instances.
	ShutdownTime func() time.Time
	// IsForceClosing reports whether the drain has timed out and this instance closes
	// callers' connections with requests in progress. A connection that ends then was not
	// closed by its caller.
	IsForceClosing func() bool
	Log            zerolog.Logger
	// OnRequestEnd is called once for each request when it has ended.
	OnRequestEnd func(RequestSummary)
	// OnPlaced is called before each attempt is sent.
	OnPlaced func(*placement.Assignment)
}

// RequestSummary describes an ended request, for metrics.
type RequestSummary struct {
	Route        string // "" if none matched.
	Status       int    // HTTP status sent; 0 if the connection was aborted.
	Reason       Reason // Of the refusal or the last failed attempt; "" if the first attempt was answered.
	Attempts     int
	Duration     time.Duration
	TimeToHeader time.Duration // From arrival to sending the header of an endpoint's answer; 0 if there was none.
}

// call is the state of one request while it is served.
type call struct {
	Request
	f       *Forwarder
	w       http.ResponseWriter
	config  *route.Config
	route   *route.Route
	org     *route.Organisation
	service string
	body    []byte

	start        time.Time
	deadline     time.Time // Earlier of the caller's and the route's timeout.
	tried        []string  // IDs of the endpoints that were tried.
	reachedCount int       // Endpoints that got the request, if it was meant for them.
	crashes      int       // Endpoints that crashed while serving it.
	mayHaveRun   bool      // An endpoint may have run the request.
	attempts     int
	events       int64 // Stream events sent to the caller; output tokens for a buffered answer.
	lastEventID  string
	headerSent   bool // The answer's status and header were sent to the caller.
	timeToHeader time.Duration
	reason       Reason
	endpoint     string
	phase        phase
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{f: f, w: w, start: time.Now()}
	if f.ClosesConnections() {
		w.Header().Set("Connection", "close")
	}
	returned := false
	defer func() {
		if !returned {
			c.recordEnd(0) // The connection was aborted by a panic.
		}
	}()
	status := c.serve(r)
	returned = true
	c.recordEnd(status)
}

// serve answers the request and returns the status that was sent.
func (c *call) serve(r *http.Request) int {
	refused := c.admit(r)
	if refused != nil {
		return c.refuse(refused)
	}
	if c.mayOutliveInstance() {
		return c.refuse(notRun(ReasonShuttingDown, defaultRetryAfter)) // Refused before it waits for tokens.
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if quarantined := c.checkQuarantine(ctx); quarantined != nil {
		return c.refuse(quarantined)
	}
	reserved, refused := c.reserve(ctx)
	if refused != nil {
		return c.refuse(refused)
	}
	if reserved != nil {
		defer func() { reserved.Settle(c.chargedTokens(reserved.Tokens())) }()
	}
	return c.forward(ctx, r.Context())
}

// mayOutliveInstance reports whether the request's deadline is after the instance's
// shutdown.
//
// Such a request is refused so that another instance serves it completely; this one would
// cut it off. It applies only close to the shutdown, since most streams end long before
// their deadline. The check is repeated before each send, because waiting for tokens or
// for an endpoint that refuses uses up the time until the shutdown.
func (c *call) mayOutliveInstance() bool {
	shutdown := c.f.ShutdownTime()
	return !shutdown.IsZero() && c.deadline.After(shutdown)
}

// admit reads the request and determines its route, organisation, service and deadline.
// It returns the refusal of a request that can't be served, else nil.
func (c *call) admit(r *http.Request) *refusal {
	c.config = c.f.State()
	if c.config == nil {
		return notRun(ReasonNoDesiredState, noStateRetryAfter)
	}
	if c.f.IsOutdated() {
		return notRun(ReasonOutdated, defaultRetryAfter)
	}
	if limit := c.config.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: ReasonHeaderTooLarge}
	}
	var err error
	if c.Request, err = c.f.Codec.Request(r); err != nil {
		return &refusal{status: http.StatusBadRequest, reason: ReasonBadRequest}
	}
	if c.route = c.config.Match(c.Host, c.Path); c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: ReasonNoRoute}
	}
	c.org = c.config.OrganisationByKey(c.Key)
	if c.org == nil && c.config.NeedsKey(c.route) {
		return &refusal{status: http.StatusUnauthorized, reason: ReasonUnknownKey}
	}
	if c.route.Public {
		c.org = nil
	}
	c.deadline = c.start.Add(c.callerTimeout())
	c.service = c.route.PickService(rand.Float64())
	c.f.Retries.CountRequest(c.service, c.f.Clock())
	return c.readBody(r)
}

// headerBytes returns the approximate size in bytes of a request's first line and header.
// The server has parsed them, so the exact size is unknown.
func headerBytes(r *http.Request) int {
	const separators = 4 // ": " and CRLF.
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// callerTimeout returns how long the request may take: the caller's timeout, at most that
// of the route.
func (c *call) callerTimeout() time.Duration {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	return timeout
}

// readBody reads the whole body before the request is sent, so that an attempt can be
// retried and no endpoint receives an incomplete request.
func (c *call) readBody(r *http.Request) *refusal {
	limit := c.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	c.phase = phaseBody
	body, err := io.ReadAll(http.MaxBytesReader(c.w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooLarge}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: ReasonBodyIncomplete}
	}
	c.body = body
	return nil
}

// reserve reserves the request's tokens in its organisation's budget. The reservation is
// nil if the request needs no tokens or the organisation has no budget.
func (c *call) reserve(ctx context.Context) (Reservation, *refusal) {
	tokens := c.PromptTokens + c.MaxOutputTokens
	if c.org == nil || c.org.PrepaidTotal == nil || tokens <= 0 {
		return nil, nil
	}
	c.phase = phaseTokens
	reserved, err := c.f.Budgets.Reserve(ctx, c.org.Name, tokens)
	if err != nil {
		c.logBudget(tokens, err)
	}
	switch {
	case errors.Is(err, prepaid.ErrExhausted):
		return nil, &refusal{status: http.StatusPaymentRequired, reason: ReasonBudgetExhausted}
	case err != nil:
		return nil, notRun(ReasonInsufficientTokens, budgetRetryAfter(err))
	}
	return reserved, nil
}

// budgetRetryAfter returns the retry delay for a request that got no tokens: until the
// tokens held by this instance become free, plus a random delay, if that is known, else
// long enough for other instances to return tokens.
func budgetRetryAfter(err error) time.Duration {
	var insufficient *prepaid.InsufficientError
	if errors.As(err, &insufficient) {
		return insufficient.After + rand.N(tokensRetryJitter)
	}
	return tokensRetryAfter
}

// chargedTokens returns the tokens that the organisation is charged, at most limit: the
// prompt and the output that was sent to the caller. A run of which the caller received
// nothing is not charged.
func (c *call) chargedTokens(limit int64) int64 {
	if c.events == 0 {
		return 0
	}
	perEvent := int64(1)
	if s := c.config.Service(c.service); s != nil && s.TokensPerEvent > 0 {
		perEvent = s.TokensPerEvent
	}
	return min(limit, c.PromptTokens+min(c.MaxOutputTokens, c.events*perEvent))
}

// forward sends the request to endpoints until there is a final answer, and returns its
// status. The context caller ends when the caller disconnects, ctx also at the deadline.
func (c *call) forward(ctx, caller context.Context) int {
	for {
		if !c.mayHaveRun && c.mayOutliveInstance() {
			return c.refuse(notRun(ReasonShuttingDown, defaultRetryAfter))
		}
		if !c.mayHaveRun && c.f.IsOutdated() {
			return c.refuse(notRun(ReasonOutdated, defaultRetryAfter))
		}
		result := c.attempt(ctx)
		if result.final {
			return result.status
		}
		if result.noEndpoint && c.reason != "" {
			result.reason = c.reason // Why the endpoints that were tried have not answered.
		}
		c.reason = result.reason
		switch {
		case caller.Err() != nil:
			c.abortDisconnected()
		case ctx.Err() != nil || time.Until(c.deadline) < minRetryTimeLeft:
			return c.fail(ReasonTimeout, http.StatusGatewayTimeout, result)
		case !c.mayRetry(result):
			return c.fail(result.reason, http.StatusBadGateway, result)
		case result.sent && !c.f.Retries.Allow(c.service, c.f.Clock()):
			// An attempt that could not connect puts no load on endpoints and uses no retry budget.
			return c.fail(result.reason, http.StatusBadGateway, result)
		case c.crashes >= maxCrashes || result.sent && c.checkQuarantine(ctx) != nil:
			return c.fail(ReasonQuarantined, http.StatusBadGateway, result)
		}
	}
}

// checkQuarantine returns the refusal of a quarantined request, or nil if it may be sent.
func (c *call) checkQuarantine(ctx context.Context) *refusal {
	var quarantined *quarantine.QuarantinedError
	if !errors.As(c.f.Quarantine.Admit(ctx, c.content()), &quarantined) {
		return nil
	}
	c.logQuarantined(quarantined)
	return notRun(ReasonQuarantined, max(quarantined.RetryAfter, tokensRetryAfter))
}

// mayRetry reports whether the request may be sent to another endpoint after result.
func (c *call) mayRetry(result attemptResult) bool {
	if result.noEndpoint || c.reachedCount >= c.route.MaxEndpoints || c.attempts >= maxAttempts {
		return false
	}
	if !c.mayHaveRun {
		return true
	}
	if c.route.Streams {
		return c.route.Resumable
	}
	return c.route.Repeat == route.Idempotent
}

// fail ends a request without a successful answer and returns the status sent. It aborts
// an answer that has begun, refuses a request that has certainly not run as such, and
// else passes on the endpoint's 5xx answer if there is one, or sends unknownStatus.
func (c *call) fail(reason Reason, unknownStatus int, lastResult attemptResult) int {
	switch {
	case c.headerSent:
		c.reason = reason
		c.abort()
	case !c.mayHaveRun:
		return c.refuse(notRun(reason, defaultRetryAfter))
	case lastResult.failure != nil && reason != ReasonTimeout:
		c.reason = reason
		return c.writeBuffered(lastResult.failure)
	}
	return c.refuse(&refusal{status: unknownStatus, reason: reason})
}

// refuse sends the refusal and returns its status.
func (c *call) refuse(r *refusal) int {
	c.reason = r.reason
	r.write(c.w)
	return r.status
}

// abortDisconnected ends a request whose caller has disconnected by aborting the
// connection. A caller that closed only its sending side still reads, and if the handler
// returned normally the server would send it an empty 200 that no endpoint gave.
func (c *call) abortDisconnected() {
	c.reason = c.disconnectReason()
	c.abort()
}

// disconnectReason tells a caller that disconnected from a connection that this instance
// closed at the end of its drain.
func (c *call) disconnectReason() Reason {
	if c.f.IsForceClosing() {
		return ReasonDrainTimeout
	}
	return ReasonCallerDisconnected
}

// abort closes the connection so that a partial answer can't be taken for a complete one.
func (c *call) abort() { panic(http.ErrAbortHandler) }

// content returns the parts of the request by which the quarantine recognises it when it
// is sent again.
func (c *call) content() quarantine.Content {
	return quarantine.Content{Organisation: c.team(), Method: c.Method, Host: c.Host, Target: c.Target, Body: c.body}
}

// team returns the name of the request's organisation, or "" if it has none.
func (c *call) team() record.Team {
	if c.org == nil {
		return ""
	}
	return c.org.Name
}
