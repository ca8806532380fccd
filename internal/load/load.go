// Package load replays a trace of callers' requests over HTTP and checks the
// outcomes against the limits that the trace sets for each class of request.
//
// It behaves as a robust client does: after a failed connection it retries at
// another instance with the same Idempotency-Key, it resumes a stream after the
// last event that it received, and it retries a refused request after the time
// in Retry-After.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoTarget is returned if Options.Targets is empty.
var ErrNoTarget = eris.New("load: no target URL given")

// Options configures a replay.
type Options struct {
	// TracePath is the trace file; see ReadTrace. Replay ignores it.
	TracePath string
	// Targets are the base URLs of the instances. Requests and their retries use
	// them in rotation.
	Targets []string
	// APIKey is the team's API key.
	APIKey string
	// Speed is the factor by which the requests are sent faster than recorded;
	// 0 or less means 1.
	Speed float64
	// Direct means that Targets are engines, which serves as the baseline for
	// the latency that the instances add. Calls of plain services are skipped.
	Direct bool
	// StandIn means that the endpoints are those of package standin, so that
	// the content of each answer can be checked.
	StandIn bool
}

// Run reads and replays the trace at o.TracePath; see Replay. An invalid trace
// is returned as Findings.
func Run(ctx context.Context, o Options) (Report, error) {
	trace, err := ReadTrace(o.TracePath)
	if err != nil {
		return Report{}, err
	}
	return Replay(ctx, trace, o)
}

// Replay replays a trace and returns when each request that was sent has its
// outcome. If ctx ends before, the rest of the trace isn't sent, and the error
// is that of ctx beside the report.
func Replay(ctx context.Context, trace Trace, o Options) (Report, error) {
	if len(o.Targets) == 0 {
		return Report{}, ErrNoTarget
	}
	if o.Speed <= 0 {
		o.Speed = 1
	}
	p := newReplayer(o)
	defer p.close()
	if err := p.openSessions(ctx, trace); err != nil {
		return Report{}, err
	}
	classes := newStatsByClass(trace)
	startedAt := time.Now()
	var callers sync.WaitGroup
	for index, r := range trace.Requests {
		class := trace.classSpec(r.Class)
		if o.Direct && class.Kind == KindCall {
			continue
		}
		if !sleepUntil(ctx, startedAt.Add(time.Duration(float64(r.start())/o.Speed))) {
			break
		}
		callers.Go(func() { classes.record(r, p.sendWithDuplicate(ctx, index, r, class)) })
	}
	callers.Wait()
	return classes.report(time.Since(startedAt)), ctx.Err()
}

// sleepUntil reports whether the time was reached before ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
