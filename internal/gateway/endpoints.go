package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/discovery"
	"guavapier/internal/logstore"
	"guavapier/internal/placement"
	"guavapier/internal/settings"
	"guavapier/internal/upstream"
)

const (
	// endpointsPollTimeout is the longest wait of one read. Heartbeats end it long before.
	endpointsPollTimeout = 800 * time.Millisecond
	// minEndpointsPollPause keeps the calls few where the time is short.
	minEndpointsPollPause = 400 * time.Millisecond
)

// endpointsPollPause spaces the reads of the endpoint list: every heartbeat of every
// endpoint ends a read. A connection that fell silent costs endpointsWait and a call's
// timeout, the next one another, and a leaving endpoint is still noticed in time.
func endpointsPollPause(leavingTimeout, callTimeout time.Duration) time.Duration {
	remaining := leavingTimeout - endpointsPollTimeout - 2*callTimeout - readDeadlineMargin
	return max(minEndpointsPollPause, min(remaining, leavingTimeout/5))
}

// endpointTracker keeps the endpoint table current and hands it to the placement.
type endpointTracker struct {
	platform       Platform
	placementTable *placement.Table
	pool           *upstream.Pool
	clock          func() time.Duration
	sampledLog     zerolog.Logger // For lines of single endpoints; thinned.
	lifecycleLog   zerolog.Logger
	pollPause      time.Duration // Between two reads.
	isLoaded       atomic.Bool
	freshness      *freshness

	mu               sync.Mutex // Guards what follows.
	table            *discovery.Table
	listed           map[string]bool // Since the last reset.
	unloggedAdds     int             // Since they were last told.
	storeUnavailable bool
}

func newEndpointTracker(p Platform, store settings.Store, placementTable *placement.Table, pool *upstream.Pool, clock func() time.Duration, sampledLog, lifecycleLog zerolog.Logger) *endpointTracker {
	leavingTimeout := store.LeavingWithin.D()
	return &endpointTracker{
		platform: p, placementTable: placementTable, pool: pool, clock: clock, sampledLog: sampledLog, lifecycleLog: lifecycleLog, pollPause: endpointsPollPause(leavingTimeout, store.Timeout.D()),
		freshness: newFreshness(leavingTimeout, clock), table: discovery.New(), listed: map[string]bool{},
	}
}

func (e *endpointTracker) follower() *logstore.Follower {
	return &logstore.Follower{
		Log: e.platform.Store, Topic: logstore.TopicEndpoints, Wait: endpointsPollTimeout, Pause: e.pollPause,
		Begin: e.freshness.onReadStart, Came: e.freshness.onReceive, Current: e.freshness.onCaughtUp,
		Reset: e.onReset, Record: e.onRecord, Loaded: e.onListed, Outcome: e.onReadOutcome,
	}
}

func (e *endpointTracker) onReset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = map[string]bool{}
}

func (e *endpointTracker) onRecord(r logstore.KeyedRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Value == nil {
		e.applyRemoval(r.Key, e.table.Remove(r.Key, e.clock()))
		return
	}
	decoded, err := e.platform.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		e.sampledLog.Warn().Err(err).Str("endpoint", r.Key).Msg("gateway: entry names no endpoint to use")
		e.applyRemoval(r.Key, e.table.Remove(r.Key, e.clock()))
		return
	}
	e.listed[r.Key] = true
	e.update(decoded)
}

func (e *endpointTracker) update(decoded discovery.Endpoint) {
	change := e.table.Put(decoded)
	if change == discovery.Unchanged {
		return
	}
	e.placementTable.Put(decoded)
	switch change {
	case discovery.Reborn:
		e.pool.Forget(decoded.ID)
		e.logEndpoint(decoded.ID, "endpoint started again")
	case discovery.Added:
		e.unloggedAdds++
	case discovery.LeavingNow:
		e.logEndpoint(decoded.ID, "endpoint leaves")
	}
}

// applyRemoval follows the end of an entry.
func (e *endpointTracker) applyRemoval(id string, change discovery.Change) {
	switch change {
	case discovery.Lapsed:
		e.logEndpoint(id, "entry lapsed around an outage; the endpoint stays in use")
	case discovery.Gone:
		e.removeEndpoint(id)
	}
}

func (e *endpointTracker) removeEndpoint(id string) {
	e.placementTable.Remove(id)
	e.pool.Forget(id)
	e.logEndpoint(id, "endpoint gone")
}

func (e *endpointTracker) logEndpoint(id, event string) {
	e.sampledLog.Info().Str("endpoint", id).Msg("gateway: " + event)
}

// onListed ends what a full listing does not name.
func (e *endpointTracker) onListed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range e.table.Retain(e.listed, e.clock()) {
		if !e.table.Has(id) {
			e.removeEndpoint(id)
		}
	}
	if !e.isLoaded.Swap(true) {
		e.lifecycleLog.Info().Int("endpoints", len(e.listed)).Msg("gateway: endpoints listed")
	}
}

// logAdded writes one line for all endpoints that have come since the last one:
// hundreds of lines at the start of a fleet would crowd out all others.
func (e *endpointTracker) logAdded() {
	if e.unloggedAdds > 0 {
		e.lifecycleLog.Info().Int("added", e.unloggedAdds).Int("endpoints", e.table.Len()).Msg("gateway: endpoints added")
		e.unloggedAdds = 0
	}
}

func (e *endpointTracker) onReadOutcome(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.table.StoreFailed()
		e.freshness.onReadFailure()
	} else {
		e.table.StoreAnswered(e.clock())
	}
	switch {
	case err != nil && !e.storeUnavailable:
		e.lifecycleLog.Warn().Err(err).Msg("gateway: endpoint list lost; the last one stays in use")
	case err == nil && e.storeUnavailable:
		e.lifecycleLog.Info().Msg("gateway: endpoint list regained")
	}
	e.storeUnavailable = err != nil
}

// sweep ends lapsed endpoints that did not come back, and forgets old parts.
func (e *endpointTracker) sweep() {
	e.mu.Lock()
	for _, id := range e.table.Expire(e.clock()) {
		e.removeEndpoint(id)
	}
	e.logAdded()
	e.mu.Unlock()
	e.placementTable.Sweep(e.clock())
}
