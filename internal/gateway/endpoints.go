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
	// endpointsPollTimeout bounds how long one read waits for a change. Heartbeats of the
	// endpoints end it long before.
	endpointsPollTimeout = 800 * time.Millisecond
	// minEndpointsPollPause limits the call rate if store.leaving_within is short.
	minEndpointsPollPause = 400 * time.Millisecond
)

// endpointsPollPause returns the pause between two reads of the endpoint list, each of which
// ends at the next heartbeat of any endpoint. It is short enough for a leaving endpoint to be
// noticed within leavingTimeout even after two reads in a row whose connections went silent:
// the first costs endpointsPollTimeout and callTimeout, the second another callTimeout.
func endpointsPollPause(leavingTimeout, callTimeout time.Duration) time.Duration {
	remaining := leavingTimeout - endpointsPollTimeout - 2*callTimeout - readDeadlineMargin
	return max(minEndpointsPollPause, min(remaining, leavingTimeout/5))
}

// endpointTracker follows the store's endpoint list and applies each change to the
// placement table and the connection pool.
type endpointTracker struct {
	platform       Platform
	placementTable *placement.Table
	pool           *upstream.Pool
	clock          func() time.Duration
	sampledLog     zerolog.Logger // For lines about single endpoints; rate limited.
	lifecycleLog   zerolog.Logger
	pollPause      time.Duration // Between two reads of the list.
	isLoaded       atomic.Bool
	freshness      *freshness
	changes        atomic.Uint64 // Number of endpoints added, restarted and removed.

	mu               sync.Mutex // Guards the fields below.
	table            *discovery.Table
	listed           map[string]bool // Endpoint IDs read since the last onReset.
	unloggedAdds     int             // Endpoints added since logAdded last wrote a line.
	storeUnavailable bool
}

// newEndpointTracker returns a tracker with an empty list; follower returns what keeps it
// current.
func newEndpointTracker(p Platform, store settings.Store, contact *storeContact, placementTable *placement.Table, pool *upstream.Pool, clock func() time.Duration, sampledLog, lifecycleLog zerolog.Logger) *endpointTracker {
	leavingTimeout := store.LeavingWithin.D()
	return &endpointTracker{
		platform: p, placementTable: placementTable, pool: pool, clock: clock, sampledLog: sampledLog, lifecycleLog: lifecycleLog, pollPause: endpointsPollPause(leavingTimeout, store.Timeout.D()),
		freshness: newFreshness(leavingTimeout, clock, contact), table: discovery.New(), listed: map[string]bool{},
	}
}

// follower returns a Follower that reads the endpoint list into the tracker.
func (e *endpointTracker) follower() *logstore.Follower {
	return &logstore.Follower{
		Log: e.platform.Store, Topic: logstore.TopicEndpoints, PollTimeout: endpointsPollTimeout, ReadInterval: e.pollPause,
		OnReadStart: e.freshness.onReadStart, OnReceive: e.freshness.onReceive, OnCaughtUp: e.freshness.onCaughtUp,
		OnReset: e.onReset, OnRecord: e.onRecord, OnLoaded: e.onListed, OnReadEnd: e.onReadOutcome,
	}
}

// onReset is called before the whole list is read again.
func (e *endpointTracker) onReset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = map[string]bool{}
}

// onRecord applies one entry of the list. An entry without a value, or one that can't be
// decoded, removes the endpoint.
func (e *endpointTracker) onRecord(r logstore.KeyedRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Value == nil {
		e.applyRemoval(r.Key, e.table.Remove(r.Key, e.clock()))
		return
	}
	decoded, err := e.platform.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		e.sampledLog.Warn().Err(err).Str("endpoint", r.Key).Msg("gateway: endpoint entry not decodable; treated as removed")
		e.applyRemoval(r.Key, e.table.Remove(r.Key, e.clock()))
		return
	}
	e.listed[r.Key] = true
	e.update(decoded)
}

// update adds or changes an endpoint. The pooled connections to one that has restarted are
// closed.
func (e *endpointTracker) update(decoded discovery.Endpoint) {
	change := e.table.Put(decoded)
	e.placementTable.Put(decoded, e.clock())
	if change == discovery.Added || change == discovery.Restarted {
		e.changes.Add(1)
	}
	switch change {
	case discovery.Restarted:
		e.pool.CloseIdle(decoded.ID)
		e.logEndpoint(decoded.ID, "endpoint restarted")
	case discovery.Added:
		e.unloggedAdds++
	case discovery.StartedLeaving:
		e.logEndpoint(decoded.ID, "endpoint leaves")
	}
}

// applyRemoval acts on the outcome of removing an entry from the table.
func (e *endpointTracker) applyRemoval(id string, change discovery.Change) {
	switch change {
	case discovery.Lapsed:
		e.logEndpoint(id, "endpoint entry lapsed around a store outage; the endpoint stays in use")
	case discovery.Removed:
		e.removeEndpoint(id)
	}
}

// removeEndpoint takes an endpoint out of placement and closes its pooled connections.
func (e *endpointTracker) removeEndpoint(id string) {
	known := e.placementTable.Remove(id, e.clock())
	e.changes.Add(1)
	e.pool.CloseIdle(id)
	e.sampledLog.Info().Str("endpoint", id).Int64("born", known.Born).Bool("limits_requests", known.LimitsRequests).
		Float64("request_limit", known.RequestLimit).Bool("leaving", known.Leaving).Msg("gateway: endpoint gone")
}

// logEndpoint logs an event of one endpoint.
func (e *endpointTracker) logEndpoint(id, event string) {
	e.sampledLog.Info().Str("endpoint", id).Msg("gateway: " + event)
}

// onListed is called after the whole list has been read. It removes the endpoints that
// the list does not contain.
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

// logAdded writes one line for all endpoints added since the last call. One line each
// would be hundreds at the start of a fleet, and rate limiting would drop other lines for
// them.
func (e *endpointTracker) logAdded() {
	if e.unloggedAdds > 0 {
		e.lifecycleLog.Info().Int("added", e.unloggedAdds).Int("endpoints", e.table.Len()).Msg("gateway: endpoints added")
		e.unloggedAdds = 0
	}
}

// onReadOutcome is called after each read with its error. It records whether the store is
// available and logs when that changes.
func (e *endpointTracker) onReadOutcome(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.table.RecordStoreFailure()
		e.freshness.onReadFailure()
	} else {
		e.table.RecordStoreSuccess(e.clock())
	}
	switch {
	case err != nil && !e.storeUnavailable:
		e.lifecycleLog.Warn().Err(err).Msg("gateway: endpoint list lost; the last one stays in use")
	case err == nil && e.storeUnavailable:
		e.lifecycleLog.Info().Msg("gateway: endpoint list readable again")
	}
	e.storeUnavailable = err != nil
}

// sweep removes lapsed endpoints whose entries were not published again in time, logs the
// endpoints added and runs the placement table's own housekeeping. It is called
// periodically.
func (e *endpointTracker) sweep() {
	e.mu.Lock()
	for _, id := range e.table.Expire(e.clock()) {
		e.removeEndpoint(id)
	}
	e.logAdded()
	e.mu.Unlock()
	e.placementTable.Sweep(e.clock())
}
