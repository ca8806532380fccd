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
	// defaultCallerTimeout bounds a request whose caller does not say how long it
	// waits.
	defaultCallerTimeout = 30 * time.Second
	// defaultMaxBodyBytes bounds a body where the desired state sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxBufferedAnswerBytes bounds an answer that is held whole before it is passed on.
	maxBufferedAnswerBytes = 16 << 20
	// maxAttempts bounds the endpoints tried for one request, those that could
	// not be reached included: behind a cut of one zone in four, one of four
	// tries in a row meets only lost ones in 1 of 250 requests.
	maxAttempts = 5
	// minSendTimeLeft is the shortest time for which a send to an endpoint is worth
	// its arrival there.
	minSendTimeLeft = 20 * time.Millisecond
)

// Forwarder serves callers. All fields must be set.
type Forwarder struct {
	Zone      string
	Codec     Codec
	State     func() *route.Config // Nil before the first desired state.
	Budgets   Budgets
	Endpoints *placement.Table
	Retries   *retry.Keeper
	// Quarantine knows which requests are not to be sent.
	Quarantine Quarantine
	Pool       *upstream.Pool
	Clock      func() time.Duration
	// ClosesConnections says whether answers ask callers to leave the connection, since this
	// instance is about to end or its link is full.
	ClosesConnections func() bool
	// IsOutdated says that this instance knows less than others that callers can reach.
	IsOutdated func() bool
	// ShutdownTime is when this instance ends, once it is so near that callers had time to
	// go elsewhere; zero before.
	ShutdownTime func() time.Time
	// IsForceClosing says that callers' connections are being closed with their requests
	// under way, so that a caller who is gone has not left.
	IsForceClosing func() bool
	Log            zerolog.Logger
	OnRequestEnd   func(RequestSummary)
	// OnPlaced is told of each attempt that is about to be sent.
	OnPlaced func(*placement.Ticket)
}

// RequestSummary is a request's end, for metrics.
type RequestSummary struct {
	Route        string
	Status       int
	Reason       Reason
	Attempts     int
	Duration     time.Duration
	TimeToHeader time.Duration // To the head of the answer; 0 if none went out.
}

// call is one request under way.
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
	deadline     time.Time // When the caller leaves or the route's timeout ends.
	tried        []string  // Endpoints that were tried.
	sentCount    int       // Those of them that were sent the request.
	crashes      int       // Those of them that ended with it under way.
	mayHaveRun   bool      // An attempt may have run.
	attempts     int
	events       int64 // Events that went to the caller.
	lastEventID  string
	headerSent   bool // The answer's head has gone out.
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
			c.recordEnd(0) // The answer was aborted.
		}
	}()
	status := c.serve(r)
	returned = true
	c.recordEnd(status)
}

// serve answers the request and returns the status that went out.
func (c *call) serve(r *http.Request) int {
	refused := c.admit(r)
	if refused != nil {
		return c.refuse(refused)
	}
	if c.mayOutliveInstance() {
		return c.refuse(notRun(ReasonShuttingDown, defaultRetryAfter)) // Before it waits for tokens.
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

// mayOutliveInstance says whether the request may last longer than this instance.
//
// Another instance serves it whole, where this one would cut it. Only near the end, since
// most streams are shorter than their callers' patience. It is asked before each send: a
// wait for tokens or for an endpoint that refuses takes it to the end.
func (c *call) mayOutliveInstance() bool {
	shutdown := c.f.ShutdownTime()
	return !shutdown.IsZero() && c.deadline.After(shutdown)
}

// admit reads the request and finds its route, organisation and service.
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
	c.f.Retries.Request(c.service, c.f.Clock())
	return c.readBody(r)
}

// headerBytes is the size of a request's head as it came, near enough: the server
// has parsed it.
func headerBytes(r *http.Request) int {
	const separators = 4 // ": " and the line's end.
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// callerTimeout is how long the caller may be kept waiting.
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

// readBody takes the whole body before anything is sent on, so that an attempt
// can be repeated and no half request reaches an endpoint.
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

// reserve sets the request's tokens aside; nil if it needs none.
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

// budgetRetryAfter says when coming back helps a request without tokens: when those
// that are held here are free, spread a little, else after some round trips.
func budgetRetryAfter(err error) time.Duration {
	var insufficient *prepaid.ShortError
	if errors.As(err, &insufficient) {
		return insufficient.After + rand.N(tokensRetryJitter)
	}
	return tokensRetryAfter
}

// chargedTokens is what a request costs its organisation: once the caller has had
// anything, its prompt and the output that went to it. A run of which the
// caller got nothing is not charged.
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

// forward sends the request to endpoints until there is a final answer.
// caller ends when the caller leaves, ctx also at the deadline.
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
		c.reason = result.reason
		switch {
		case caller.Err() != nil:
			c.abortDisconnected()
		case ctx.Err() != nil || time.Until(c.deadline) < minSendTimeLeft:
			return c.fail(ReasonTimeout, http.StatusGatewayTimeout, result)
		case !c.mayRetry(result):
			return c.fail(result.reason, http.StatusBadGateway, result)
		case result.sent && !c.f.Retries.Allow(c.service, c.f.Clock()):
			// A send that reached no endpoint is no load on any, and free.
			return c.fail(result.reason, http.StatusBadGateway, result)
		case c.crashes >= maxCrashes || result.sent && c.checkQuarantine(ctx) != nil:
			return c.fail(ReasonQuarantined, http.StatusBadGateway, result)
		}
	}
}

// checkQuarantine returns the refusal of a request that is not to be sent, else nil.
func (c *call) checkQuarantine(ctx context.Context) *refusal {
	var quarantined *quarantine.HeldError
	if !errors.As(c.f.Quarantine.Admit(ctx, c.content()), &quarantined) {
		return nil
	}
	c.logQuarantined(quarantined)
	return notRun(ReasonQuarantined, max(quarantined.After, tokensRetryAfter))
}

// mayRetry says whether the request may go to another endpoint.
func (c *call) mayRetry(result attemptResult) bool {
	if result.noEndpoint || c.sentCount >= c.route.MaxEndpoints || c.attempts >= maxAttempts {
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

// fail ends a request that has no answer: with the endpoint's own failure if
// there is one, as not run if that is known, else with the status for unknown.
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

func (c *call) refuse(r *refusal) int {
	c.reason = r.reason
	r.write(c.w)
	return r.status
}

// abortDisconnected ends a request whose caller is gone, by a cut: a caller that only shut
// down its sending side still reads, and a handler that returns without a word
// makes the server send an empty 200 that no endpoint gave.
func (c *call) abortDisconnected() {
	c.reason = c.disconnectReason()
	c.abort()
}

// disconnectReason tells a caller who left from one whose connection this instance closes.
func (c *call) disconnectReason() Reason {
	if c.f.IsForceClosing() {
		return ReasonDrainTimeout
	}
	return ReasonCallerDisconnected
}

// abort cuts the answer so that it can't look complete.
func (c *call) abort() { panic(http.ErrAbortHandler) }

// content is what the request has in common with its repeats.
func (c *call) content() quarantine.Content {
	return quarantine.Content{Organisation: c.team(), Method: c.Method, Host: c.Host, Target: c.Target, Body: c.body}
}

func (c *call) team() record.Team {
	if c.org == nil {
		return ""
	}
	return c.org.Name
}
