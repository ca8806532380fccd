// Package load replays a recorded trace of callers' requests over HTTP and
// reports the outcomes for each class of request.
package load

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoTrace says that the options name no trace.
var ErrNoTrace = eris.New("load: no trace file named")

// Options set a replay.
type Options struct {
	// Trace is the file of the trace, JSON lines; see examples/traces.
	Trace string
	// Targets are the instances' base URLs, used in turn.
	Targets []string
	// Key is the team's API key.
	Key string
	// Speed divides the trace's times; 1 replays as recorded, 0 means 1.
	Speed float64
	// Direct sends chat requests straight to an engine at Targets, to measure
	// what the router adds.
	Direct bool
}

// Report is the outcome of a replay.
type Report struct {
	Took    time.Duration `json:"took"`
	Classes []Class       `json:"classes"`
	// Broken lists the stated outcomes that were not met; empty if all were.
	Broken []string `json:"broken"`
}

// Class is the outcome for one class of requests.
type Class struct {
	Name     string `json:"name"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"` // Whole answers.
	NotRun   int    `json:"not_run"`
	Unknown  int    `json:"unknown"`
	Partial  int    `json:"partial"` // Answers that ended without a closing.
	Wrong    int    `json:"wrong"`   // Answers that were another request's.
	Late     int    `json:"late"`    // Whole answers after the stated time.
	// The quantiles of the time to the first byte of content and to the whole
	// answer, of answered requests.
	FirstP50 time.Duration `json:"first_p50"`
	FirstP99 time.Duration `json:"first_p99"`
	WholeP50 time.Duration `json:"whole_p50"`
	WholeP99 time.Duration `json:"whole_p99"`
}

// Run replays a trace. It returns when every request has its outcome.
func Run(_ context.Context, o Options) (Report, error) {
	if o.Trace == "" {
		return Report{}, ErrNoTrace
	}
	return Report{}, eris.New("load: replay is not built yet")
}
