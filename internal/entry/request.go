package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavapier/internal/config"
	"guavapier/internal/decide"
	"guavapier/internal/record"
	"guavapier/internal/run"
)

// maxIdempotencyKeyBytes bounds an Idempotency-Key; claims keep it for their window.
const maxIdempotencyKeyBytes = 255

// requestError is a request's final answer by its form alone.
type requestError struct {
	status int
	problem
}

func badRequest(code, format string, args ...any) *requestError {
	return &requestError{status: http.StatusBadRequest, problem: invalidRequest(code, fmt.Sprintf(format, args...))}
}

func (e *requestError) write(w http.ResponseWriter) { writeProblem(w, e.status, e.problem) }

// readBody reads a bounded body within the limit of time.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *requestError) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(a.Limits.BodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.Limits.MaxBodyBytes))
	// The server watches the connection for the caller's leaving from here on.
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		text := fmt.Sprintf("The body is larger than %d bytes.", tooLarge.Limit)
		return nil, &requestError{status: http.StatusRequestEntityTooLarge, problem: invalidRequest("body_too_large", text)}
	case err != nil:
		return nil, badRequest("body_unreadable", "The body did not arrive whole in time.")
	}
	return body, nil
}

// parseCommon reads what all requests have in common: session, key, priority.
func (a *API) parseCommon(r *http.Request, body []byte) (run.Request, *requestError) {
	team := authenticatedTeam(r)
	req := run.Request{
		Team: team, Digest: requestDigest(r, body), First: r.Header.Get(HeaderFirstAttempt) == "true",
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
	req.Keyed = key != ""
	if !req.Keyed {
		// No retry can name this request again, so the key needs no memory.
		key, req.First = string(record.NewRunID()), true
	}
	req.Key = record.RequestKey{Team: team.Name, Session: req.Session.ID, Key: key}
	return req, nil
}

// priorityByName are the decisions' names of the settings' priority classes.
var priorityByName = map[string]decide.Priority{
	config.PriorityBatch:       decide.PriorityBatch,
	config.PriorityInteractive: decide.PriorityInteractive,
	config.PriorityCall:        decide.PriorityCall,
}

// parsePriority returns the class that a request names, or its team's default. A
// class above what the team may name is lowered, not refused: the fleet's
// operators may change the bound while callers go on as before.
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

func isValidIdempotencyKey(key string) bool {
	visible := func(c rune) bool { return c > ' ' && c <= '~' }
	return len(key) <= maxIdempotencyKeyBytes && strings.IndexFunc(key, func(c rune) bool { return !visible(c) }) < 0
}

// requestDigest tells requests under one key apart: by method, path, query and body.
func requestDigest(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.URL.EscapedPath(), r.URL.RawQuery} {
		_, _ = h.WriteString(part)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(body)
	return h.Sum64()
}
