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
	// unsaidPatience bounds a request whose caller does not say how long it
	// waits.
	unsaidPatience = 30 * time.Second
	// maxBody bounds a body where the desired state sets no limit.
	maxBody = 4 << 20
	// wholeAnswer bounds an answer that is held whole before it is passed on.
	wholeAnswer = 16 << 20
	// mostAttempts bounds the endpoints tried for one request, those that could
	// not be reached included: behind a cut of one zone in four, one of four
	// tries in a row meets only lost ones in 1 of 250 requests.
	mostAttempts = 5
	// leastLeft is the shortest time for which a send to an endpoint is worth
	// its arrival there.
	leastLeft = 20 * time.Millisecond
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
	// SendsAway says whether answers ask callers to leave the connection, since this
	// instance is about to end or its link is full.
	SendsAway func() bool
	// Outdated says that this instance knows less than others that callers can reach.
	Outdated func() bool
	// Ends is when this instance ends, once it is so near that callers had time to
	// go elsewhere; zero before.
	Ends func() time.Time
	// Cut says that callers' connections are being closed with their requests
	// under way, so that a caller who is gone has not left.
	Cut     func() bool
	Log     zerolog.Logger
	Observe func(Event)
	// Placed is told of each attempt that is about to be sent.
	Placed func(*placement.Ticket)
}

// Event is a request's end, for metrics.
type Event struct {
	Route    string
	Status   int
	Reason   Reason
	Attempts int
	Took     time.Duration
	First    time.Duration // To the head of the answer; 0 if none went out.
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

	began    time.Time
	deadline time.Time // When the caller leaves or the route's timeout ends.
	tried    []string  // Endpoints that were tried.
	sent     int       // Those of them that were sent the request.
	ended    int       // Those of them that ended with it under way.
	mayRun   bool      // An attempt may have run.
	attempts int
	pieces   int64 // Events that went to the caller.
	lastID   string
	opened   bool // The answer's head has gone out.
	first    time.Duration
	reason   Reason
	endpoint string
	phase    phase
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{f: f, w: w, began: time.Now()}
	if f.SendsAway() {
		w.Header().Set("Connection", "close")
	}
	ended := false
	defer func() {
		if !ended {
			c.finish(0) // The answer was aborted.
		}
	}()
	status := c.serve(r)
	ended = true
	c.finish(status)
}

// serve answers the request and returns the status that went out.
func (c *call) serve(r *http.Request) int {
	refused := c.admit(r)
	if refused != nil {
		return c.refuse(refused)
	}
	if c.outlastsInstance() {
		return c.refuse(notRun(ReasonEnding, againSoon)) // Before it waits for tokens.
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if held := c.held(ctx); held != nil {
		return c.refuse(held)
	}
	reserved, refused := c.reserve(ctx)
	if refused != nil {
		return c.refuse(refused)
	}
	if reserved != nil {
		defer func() { reserved.Settle(c.used(reserved.Tokens())) }()
	}
	return c.forward(ctx, r.Context())
}

// outlastsInstance says whether the request may last longer than this instance.
//
// Another instance serves it whole, where this one would cut it. Only near the end, since
// most streams are shorter than their callers' patience. It is asked before each send: a
// wait for tokens or for an endpoint that refuses takes it to the end.
func (c *call) outlastsInstance() bool {
	ends := c.f.Ends()
	return !ends.IsZero() && c.deadline.After(ends)
}

// admit reads the request and finds its route, organisation and service.
func (c *call) admit(r *http.Request) *refusal {
	c.config = c.f.State()
	if c.config == nil {
		return notRun(ReasonNoState, againStart)
	}
	if c.f.Outdated() {
		return notRun(ReasonOutdated, againSoon)
	}
	if limit := c.config.Limits.HeaderBytes; limit > 0 && headBytes(r) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: ReasonHeadTooLarge}
	}
	var err error
	if c.Request, err = c.f.Codec.Request(r); err != nil {
		return &refusal{status: http.StatusBadRequest, reason: ReasonBadRequest}
	}
	if c.route = c.config.Match(c.Host, c.Path); c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: ReasonNoRoute}
	}
	c.org = c.config.KeyHolder(c.Key)
	if c.org == nil && c.config.NeedsKey(c.route) {
		return &refusal{status: http.StatusUnauthorized, reason: ReasonUnknownKey}
	}
	if c.route.Public {
		c.org = nil
	}
	c.deadline = c.began.Add(c.patience())
	c.service = c.route.Pick(rand.Float64())
	c.f.Retries.Request(c.service, c.f.Clock())
	return c.readBody(r)
}

// headBytes is the size of a request's head as it came, near enough: the server
// has parsed it.
func headBytes(r *http.Request) int {
	const separators = 4 // ": " and the line's end.
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// patience is how long the caller may be kept waiting.
func (c *call) patience() time.Duration {
	patience := c.Patience
	if patience <= 0 {
		patience = unsaidPatience
	}
	if c.route.Timeout > 0 {
		patience = min(patience, c.route.Timeout)
	}
	return patience
}

// readBody takes the whole body before anything is sent on, so that an attempt
// can be repeated and no half request reaches an endpoint.
func (c *call) readBody(r *http.Request) *refusal {
	limit := c.config.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	c.phase = phaseBody
	body, err := io.ReadAll(http.MaxBytesReader(c.w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooLarge}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: ReasonBodyBroken}
	}
	c.body = body
	return nil
}

// reserve sets the request's tokens aside; nil if it needs none.
func (c *call) reserve(ctx context.Context) (Reservation, *refusal) {
	tokens := c.PromptTokens + c.MaxOutput
	if c.org == nil || c.org.Prepaid == nil || tokens <= 0 {
		return nil, nil
	}
	c.phase = phaseTokens
	reserved, err := c.f.Budgets.Reserve(ctx, c.org.Name, tokens)
	if err != nil {
		c.logBudget(tokens, err)
	}
	switch {
	case errors.Is(err, prepaid.ErrExhausted):
		return nil, &refusal{status: http.StatusPaymentRequired, reason: ReasonExhausted}
	case err != nil:
		return nil, notRun(ReasonShort, whenShort(err))
	}
	return reserved, nil
}

// whenShort says when coming back helps a request without tokens: when those
// that are held here are free, spread a little, else after some round trips.
func whenShort(err error) time.Duration {
	var short *prepaid.InsufficientError
	if errors.As(err, &short) {
		return short.After + rand.N(spreadShort)
	}
	return againShort
}

// used is what a request costs its organisation: once the caller has had
// anything, its prompt and the output that went to it. A run of which the
// caller got nothing is not charged.
func (c *call) used(most int64) int64 {
	if c.pieces == 0 {
		return 0
	}
	perEvent := int64(1)
	if s := c.config.Service(c.service); s != nil && s.TokensPerEvent > 0 {
		perEvent = s.TokensPerEvent
	}
	return min(most, c.PromptTokens+min(c.MaxOutput, c.pieces*perEvent))
}

// forward sends the request to endpoints until there is a final answer.
// caller ends when the caller leaves, ctx also at the deadline.
func (c *call) forward(ctx, caller context.Context) int {
	for {
		if !c.mayRun && c.outlastsInstance() {
			return c.refuse(notRun(ReasonEnding, againSoon))
		}
		if !c.mayRun && c.f.Outdated() {
			return c.refuse(notRun(ReasonOutdated, againSoon))
		}
		result := c.attempt(ctx)
		if result.final {
			return result.status
		}
		c.reason = result.reason
		switch {
		case caller.Err() != nil:
			c.left()
		case ctx.Err() != nil || time.Until(c.deadline) < leastLeft:
			return c.giveUp(ReasonTimeout, http.StatusGatewayTimeout, result)
		case !c.mayRepeat(result):
			return c.giveUp(result.reason, http.StatusBadGateway, result)
		case result.sent && !c.f.Retries.Allow(c.service, c.f.Clock()):
			// A send that reached no endpoint is no load on any, and free.
			return c.giveUp(result.reason, http.StatusBadGateway, result)
		case c.ended >= mostEnded || result.sent && c.held(ctx) != nil:
			return c.giveUp(ReasonHeld, http.StatusBadGateway, result)
		}
	}
}

// held returns the refusal of a request that is not to be sent, else nil.
func (c *call) held(ctx context.Context) *refusal {
	var held *quarantine.HeldError
	if !errors.As(c.f.Quarantine.Admit(ctx, c.content()), &held) {
		return nil
	}
	c.logHeld(held)
	return notRun(ReasonHeld, max(held.After, againShort))
}

// mayRepeat says whether the request may go to another endpoint.
func (c *call) mayRepeat(result attemptResult) bool {
	if result.none || c.sent >= c.route.MaxEndpoints || c.attempts >= mostAttempts {
		return false
	}
	if !c.mayRun {
		return true
	}
	if c.route.Streams {
		return c.route.Resumable
	}
	return c.route.Repeat == route.Idempotent
}

// giveUp ends a request that has no answer: with the endpoint's own failure if
// there is one, as not run if that is known, else with the status for unknown.
func (c *call) giveUp(reason Reason, unknown int, last attemptResult) int {
	switch {
	case c.opened:
		c.reason = reason
		c.abort()
	case !c.mayRun:
		return c.refuse(notRun(reason, againSoon))
	case last.failure != nil && reason != ReasonTimeout:
		c.reason = reason
		return c.passWhole(last.failure)
	}
	return c.refuse(&refusal{status: unknown, reason: reason})
}

func (c *call) refuse(f *refusal) int {
	c.reason = f.reason
	f.write(c.w)
	return f.status
}

// left ends a request whose caller is gone, by a cut: a caller that only shut
// down its sending side still reads, and a handler that returns without a word
// makes the server send an empty 200 that no endpoint gave.
func (c *call) left() {
	c.reason = c.whyGone()
	c.abort()
}

// whyGone tells a caller who left from one whose connection this instance closes.
func (c *call) whyGone() Reason {
	if c.f.Cut() {
		return ReasonCut
	}
	return ReasonCallerLeft
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
