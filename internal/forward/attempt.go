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
	"guavapier/internal/quarantine"
	"guavapier/internal/spool"
	"guavapier/internal/upstream"
)

// maxBufferedAnswerBytes bounds the body of an answer that is read into memory before it is
// passed on, so that an attempt that breaks off can be repeated or reported. Longer bodies are
// passed on as they arrive.
const maxBufferedAnswerBytes = 256 << 10

const (
	// maxRefusalBytes and maxRefusalTime bound the reading of a refusal's body, after which the
	// connection can be used again. The request may go to another endpoint meanwhile.
	maxRefusalBytes = 64 << 10
	maxRefusalTime  = 100 * time.Millisecond
)

// attemptResult is the outcome of one attempt: the final answer, or the reason why
// there is none.
type attemptResult struct {
	final  bool
	status int // HTTP status of the final answer; set if final.
	reason Reason
	// sent reports whether the request was sent to an endpoint.
	sent bool
	// misdirected reports whether another endpoint has answered at the address.
	misdirected bool
	// noEndpoint reports whether no endpoint was available.
	noEndpoint bool
	// unconfirmed reports whether the end of the connection was taken for the answer's end, and
	// the endpoint may have crashed instead.
	unconfirmed bool
	// failure is the endpoint's complete answer if its status was 5xx.
	failure *bufferedAnswer
	// err is the error that broke the connection or prevented it.
	err error
}

// bufferedAnswer is an endpoint's answer with its whole body in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// finalResult returns the result of an attempt whose answer went to the caller.
func finalResult(status int) attemptResult { return attemptResult{final: true, status: status} }

// maxCrashes is the number of endpoints that may crash while serving the attempts of
// one request before it is given up. A single crash can be a coincidence, so the request
// is retried after it.
const maxCrashes = 2

// attempt selects one endpoint, sends it the request and passes on its answer.
func (c *call) attempt(ctx context.Context) attemptResult {
	assignment := c.placeAtOrigin(ctx)
	if assignment == nil {
		c.logNoEndpoint()
		return attemptResult{reason: ReasonNoEndpoint, noEndpoint: true}
	}
	c.attempts++
	c.endpoint, c.version, c.via = assignment.Endpoint.ID, assignment.Endpoint.Version, ""
	c.resumedAfter = c.resumePosition()
	c.f.OnPlaced(assignment)
	c.phase = phaseEndpoint
	outcome, start := placement.Failed, time.Now()
	defer func() { assignment.Done(outcome, c.f.Clock()) }()
	request := ctx
	ctx, cancel := c.withAttemptTimeout(ctx)
	defer cancel()
	answer, err := c.f.Pool.Send(ctx, assignment.Endpoint.ID, assignment.Endpoint.Address, c.outgoingRequest(assignment))
	if err != nil {
		result := c.handleSendError(ctx, err, &outcome)
		c.logAttempt(assignment, result, 0, start)
		c.updateQuarantine(ctx, assignment, result, start)
		return result
	}
	defer answer.Close()
	assignment.OnAnswerStart(c.f.Clock(), isSuccess(answer.Status))
	result := c.handleAnswer(ctx, request, assignment, answer)
	c.logAttempt(assignment, result, answer.Status, start)
	c.updateQuarantine(ctx, assignment, result, start)
	switch {
	case result.final || result.reason == ReasonCallerDisconnected:
		outcome = placement.Answered
	case result.misdirected:
		outcome = placement.Replaced
	case result.err != nil:
		outcome = placement.Broken
	}
	if !result.misdirected && ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		outcome = placement.Abandoned
	}
	return result
}

// query returns what the placement table is asked for the next attempt.
func (c *call) query() placement.Query {
	q := placement.Query{
		Service: c.service, Zone: c.f.Zone, Parts: c.PromptParts, Exclude: c.tried,
		Tokens: c.PromptTokens + c.MaxOutputTokens, Target: c.targetLeft(),
	}
	if c.origin != nil {
		q.VersionOnly, q.Version = true, c.origin.Version
	}
	return q
}

// targetLeft returns how long the answer may take to begin within the route's latency target; 0 if
// there is none or its time is over.
func (c *call) targetLeft() time.Duration {
	return max(0, c.route.LatencyTarget-time.Since(c.start))
}

// updateQuarantine reports to the quarantine that the request was answered, or that the
// connection broke while an endpoint was serving it.
func (c *call) updateQuarantine(ctx context.Context, assignment *placement.Assignment, result attemptResult, start time.Time) {
	content, endpoint := c.content(), quarantineEndpoint(assignment)
	switch {
	case result.final:
		if !isSuccess(result.status) || result.unconfirmed {
			content.Parts = nil // The answer does not show that the prompt crashes no endpoint.
		}
		c.f.Quarantine.Answered(content, endpoint)
	case result.sent && result.reason == ReasonAnswerFailed && result.err != nil && ctx.Err() == nil:
		if c.f.Quarantine.Broke(ctx, content, endpoint, time.Since(start)) {
			c.crashes++
		}
	}
}

// quarantineEndpoint returns the endpoint of an assignment as the quarantine knows it.
func quarantineEndpoint(assignment *placement.Assignment) quarantine.Endpoint {
	e := assignment.Endpoint
	return quarantine.Endpoint{ID: e.ID, Address: e.Address, Born: e.Born}
}

// errTimedOutAtStart is the error of an attempt that timed out before a long answer was passed
// on.
var errTimedOutAtStart = errors.New("forward: the attempt timed out at the start of a long answer")

// errCrashedAtEnd is the error of an answer that ended with its connection, since its endpoint
// crashed.
var errCrashedAtEnd = errors.New("forward: the endpoint crashed at the end of its answer")

// finish returns the result of an answer whose end was reached. An answer that has neither a
// length nor chunks ends with its connection, like one whose endpoint crashes: for a prompt
// that other requests may share parts of, the endpoint is asked.
func (c *call) finish(ctx context.Context, assignment *placement.Assignment, a *upstream.Answer) attemptResult {
	result := finalResult(a.Status)
	if a.Framed || len(c.PromptParts) <= 1 || ctx.Err() != nil {
		return result
	}
	crashed, err := c.f.Quarantine.HasCrashed(ctx, quarantineEndpoint(assignment))
	if crashed {
		return attemptResult{reason: ReasonAnswerFailed, sent: true, err: errCrashedAtEnd}
	}
	result.unconfirmed = err != nil
	return result
}

// withAttemptTimeout limits an attempt of an idempotent request to less than the
// remaining time if another endpoint may be tried after it.
func (c *call) withAttemptTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	mayTryAnother := c.reachedCount+1 < c.route.MaxEndpoints
	timeout, limited := c.route.AttemptTimeout()
	if !limited || !mayTryAnother {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

// outgoingRequest builds the request for the assigned endpoint.
func (c *call) outgoingRequest(assignment *placement.Assignment) *upstream.Outgoing {
	return &upstream.Outgoing{
		Method: c.Method, Target: c.Target, Host: c.Host, Body: c.body,
		Header: c.f.Codec.Attempt(&c.Request, Attempt{
			Endpoint: assignment.Endpoint.ID, Organisation: c.team(), Timeout: time.Until(c.deadline),
			Urgency: c.config.Urgency(c.route, c.org, promptSizeClass(assignment.UsualPrefill, c.route.LatencyTarget)), LastEventID: c.resumedAfter, FetchFrom: assignment.FetchFrom,
		}),
		Matches: c.matchesAnswer,
		OnSend: func(via string) {
			c.via = via
			assignment.OnSend(c.f.Clock())
		},
	}
}

// resumePosition returns the ID of the last event of the stream that the caller has, of this
// answer or of the one that it resumes; "" for none.
func (c *call) resumePosition() string {
	if c.lastEventID != "" {
		return c.lastEventID
	}
	return c.LastEventID
}

// matchesAnswer reports whether an answer belongs to this request. An answer without a
// request ID does if it states that the request was not run or if it is unsigned.
func (c *call) matchesAnswer(status int, h http.Header) bool {
	reply := c.f.Codec.Reply(status, h)
	if reply.RequestID == "" {
		return reply.NotRun || !reply.Signed
	}
	return reply.RequestID == c.ID
}

// handleSendError returns the result of an attempt that got no answer, and sets
// outcome to what the placement table is to record for the endpoint.
func (c *call) handleSendError(ctx context.Context, err error, outcome *placement.Outcome) attemptResult {
	if errors.Is(ctx.Err(), context.Canceled) {
		*outcome = placement.Abandoned
	}
	c.tried = append(c.tried, c.endpoint)
	notSent := errors.Is(err, upstream.ErrNotSent)
	switch {
	case *outcome == placement.Abandoned:
	case notSent:
		*outcome = placement.Unreachable
	default:
		*outcome = placement.Broken
	}
	if notSent {
		return attemptResult{reason: ReasonUnreachable, err: err}
	}
	c.reachedCount++
	c.mayHaveRun = true
	return attemptResult{reason: ReasonAnswerFailed, sent: true, err: err}
}

// handleAnswer passes an endpoint's answer on to the caller, or returns why the attempt
// failed. ctx ends with the attempt, request with the request.
func (c *call) handleAnswer(ctx, request context.Context, assignment *placement.Assignment, a *upstream.Answer) attemptResult {
	reply := c.f.Codec.Reply(a.Status, a.Header)
	c.tried = append(c.tried, c.endpoint)
	c.recordReply(assignment, reply, a.Status)
	if reply.NotRun {
		a.DiscardBody(maxRefusalBytes, maxRefusalTime)
		if !reply.Misdirected {
			c.reachedCount++
		}
		return attemptResult{reason: ReasonEndpointsRefused, sent: true, misdirected: reply.Misdirected}
	}
	c.reachedCount++
	c.mayHaveRun = true
	success := isSuccess(a.Status)
	if success && (!reply.Signed || a.Header.Get("Content-Encoding") != "") {
		return attemptResult{reason: ReasonAnswerFailed, sent: true}
	}
	if success && c.route.Streams {
		return c.forwardStream(ctx, assignment, a)
	}
	if c.headerSent {
		return attemptResult{reason: ReasonAnswerFailed, sent: true} // An error answer can't continue a stream that has begun.
	}
	beginning := spool.NewBuffer(c.f.SlowReaders)
	defer beginning.Release()
	whole, err := beginning.Fill(a.Body, maxBufferedAnswerBytes)
	switch {
	case err != nil:
		return attemptResult{reason: ReasonAnswerFailed, sent: true, err: err}
	case !whole:
		return c.forwardLong(request, assignment, a, beginning)
	}
	buffered := &bufferedAnswer{status: a.Status, header: a.Header, body: beginning.Bytes()}
	if a.Status >= http.StatusInternalServerError {
		buffered.body = bytes.Clone(buffered.body) // It outlasts the attempt.
		return attemptResult{reason: ReasonAnswerFailed, sent: true, failure: buffered}
	}
	result := c.finish(ctx, assignment, a)
	if result.final {
		c.writeBuffered(buffered)
	}
	return result
}

// isSuccess reports whether an HTTP status is 2xx.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// writeBuffered sends a complete answer to the caller and returns its status.
func (c *call) writeBuffered(a *bufferedAnswer) int {
	c.beginAnswer(a.status, a.header, int64(len(a.body)))
	_, _ = io.Copy(c.w, bytes.NewReader(a.body))
	return a.status
}

// beginAnswer sends the status and header of an endpoint's answer that is no stream of events.
// length is that of the body in bytes, -1 if not known.
func (c *call) beginAnswer(status int, header http.Header, length int64) {
	copyHeader(c.w.Header(), header)
	if length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.timeToHeader = time.Since(c.start)
	c.headerSent = true
	c.phase = phaseCaller
	if isSuccess(status) {
		c.events = max(1, c.MaxOutputTokens) // The body's token count is unknown, so the maximum is charged.
	}
	c.w.WriteHeader(status)
}

// forwardLong passes on an answer, of which beginning was read, as it arrives, until ctx ends: no
// other endpoint can be tried after that, so the attempt has no timeout of its own. The result
// is final only if the endpoint's answer ended properly.
func (c *call) forwardLong(ctx context.Context, assignment *placement.Assignment, a *upstream.Answer, beginning *spool.Buffer) attemptResult {
	if !a.Rebind(ctx) {
		return attemptResult{reason: ReasonAnswerFailed, sent: true, err: errTimedOutAtStart}
	}
	c.beginAnswer(a.Status, a.Header, a.Length)
	spooled, caller := c.startSpool(a)
	defer func() { c.endSpool(a, spooled, caller) }()
	_, err := caller.Write(beginning.Bytes())
	beginning.Release()
	body := &readErrorRecorder{Reader: spooled}
	if err == nil {
		_, err = io.Copy(caller, body)
	}
	switch {
	case body.err != nil:
		return attemptResult{reason: streamErrorReason(ctx), sent: true, err: body.err}
	case err != nil:
		return attemptResult{reason: ReasonCallerDisconnected, sent: true}
	}
	return c.finish(ctx, assignment, a)
}

// readErrorRecorder tells an error of the reader from one of the writer that it is copied to.
type readErrorRecorder struct {
	io.Reader
	err error // nil at the end of the input.
}

// Read implements io.Reader.
func (r *readErrorRecorder) Read(into []byte) (int, error) {
	n, err := r.Reader.Read(into)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// hopByHopHeaders are the header fields that apply to a single connection and are not
// forwarded. Content-Length is among them because it is set anew for each connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyHeader copies an answer's header from src to dst without the hop-by-hop fields;
// those that dst holds for the caller's connection stay.
func copyHeader(dst, src http.Header) {
	dropped := HopByHopHeaders(src)
	for name, values := range src {
		if !slices.Contains(dropped, name) {
			dst[name] = values
		}
	}
}

// HopByHopHeaders returns the canonical names of the header fields that must not be
// forwarded: the standard ones and those that h names in its Connection field.
func HopByHopHeaders(h http.Header) []string {
	names := hopByHopHeaders
	for _, value := range h.Values("Connection") {
		for field := range bytes.SplitSeq([]byte(value), []byte(",")) {
			names = append(names[:len(names):len(names)], http.CanonicalHeaderKey(string(bytes.TrimSpace(field))))
		}
	}
	return names
}
