package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"guavapier/internal/placement"
	"guavapier/internal/route"
	"guavapier/internal/upstream"
)

// attemptResult is how one attempt ended, if not with the final answer.
type attemptResult struct {
	final  bool
	status int // Of the final answer.
	reason Reason
	// sent says that an endpoint was sent the request.
	sent bool
	// none says that there was no endpoint to send it to.
	none bool
	// failure is the endpoint's own failing answer, held whole.
	failure *whole
	// err is what ended the connection under way, or kept it from being made.
	err error
}

// whole is an answer that has been read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

func done(status int) attemptResult { return attemptResult{final: true, status: status} }

// mostEnded is how many endpoints may end under one request's own attempts: one is bad
// luck, and the request may come again.
const mostEnded = 2

// slowAnswer is the multiple of a route's target after which an attempt of an
// idempotent request is given up for another endpoint, and slowAnswerLeast its
// floor. An endpoint that went dark answers nothing; one in a queue answers
// within a few targets.
const (
	slowAnswer      = 3
	slowAnswerLeast = 250 * time.Millisecond
)

// attempt places the request and sends it to one endpoint.
func (c *call) attempt(ctx context.Context) attemptResult {
	ticket := c.f.Endpoints.Place(placement.Query{
		Service: c.service, Zone: c.f.Zone, Parts: c.Parts, Exclude: c.tried,
	}, c.f.Clock())
	if ticket == nil {
		return attemptResult{reason: ReasonNoEndpoint, none: true}
	}
	c.attempts++
	c.endpoint = ticket.Endpoint.ID
	c.f.Placed(ticket)
	c.phase = phaseEndpoint
	outcome, began := placement.Failed, time.Now()
	defer func() { ticket.Done(outcome, c.f.Clock()) }()
	ctx, cancel := c.bound(ctx)
	defer cancel()
	answer, err := c.f.Pool.Send(ctx, ticket.Endpoint.ID, ticket.Endpoint.Address, c.outgoing(ticket))
	if err != nil {
		result := c.unanswered(ctx, err, &outcome)
		c.logAttempt(ticket, result, 0, began)
		c.learn(ctx, ticket, result, began)
		return result
	}
	defer answer.Close()
	ticket.OnAnswerStart(c.f.Clock(), isSuccess(answer.Status))
	result := c.take(ctx, answer)
	c.logAttempt(ticket, result, answer.Status, began)
	c.learn(ctx, ticket, result, began)
	if result.final || result.reason == ReasonCallerLeft {
		outcome = placement.Answered
	}
	if ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		outcome = placement.Abandoned
	}
	return result
}

// learn tells the quarantine what the attempt says of the request.
func (c *call) learn(ctx context.Context, k *placement.Assignment, r attemptResult, began time.Time) {
	switch {
	case r.final:
		c.f.Quarantine.Answered(c.content())
	case r.sent && r.reason == ReasonBroken && r.err != nil && ctx.Err() == nil:
		if c.f.Quarantine.Broke(ctx, c.content(), k.Endpoint.ID, k.Endpoint.Address, time.Since(began)) {
			c.ended++
		}
	}
}

// bound gives an idempotent attempt less than the whole time while another
// endpoint may be tried.
func (c *call) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	another := c.sent+1 < c.route.MaxEndpoints
	if c.route.Repeat != route.Idempotent || !another || c.route.Target <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, max(slowAnswer*c.route.Target, slowAnswerLeast))
}

func (c *call) outgoing(k *placement.Assignment) *upstream.Outgoing {
	last := c.lastID
	if last == "" {
		last = c.LastEvent
	}
	return &upstream.Outgoing{
		Method: c.Method, Target: c.Target, Host: c.Host, Body: c.body,
		Header: c.f.Codec.Attempt(&c.Request, Attempt{
			Endpoint: k.Endpoint.ID, Organisation: c.team(), Left: time.Until(c.deadline),
			Urgency: c.config.Urgency(c.route, c.org, sizeOf(k.PrefillTime, c.route.Target)), LastEvent: last, FetchFrom: k.FetchFrom,
		}),
		Own: c.owns,
	}
}

// owns says whether an answer is to this request. One without an identity is,
// if it says that the request was not run.
func (c *call) owns(status int, h http.Header) bool {
	reply := c.f.Codec.Reply(status, h)
	if reply.RequestID == "" {
		return reply.NotRun || !reply.Signed
	}
	return reply.RequestID == c.ID
}

// unanswered is the end of an attempt without an answer.
func (c *call) unanswered(ctx context.Context, err error, outcome *placement.Outcome) attemptResult {
	if errors.Is(ctx.Err(), context.Canceled) {
		*outcome = placement.Abandoned
	}
	c.tried = append(c.tried, c.endpoint)
	if errors.Is(err, upstream.ErrNotSent) {
		if *outcome == placement.Failed {
			*outcome = placement.Unreachable
		}
		return attemptResult{reason: ReasonUnreachable, err: err}
	}
	c.sent++
	c.mayRun = true
	return attemptResult{reason: ReasonBroken, sent: true, err: err}
}

// take turns an endpoint's answer into the caller's, or into a failed attempt.
func (c *call) take(ctx context.Context, a *upstream.Answer) attemptResult {
	reply := c.f.Codec.Reply(a.Status, a.Header)
	c.tried = append(c.tried, c.endpoint)
	c.sent++
	if reply.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, wholeAnswer)) // So that the connection can be kept.
		return attemptResult{reason: ReasonRefused, sent: true}
	}
	c.mayRun = true
	success := isSuccess(a.Status)
	if success && (!reply.Signed || a.Header.Get("Content-Encoding") != "") {
		return attemptResult{reason: ReasonBroken, sent: true}
	}
	if success && c.route.Streams {
		return c.stream(ctx, a)
	}
	if c.opened {
		return attemptResult{reason: ReasonBroken, sent: true} // A resumed stream that failed.
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeAnswer))
	if err != nil {
		return attemptResult{reason: ReasonBroken, sent: true, err: err}
	}
	got := &whole{status: a.Status, header: a.Header, body: body}
	if a.Status >= http.StatusInternalServerError {
		return attemptResult{reason: ReasonBroken, sent: true, failure: got}
	}
	return done(c.passWhole(got))
}

// isSuccess says whether a status is one of success.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// passWhole sends an answer that was read to its end.
func (c *call) passWhole(a *whole) int {
	copyHeader(c.w.Header(), a.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.first = time.Since(c.began)
	c.opened = true
	c.phase = phaseCaller
	if isSuccess(a.status) {
		c.pieces = max(1, c.MaxOutput) // How many tokens the body holds is not told: all are charged.
	}
	c.w.WriteHeader(a.status)
	_, _ = io.Copy(c.w, bytes.NewReader(a.body))
	return a.status
}

// perConnection are the header fields that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyHeader copies an answer's header but for what concerns one connection:
// what stands in to about the caller's own stays.
func copyHeader(to, from http.Header) {
	dropped := PerConnection(from)
	for name, values := range from {
		if !slices.Contains(dropped, name) {
			to[name] = values
		}
	}
}

// PerConnection lists the fields of h that concern one connection only, those
// named by its Connection field included.
func PerConnection(h http.Header) []string {
	names := perConnection
	for _, value := range h.Values("Connection") {
		for field := range bytes.SplitSeq([]byte(value), []byte(",")) {
			names = append(names[:len(names):len(names)], http.CanonicalHeaderKey(string(bytes.TrimSpace(field))))
		}
	}
	return names
}
