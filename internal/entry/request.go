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

// maxKeyBytes bounds an Idempotency-Key; claims keep it for their window.
const maxKeyBytes = 255

// refusal is a request's final answer by its form alone.
type refusal struct {
	status int
	problem
}

func badRequest(code, format string, args ...any) *refusal {
	return &refusal{status: http.StatusBadRequest, problem: invalid(code, fmt.Sprintf(format, args...))}
}

func (f *refusal) write(w http.ResponseWriter) { writeProblem(w, f.status, f.problem) }

// readBody reads a bounded body within the limit of time.
func (c *Callers) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(c.Limits.Read))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.Limits.BodyBytes))
	// The server watches the connection for the caller's leaving from here on.
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		text := fmt.Sprintf("The body is larger than %d bytes.", tooLarge.Limit)
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, problem: invalid("body_too_large", text)}
	case err != nil:
		return nil, badRequest("body_unreadable", "The body did not arrive whole in time.")
	}
	return body, nil
}

// common reads what all requests have in common: session, key, priority.
func (c *Callers) common(r *http.Request, body []byte) (run.Request, *refusal) {
	team := teamOf(r)
	q := run.Request{
		Team: team, Digest: digest(r, body), FirstAttempt: r.Header.Get(HeaderFirst) == "true",
	}
	id, refused := c.session(r, team.Name)
	if refused != nil {
		return q, refused
	}
	q.Session = id
	if q.Priority, refused = priorityOf(r, team); refused != nil {
		return q, refused
	}
	key := r.Header.Get(HeaderKey)
	if !validKey(key) {
		return q, badRequest("invalid_idempotency_key", "%s must be at most %d visible ASCII characters.", HeaderKey, maxKeyBytes)
	}
	q.HasCallerKey = key != ""
	if !q.HasCallerKey {
		// No retry can name this request again, so the key needs no memory.
		key, q.FirstAttempt = string(record.NewRunID()), true
	}
	q.Key = record.RequestKey{Team: team.Name, Session: q.Session.ID, Key: key}
	return q, nil
}

// classes are the decisions' names of the settings' priority classes.
var classes = map[string]decide.Priority{
	config.PriorityBatch:       decide.PriorityBatch,
	config.PriorityInteractive: decide.PriorityInteractive,
	config.PriorityCall:        decide.PriorityCall,
}

// priorityOf returns the class that a request names, or its team's default. A
// class above what the team may name is lowered, not refused: the fleet's
// operators may change the bound while callers go on as before.
func priorityOf(r *http.Request, team config.Team) (decide.Priority, *refusal) {
	text := r.Header.Get(HeaderPriority)
	if text == "" {
		return classes[team.Priority], nil
	}
	p, err := strconv.Atoi(text)
	if err != nil || p < int(decide.PriorityBatch) || p > int(decide.PriorityCall) {
		return 0, badRequest("invalid_priority", "%s must be between %d and %d.", HeaderPriority, decide.PriorityBatch, decide.PriorityCall)
	}
	return min(decide.Priority(p), classes[team.MaxPriority]), nil
}

func validKey(key string) bool {
	visible := func(c rune) bool { return c > ' ' && c <= '~' }
	return len(key) <= maxKeyBytes && strings.IndexFunc(key, func(c rune) bool { return !visible(c) }) < 0
}

// digest tells requests under one key apart: by method, path, query and body.
func digest(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.URL.EscapedPath(), r.URL.RawQuery} {
		_, _ = h.WriteString(part)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(body)
	return h.Sum64()
}
