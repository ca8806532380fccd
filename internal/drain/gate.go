// Package drain decides which requests an instance that is about to end still
// takes: those that end before it does. It knows no network.
package drain

import (
	"sync/atomic"
	"time"
)

// margin is kept between a request's end and the instance's, for timers that
// fire late on a busy processor and the last bytes' way over a slow link.
const margin = 250 * time.Millisecond

// Gate decides what is taken.
//
// Load: an instance that is restarted alone, among several, or with most of its
// availability zone, and callers that still come over kept connections or since
// the balancer has not seen it leave. Harm prevented: a stream that is cut at
// the end of the drain, where another instance would have served it; an
// instance of a zone that leaves with it refuses too, or serves it as far as it
// has time. Limits: what was under way at the signal is never refused, and
// what ends in time by all that is known is taken.
type Gate struct {
	durations *Durations
	plan      atomic.Pointer[Plan]
}

// Plan is when a drain does what.
type Plan struct {
	Began time.Time
	// Strict is from when on only those requests are taken whose callers leave
	// before the end. By then callers have had the time to go elsewhere, so what
	// usually ends in time is no longer enough.
	Strict time.Time
	// Ends is when requests still under way are cut.
	Ends time.Time
}

// Arrival is a caller's request that asks to be taken.
type Arrival struct {
	Route string
	// Resumable says that its caller goes on elsewhere after a cut. That costs as
	// much as a refusal, and by then the balancer leads to other instances only.
	Resumable bool
	Began     time.Time
	// Deadline is when its caller leaves or its time is over.
	Deadline time.Time
}

// NewGate returns a gate that takes everything until it is closed.
func NewGate() *Gate { return &Gate{durations: NewDurations()} }

// Close begins a drain.
func (g *Gate) Close(p Plan) { g.plan.Store(&p) }

// Begin notes that a request is sent to an endpoint; its end tells how long such
// a send lasts.
func (g *Gate) Begin(route string, now time.Time) *Sending { return g.durations.Begin(route, now) }

// Takes says whether the request may be sent to an endpoint now. It is to be
// asked again after each wait, since less time is left then.
func (g *Gate) Takes(a Arrival, now time.Time) bool {
	p := g.plan.Load()
	switch {
	case p == nil || a.Began.Before(p.Began):
		return true
	case !a.Deadline.After(p.Ends.Add(-margin)):
		return true
	case !now.Before(p.Strict):
		return false
	case a.Resumable:
		return true
	}
	return g.durations.EndWithin(a.Route, p.Ends.Add(-margin).Sub(now), now)
}
