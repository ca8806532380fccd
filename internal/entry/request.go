package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavapier/internal/config"
	"guavapier/internal/decide"
	"guavapier/internal/record"
	"guavapier/internal/run"
	"guavapier/internal/upload"
)

// maxIdempotencyKeyBytes bounds an Idempotency-Key; claims store the key for as long as
// they are kept.
const maxIdempotencyKeyBytes = 255

// requestError is the response to a request that fails validation.
type requestError struct {
	status int
	problem
}

// badRequest returns a response with status 400; format and args make its message.
func badRequest(code, format string, args ...any) *requestError {
	return &requestError{status: http.StatusBadRequest, problem: invalidRequest(code, fmt.Sprintf(format, args...))}
}

func (e *requestError) write(w http.ResponseWriter) { writeProblem(w, e.status, e.problem) }

// memoryRetrySeconds is when a request may come again for whose body there was no memory.
const memoryRetrySeconds = 1

// readBody reads the request's body, bounded by MaxBodyBytes and BodyReadTimeout. release has to be
// called when the request has ended.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), reqErr *requestError) {
	deadline := time.Now().Add(a.Limits.BodyReadTimeout)
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(deadline)
	interrupt := func() { _ = connection.SetReadDeadline(time.Unix(1, 0)) }
	incoming := a.Uploads.Begin(string(authenticatedTeam(r).Name), interrupt)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	pieces, err := incoming.Receive(ctx, r.Body, r.ContentLength, a.Limits.MaxBodyBytes)
	if err != nil {
		leaveBody(w, r)
		return nil, incoming.End, a.bodyError(err)
	}
	// net/http reads the connection from here on to notice if the caller disconnects; a read
	// deadline would end that.
	_ = connection.SetReadDeadline(time.Time{})
	return bytes.Join(pieces, nil), incoming.End, nil
}

// bodyError returns the response to a request whose body was not received.
func (a *API) bodyError(err error) *requestError {
	switch {
	case errors.Is(err, upload.ErrTooLarge):
		text := fmt.Sprintf("The body is larger than %d bytes.", a.Limits.MaxBodyBytes)
		return &requestError{status: http.StatusRequestEntityTooLarge, problem: invalidRequest("body_too_large", text)}
	case errors.Is(err, upload.ErrNoRoom), errors.Is(err, upload.ErrEvicted):
		return &requestError{status: http.StatusServiceUnavailable, problem: problem{
			Type: typeServer, Code: "no_memory", Message: "There is no memory for the body at present.", Outcome: record.OutcomeNotRun, RetryAfter: memoryRetrySeconds,
		}}
	}
	return badRequest("body_unreadable", "The body did not arrive whole in time.")
}

// parseCommon parses what chat requests and service calls have in common: session,
// idempotency key and priority.
func (a *API) parseCommon(r *http.Request, body []byte) (run.Request, *requestError) {
	team := authenticatedTeam(r)
	req := run.Request{
		Team: team, Digest: requestDigest(r, body), FirstAttempt: r.Header.Get(HeaderFirstAttempt) == "true",
	}
	id, reqErr := a.verifySession(r, team.Name)
	if reqErr != nil {
		return req, reqErr
	}
	req.Session = id
	if req.Priority, reqErr = parsePriority(r, team); reqErr != nil {
		return req, reqErr
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if !isValidIdempotencyKey(key) {
		return req, badRequest("invalid_idempotency_key", "%s must be at most %d visible ASCII characters.", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	req.HasCallerKey = key != ""
	if !req.HasCallerKey {
		// No retry can refer to this request, so a key made up here never has to be remembered.
		key, req.FirstAttempt = string(record.NewRunID()), true
	}
	req.Key = record.RequestKey{Team: team.Name, Session: req.Session.ID, Key: key}
	return req, nil
}

// priorityByName maps the priority classes of the settings to those of the decider.
var priorityByName = map[string]decide.Priority{
	config.PriorityBatch:       decide.PriorityBatch,
	config.PriorityInteractive: decide.PriorityInteractive,
	config.PriorityCall:        decide.PriorityCall,
}

// parsePriority returns the priority class that the request asks for, or the default of
// its team. A class above the team's maximum is lowered to it and not refused, so that
// the fleet's operators can lower the maximum without breaking callers.
func parsePriority(r *http.Request, team config.Team) (decide.Priority, *requestError) {
	text := r.Header.Get(HeaderPriority)
	if text == "" {
		return priorityByName[team.Priority], nil
	}
	p, err := strconv.Atoi(text)
	if err != nil || p < int(decide.PriorityBatch) || p > int(decide.PriorityCall) {
		return 0, badRequest("invalid_priority", "%s must be between %d and %d.", HeaderPriority, decide.PriorityBatch, decide.PriorityCall)
	}
	return min(decide.Priority(p), priorityByName[team.MaxPriority]), nil
}

// isValidIdempotencyKey reports whether key is short enough and consists of visible ASCII
// characters. An empty key is valid: the header may be absent.
func isValidIdempotencyKey(key string) bool {
	visible := func(c rune) bool { return c > ' ' && c <= '~' }
	return len(key) <= maxIdempotencyKeyBytes && strings.IndexFunc(key, func(c rune) bool { return !visible(c) }) < 0
}

// requestDigest returns a hash of the request's method, path, query and body, by which
// two different requests with the same idempotency key are told apart.
func requestDigest(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.URL.EscapedPath(), r.URL.RawQuery} {
		_, _ = h.WriteString(part)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(body)
	return h.Sum64()
}
