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

// Kind tells what a class's requests are.
type Kind string

// The kinds of request.
const (
	KindStream Kind = "stream" // A streamed chat completion.
	KindWhole  Kind = "whole"  // A chat completion in one answer.
	KindCall   Kind = "call"   // A call of a plain service.
)

// ClassSpec is a line {"class": ...}: a class of requests and its stated
// outcomes. Wrong and partial answers are never allowed.
type ClassSpec struct {
	Name     string `json:"name"`
	Kind     Kind   `json:"kind"`
	Priority int    `json:"priority,omitempty"`
	Service  string `json:"service,omitempty"` // For calls.
	Path     string `json:"path,omitempty"`    // For calls, below the service.
	// MaxFirstTokenMs and WholeMs bound the time to the first token and to the whole
	// answer; 0 is no bound. An answer outside is late.
	MaxFirstTokenMs int64 `json:"first_ms,omitempty"`
	MaxTotalMs      int64 `json:"whole_ms,omitempty"`
	// MinAnswered is the least share of whole answers, Late the largest share of
	// late ones among them. Unknown is the largest share of unknown outcomes.
	MinAnswered float64 `json:"answered"`
	MaxLate     float64 `json:"late"`
	MaxUnknown  float64 `json:"unknown"`
}

// Request is a line {"request": ...}.
type Request struct {
	StartMs int64  `json:"at_ms"`
	Class   string `json:"class"`
	// ID is the Idempotency-Key, unique in the trace.
	ID      string `json:"id"`
	Session string `json:"session"`
	Bytes   int    `json:"bytes"`            // Size of the prompt or of the call's body.
	Tokens  int    `json:"tokens,omitempty"` // Length of the answer of a chat request.
	// DuplicateAfterMs is after how long the caller sends the request a second time, to
	// another instance, while the first one may still run; 0 is never.
	DuplicateAfterMs int64 `json:"again_ms,omitempty"`
}

func (r Request) start() time.Duration { return time.Duration(r.StartMs) * time.Millisecond }

// Trace is a trace file, the requests in the order of their times.
type Trace struct {
	Classes  []ClassSpec
	Requests []Request
}

func (t Trace) classSpec(name string) ClassSpec {
	for _, c := range t.Classes {
		if c.Name == name {
			return c
		}
	}
	return ClassSpec{}
}

// Findings is all that is wrong with a trace, each with its place.
type Findings []string

// Error implements error.
func (f Findings) Error() string { return strings.Join(f, "\n") }

type traceLine struct {
	Class   *ClassSpec `json:"class"`
	Request *Request   `json:"request"`
}

// ReadTrace reads and checks a trace file. The error is Findings if the file
// was read.
func ReadTrace(path string) (Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Trace{}, eris.Wrap(err, "load: read trace")
	}
	return parseTrace(path, data)
}

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
		c.addf("no requests")
	}
	if len(c.findings) > 0 {
		return Trace{}, c.findings
	}
	return t, nil
}

// traceParser collects what is wrong with a trace.
type traceParser struct {
	trace       *Trace
	location    string
	ids         map[string]bool
	lastStartMs int64
	findings    Findings
}

func (c *traceParser) addf(format string, args ...any) {
	c.findings = append(c.findings, c.location+": "+fmt.Sprintf(format, args...))
}

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

func (c *traceParser) addClass(s ClassSpec) {
	if s.Name == "" || c.trace.classSpec(s.Name).Name != "" {
		c.addf("class: name %q is missing or stands twice", s.Name)
	}
	switch s.Kind {
	case KindStream, KindWhole:
	case KindCall:
		if s.Service == "" || !strings.HasPrefix(s.Path, "/") {
			c.addf("class: a call needs a service and a path with a slash in front")
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

func (c *traceParser) addRequest(r Request) {
	class := c.trace.classSpec(r.Class)
	if class.Name == "" {
		c.addf("request: no class %q above", r.Class)
	}
	if r.ID == "" || c.ids[r.ID] {
		c.addf("request: id %q is missing or stands twice", r.ID)
	}
	if r.StartMs < c.lastStartMs {
		c.addf("request: at_ms %d is before the line above", r.StartMs)
	}
	if class.Kind != KindCall && r.Tokens < 1 {
		c.addf("request: tokens must be at least 1")
	}
	if r.Bytes < 0 || r.DuplicateAfterMs < 0 {
		c.addf("request: bytes and again_ms must not be negative")
	}
	c.ids[r.ID], c.lastStartMs = true, r.StartMs
	c.trace.Requests = append(c.trace.Requests, r)
}
