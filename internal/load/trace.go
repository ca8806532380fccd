package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is the type of a class's requests.
type Kind string

// Kinds of requests.
const (
	KindStream Kind = "stream" // A streamed chat completion.
	KindWhole  Kind = "whole"  // A chat completion that isn't streamed.
	KindCall   Kind = "call"   // A call to a plain service.
)

// ClassSpec is a line {"class": ...} of a trace: a class of requests and the
// limits that its outcomes are checked against. Wrong and partial answers are
// never allowed.
type ClassSpec struct {
	Name     string `json:"name"`
	Kind     Kind   `json:"kind"`
	Priority int    `json:"priority,omitempty"`
	Service  string `json:"service,omitempty"` // The called service; only for KindCall.
	Path     string `json:"path,omitempty"`    // The path within the service, with a leading slash; only for KindCall.
	// MaxFirstTokenMs and MaxTotalMs are the limits, in milliseconds, for the
	// time to the first token and to the end of the answer; 0 is no limit. An
	// answer beyond either is late.
	MaxFirstTokenMs int64 `json:"first_ms,omitempty"`
	MaxTotalMs      int64 `json:"whole_ms,omitempty"`
	// Shares from 0 to 1: MinAnswered is the required share of answered
	// requests, MaxLate the allowed share of late ones among those, MaxUnknown
	// the allowed share of requests with an unknown outcome.
	MinAnswered float64 `json:"answered"`
	MaxLate     float64 `json:"late"`
	MaxUnknown  float64 `json:"unknown"`
}

// Request is a line {"request": ...} of a trace.
type Request struct {
	StartMs int64  `json:"at_ms"` // Milliseconds after the start of the trace.
	Class   string `json:"class"` // The name of a class defined above the request.
	// ID is sent as the Idempotency-Key. It is unique in the trace.
	ID      string `json:"id"`
	Session string `json:"session"`          // Any name; empty for none.
	Bytes   int    `json:"bytes"`            // Size of the padding in the prompt or in the call's body.
	Tokens  int    `json:"tokens,omitempty"` // max_tokens of a chat request, and the length of its answer.
	// DuplicateAfterMs is the delay, in milliseconds, after which the request is
	// sent a second time, to the next target, although the first one may still
	// be in progress; 0 is never.
	DuplicateAfterMs int64 `json:"again_ms,omitempty"`
}

// start returns the time of the request since the start of the trace.
func (r Request) start() time.Duration { return time.Duration(r.StartMs) * time.Millisecond }

// Trace is the content of a trace file. Requests are ordered by StartMs.
type Trace struct {
	Classes  []ClassSpec
	Requests []Request
}

// classSpec returns the class of a name, or the zero value.
func (t Trace) classSpec(name string) ClassSpec {
	for _, c := range t.Classes {
		if c.Name == name {
			return c
		}
	}
	return ClassSpec{}
}

// Findings is an error that lists everything invalid in a trace, each entry with
// file and line.
type Findings []string

// Error implements error.
func (f Findings) Error() string { return strings.Join(f, "\n") }

// traceLine is a line of a trace: either a class or a request.
type traceLine struct {
	Class   *ClassSpec `json:"class"`
	Request *Request   `json:"request"`
}

// ReadTrace reads and validates a trace file of JSON lines, each {"class": ...}
// or {"request": ...}; see ClassSpec and Request. Empty lines are skipped. The
// error is Findings if the file could be read but is invalid.
func ReadTrace(path string) (Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Trace{}, eris.Wrap(err, "load: read trace")
	}
	return parseTrace(path, data)
}

// parseTrace parses the content of a trace file of that name.
func parseTrace(name string, data []byte) (Trace, error) {
	var t Trace
	c := traceParser{trace: &t, ids: map[string]bool{}}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; lines.Scan(); n++ {
		c.location = fmt.Sprintf("%s:%d", name, n)
		if text := bytes.TrimSpace(lines.Bytes()); len(text) > 0 {
			c.parseLine(text)
		}
	}
	if err := lines.Err(); err != nil {
		c.addf("%v", err)
	}
	if len(t.Requests) == 0 {
		c.addf("the trace has no requests")
	}
	if len(c.findings) > 0 {
		return Trace{}, c.findings
	}
	return t, nil
}

// traceParser builds a trace from its lines and collects what is invalid.
type traceParser struct {
	trace       *Trace
	location    string // File and line of the current line.
	ids         map[string]bool
	lastStartMs int64 // Of the previous request.
	findings    Findings
}

// addf adds a finding at the current line.
func (c *traceParser) addf(format string, args ...any) {
	c.findings = append(c.findings, c.location+": "+fmt.Sprintf(format, args...))
}

// parseLine decodes a line and adds its class or request. Unknown fields are
// findings.
func (c *traceParser) parseLine(text []byte) {
	var parsed traceLine
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&parsed); err != nil {
		c.addf("%v", err)
		return
	}
	switch {
	case parsed.Class != nil && parsed.Request == nil:
		c.addClass(*parsed.Class)
	case parsed.Request != nil && parsed.Class == nil:
		c.addRequest(*parsed.Request)
	default:
		c.addf("a line has either a class or a request")
	}
}

// addClass validates a class and adds it, also if it is invalid, so that its
// requests aren't reported too.
func (c *traceParser) addClass(s ClassSpec) {
	if s.Name == "" || c.trace.classSpec(s.Name).Name != "" {
		c.addf("class: name %q is missing or not unique", s.Name)
	}
	switch s.Kind {
	case KindStream, KindWhole:
	case KindCall:
		if s.Service == "" || !strings.HasPrefix(s.Path, "/") {
			c.addf("class: a call needs a service and a path that begins with a slash")
		}
	default:
		c.addf("class: kind %q; allowed: stream, whole, call", s.Kind)
	}
	for _, share := range []float64{s.MinAnswered, s.MaxLate, s.MaxUnknown} {
		if share < 0 || share > 1 {
			c.addf("class: share %v; allowed: 0 to 1", share)
		}
	}
	c.trace.Classes = append(c.trace.Classes, s)
}

// addRequest validates a request and adds it to the trace.
func (c *traceParser) addRequest(r Request) {
	class := c.trace.classSpec(r.Class)
	if class.Name == "" {
		c.addf("request: no class %q is defined above", r.Class)
	}
	if r.ID == "" || c.ids[r.ID] {
		c.addf("request: id %q is missing or not unique", r.ID)
	}
	if r.StartMs < c.lastStartMs {
		c.addf("request: at_ms %d is less than in the previous request", r.StartMs)
	}
	if class.Kind != KindCall && r.Tokens < 1 {
		c.addf("request: tokens must be at least 1 for a chat request")
	}
	if r.Bytes < 0 || r.DuplicateAfterMs < 0 {
		c.addf("request: bytes and again_ms must not be negative")
	}
	c.ids[r.ID], c.lastStartMs = true, r.StartMs
	c.trace.Requests = append(c.trace.Requests, r)
}
