package gateway

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"
)

const (
	// readinessTimeout is how long a readiness probe waits for the conditions to be read. Reading
	// them takes microseconds, unless one waits for a lock.
	readinessTimeout = 100 * time.Millisecond
	// maxReadinessAge is how old the last reading may be for an instance that counts as ready: one
	// whose locks are held for longer serves no callers either.
	maxReadinessAge = 2 * time.Second
)

// readyCondition is a condition under which the load balancer should send callers to an instance.
type readyCondition struct {
	name  string // As in the log.
	isMet func() bool
}

// readiness tells whether an instance is ready: whether all conditions are met. It answers without
// waiting for a condition that can't be read, and logs what is lacking when that changes. It is
// safe for concurrent use.
type readiness struct {
	conditions []readyCondition
	clock      func() time.Duration
	log        zerolog.Logger
	sampledLog zerolog.Logger // For readings that take too long; may drop some.

	group   singleflight.Group              // Of readings; one at a time.
	reading atomic.Pointer[string]          // Name of the condition that is being read.
	latest  atomic.Pointer[readinessResult] // nil before the first reading.
}

// readinessResult is a reading of all conditions.
type readinessResult struct {
	lacking string        // Names of the conditions that are not met; "" if the instance is ready.
	at      time.Duration // When the reading began.
}

// isReady reads the conditions and reports whether all are met. If that takes longer than
// readinessTimeout, the last reading counts.
func (r *readiness) isReady() bool {
	done := r.group.DoChan("", func() (any, error) { r.read(); return nil, nil })
	timer := time.NewTimer(readinessTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		r.logSlowReading()
	}
	latest := r.latest.Load()
	return latest != nil && latest.lacking == "" && r.clock()-latest.at < maxReadinessAge
}

// logSlowReading logs which condition a reading waits for; none if it has not begun.
func (r *readiness) logSlowReading() {
	condition := ""
	if name := r.reading.Load(); name != nil {
		condition = *name
	}
	r.sampledLog.Warn().Str("condition", condition).Msg("gateway: readiness not read in time; the last reading counts")
}

// read reads the conditions and logs when what is lacking has changed.
func (r *readiness) read() {
	result := &readinessResult{at: r.clock()}
	var lacking []string
	for _, c := range r.conditions {
		r.reading.Store(&c.name)
		if !c.isMet() {
			lacking = append(lacking, c.name)
		}
	}
	r.reading.Store(nil)
	result.lacking = strings.Join(lacking, ", ")
	if previous := r.latest.Swap(result); previous == nil || previous.lacking != result.lacking {
		r.log.Info().Bool("ready", result.lacking == "").Str("lacking", result.lacking).Msg("gateway: readiness changed")
	}
}

// newReadiness returns the readiness of the instance. Losing the store does not end it: the
// instance keeps serving from its last copies. Losing the links to endpoints does only if other
// instances can't help.
func (g *Gateway) newReadiness() *readiness {
	return &readiness{clock: g.clock, log: g.log, sampledLog: g.sampledLog, conditions: []readyCondition{
		{"not draining", func() bool { return !g.isDraining.Load() }},
		{"desired state", func() bool { return g.config.Load() != nil }},
		{"endpoints", g.endpoints.isLoaded.Load},
		{"budgets", g.budgets.IsLoaded},
		{"quarantine", g.quarantine.Loaded},
		{"link with room", func() bool { return !g.linkShedder.IsShedding() }},
		{"current copies", func() bool { return !g.isOutdated() }},
		{"reachable endpoints", func() bool { return !g.isolation.isIsolated() }},
	}}
}

// isReady reports whether the load balancer should send callers to this instance. A drain ends
// that at once, whatever the other conditions wait for.
func (g *Gateway) isReady() bool { return !g.isDraining.Load() && g.readiness.isReady() }
