// Package load replays a trace of callers' requests over HTTP and compares the
// outcomes with those that the trace states for each class of request.
//
// It acts as careful callers do: it retries with the same Idempotency-Key at
// another instance when its connection fails, goes on from the last event of a
// stream, and comes back when a refusal says so.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoTarget says that the options name no target.
var ErrNoTarget = eris.New("load: no target named")

// Options set a replay.
type Options struct {
	// TracePath is the file of the trace, JSON lines; see ReadTrace.
	TracePath string
	// Targets are the instances' base URLs, used in turn.
	Targets []string
	// APIKey is the team's API key.
	APIKey string
	// Speed divides the trace's times; 1 replays as recorded, 0 means 1.
	Speed float64
	// Direct sends chat requests straight to engines at Targets, to measure
	// what the router adds. Calls of plain services are left out.
	Direct bool
	// StandIn says that stand-ins answer, so that each answer's content can be
	// checked.
	StandIn bool
}

// Run replays a trace. It returns when every request has its outcome.
func Run(ctx context.Context, o Options) (Report, error) {
	trace, err := ReadTrace(o.TracePath)
	if err != nil {
		return Report{}, err
	}
	return Replay(ctx, trace, o)
}

// Replay replays a trace that was read before.
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
