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
	// noEndpoint says that there was no endpoint to send it to.
	noEndpoint bool
	// failure is the endpoint's own failing answer, held whole.
	failure *bufferedAnswer
	// err is what ended the connection under way, or kept it from being made.
	err error
}

// bufferedAnswer is an answer that has been read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func finalResult(status int) attemptResult { return attemptResult{final: true, status: status} }

// maxCrashes is how many endpoints may end under one request's own attempts: one is bad
// luck, and the request may come again.
const maxCrashes = 2

// attemptTimeoutFactor is the multiple of a route's target after which an attempt of an
// idempotent request is given up for another endpoint, and minAttemptTimeout its
// floor. An endpoint that went dark answers nothing; one in a queue answers
// within a few targets.
const (
	attemptTimeoutFactor = 3
	minAttemptTimeout    = 250 * time.Millisecond
)

// attempt places the request and sends it to one endpoint.
func (c *call) attempt(ctx context.Context) attemptResult {
	ticket := c.f.Endpoints.Place(placement.Query{
		Service: c.service, Zone: c.f.Zone, Parts: c.PromptParts, Avoid: c.tried,
	}, c.f.Clock())
	if ticket == nil {
		return attemptResult{reason: ReasonNoEndpoint, noEndpoint: true}
	}
	c.attempts++
	c.endpoint = ticket.Endpoint.ID
	c.f.OnPlaced(ticket)
	c.phase = phaseEndpoint
	outcome, start := placement.Failed, time.Now()
	defer func() { ticket.Done(outcome, c.f.Clock()) }()
	ctx, cancel := c.withAttemptTimeout(ctx)
	defer cancel()
	answer, err := c.f.Pool.Send(ctx, ticket.Endpoint.ID, ticket.Endpoint.Address, c.outgoing(ticket))
	if err != nil {
		result := c.handleSendError(ctx, err, &outcome)
		c.logAttempt(ticket, result, 0, start)
		c.updateQuarantine(ctx, ticket, result, start)
		return result
	}
	defer answer.Close()
	ticket.Begun(c.f.Clock(), isSuccess(answer.Status))
	result := c.handleAnswer(ctx, answer)
	c.logAttempt(ticket, result, answer.Status, start)
	c.updateQuarantine(ctx, ticket, result, start)
	if result.final || result.reason == ReasonCallerDisconnected {
		outcome = placement.Answered
	}
	if ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		outcome = placement.Abandoned
	}
	return result
}

// updateQuarantine tells the quarantine what the attempt says of the request.
func (c *call) updateQuarantine(ctx context.Context, ticket *placement.Ticket, result attemptResult, start time.Time) {
	switch {
	case result.final:
		c.f.Quarantine.Answered(c.content())
	case result.sent && result.reason == ReasonAnswerFailed && result.err != nil && ctx.Err() == nil:
		if c.f.Quarantine.Broke(ctx, c.content(), ticket.Endpoint.ID, ticket.Endpoint.Address, time.Since(start)) {
			c.crashes++
		}
	}
}

// withAttemptTimeout gives an idempotent attempt less than the whole time while another
// endpoint may be tried.
func (c *call) withAttemptTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	mayTryAnother := c.sentCount+1 < c.route.MaxEndpoints
	if c.route.Repeat != route.Idempotent || !mayTryAnother || c.route.LatencyTarget <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, max(attemptTimeoutFactor*c.route.LatencyTarget, minAttemptTimeout))
}

func (c *call) outgoing(ticket *placement.Ticket) *upstream.Outgoing {
	lastEventID := c.lastEventID
	if lastEventID == "" {
		lastEventID = c.LastEventID
	}
	return &upstream.Outgoing{
		Method: c.Method, Target: c.Target, Host: c.Host, Body: c.body,
		Header: c.f.Codec.Attempt(&c.Request, Attempt{
			Endpoint: ticket.Endpoint.ID, Organisation: c.team(), Timeout: time.Until(c.deadline),
			Urgency: c.config.Urgency(c.route, c.org, promptSizeClass(ticket.Work, c.route.LatencyTarget)), LastEventID: lastEventID, FetchFrom: ticket.FetchFrom,
		}),
		Matches: c.matchesAnswer,
	}
}

// matchesAnswer says whether an answer is to this request. One without an identity is,
// if it says that the request was not run.
func (c *call) matchesAnswer(status int, h http.Header) bool {
	reply := c.f.Codec.Reply(status, h)
	if reply.RequestID == "" {
		return reply.NotRun || !reply.Signed
	}
	return reply.RequestID == c.ID
}

// handleSendError is the end of an attempt without an answer.
func (c *call) handleSendError(ctx context.Context, err error, outcome *placement.Outcome) attemptResult {
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
	c.sentCount++
	c.mayHaveRun = true
	return attemptResult{reason: ReasonAnswerFailed, sent: true, err: err}
}

// handleAnswer turns an endpoint's answer into the caller's, or into a failed attempt.
func (c *call) handleAnswer(ctx context.Context, a *upstream.Answer) attemptResult {
	reply := c.f.Codec.Reply(a.Status, a.Header)
	c.tried = append(c.tried, c.endpoint)
	c.sentCount++
	if reply.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxBufferedAnswerBytes)) // So that the connection can be kept.
		return attemptResult{reason: ReasonEndpointsRefused, sent: true}
	}
	c.mayHaveRun = true
	success := isSuccess(a.Status)
	if success && (!reply.Signed || a.Header.Get("Content-Encoding") != "") {
		return attemptResult{reason: ReasonAnswerFailed, sent: true}
	}
	if success && c.route.Streams {
		return c.forwardStream(ctx, a)
	}
	if c.headerSent {
		return attemptResult{reason: ReasonAnswerFailed, sent: true} // A resumed stream that failed.
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedAnswerBytes))
	if err != nil {
		return attemptResult{reason: ReasonAnswerFailed, sent: true, err: err}
	}
	buffered := &bufferedAnswer{status: a.Status, header: a.Header, body: body}
	if a.Status >= http.StatusInternalServerError {
		return attemptResult{reason: ReasonAnswerFailed, sent: true, failure: buffered}
	}
	return finalResult(c.writeBuffered(buffered))
}

// isSuccess says whether a status is one of success.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// writeBuffered sends an answer that was read to its end.
func (c *call) writeBuffered(a *bufferedAnswer) int {
	copyHeader(c.w.Header(), a.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.timeToHeader = time.Since(c.start)
	c.headerSent = true
	c.phase = phaseCaller
	if isSuccess(a.status) {
		c.events = max(1, c.MaxOutputTokens) // How many tokens the body holds is not told: all are charged.
	}
	c.w.WriteHeader(a.status)
	_, _ = io.Copy(c.w, bytes.NewReader(a.body))
	return a.status
}

// hopByHopHeaders are the header fields that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyHeader copies an answer's header but for what concerns one connection:
// what stands in to about the caller's own stays.
func copyHeader(dst, src http.Header) {
	dropped := HopByHopHeaders(src)
	for name, values := range src {
		if !slices.Contains(dropped, name) {
			dst[name] = values
		}
	}
}

// HopByHopHeaders lists the fields of h that concern one connection only, those
// named by its Connection field included.
func HopByHopHeaders(h http.Header) []string {
	names := hopByHopHeaders
	for _, value := range h.Values("Connection") {
		for field := range bytes.SplitSeq([]byte(value), []byte(",")) {
			names = append(names[:len(names):len(names)], http.CanonicalHeaderKey(string(bytes.TrimSpace(field))))
		}
	}
	return names
}
