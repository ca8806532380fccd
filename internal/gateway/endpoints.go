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
	// endpointsWait is the longest wait of one read. Heartbeats end it long before.
	endpointsWait = 800 * time.Millisecond
	// endpointsLeastPause keeps the calls few where the time is short.
	endpointsLeastPause = 400 * time.Millisecond
)

// endpointsPause spaces the reads of the endpoint list: every heartbeat of every
// endpoint ends a read. A connection that fell silent costs endpointsWait and a call's
// timeout, the next one another, and a leaving endpoint is still noticed in time.
func endpointsPause(leavingWithin, timeout time.Duration) time.Duration {
	left := leavingWithin - endpointsWait - 2*timeout - readSpare
	return max(endpointsLeastPause, min(left, leavingWithin/5))
}

// endpoints keeps the endpoint table current and hands it to the placement.
type endpoints struct {
	platform Platform
	placed   *placement.Table
	pool     *upstream.Pool
	clock    func() time.Duration
	log      zerolog.Logger // For lines of single endpoints; thinned.
	lifeLog  zerolog.Logger
	pause    time.Duration // Between two reads.
	loaded   atomic.Bool
	fresh    *freshness

	mu    sync.Mutex // Guards what follows.
	table *discovery.Table
	seen  map[string]bool // Since the last reset.
	added int             // Since they were last told.
	away  bool
}

func newEndpoints(p Platform, store settings.Store, placed *placement.Table, pool *upstream.Pool, clock func() time.Duration, log, lifeLog zerolog.Logger) *endpoints {
	within := store.LeavingWithin.D()
	return &endpoints{
		platform: p, placed: placed, pool: pool, clock: clock, log: log, lifeLog: lifeLog, pause: endpointsPause(within, store.Timeout.D()),
		fresh: newFreshness(within, clock), table: discovery.New(), seen: map[string]bool{},
	}
}

func (e *endpoints) follower() *logstore.Follower {
	return &logstore.Follower{
		Log: e.platform.Store, Topic: logstore.TopicEndpoints, Wait: endpointsWait, Pause: e.pause,
		Begin: e.fresh.begin, Came: e.fresh.came, Current: e.fresh.confirm,
		Reset: e.reset, Record: e.record, Loaded: e.complete, Outcome: e.outcome,
	}
}

func (e *endpoints) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = map[string]bool{}
}

func (e *endpoints) record(r logstore.KeyedRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Value == nil {
		e.ended(r.Key, e.table.Remove(r.Key, e.clock()))
		return
	}
	decoded, err := e.platform.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		e.log.Warn().Err(err).Str("endpoint", r.Key).Msg("gateway: entry names no endpoint to use")
		e.ended(r.Key, e.table.Remove(r.Key, e.clock()))
		return
	}
	e.seen[r.Key] = true
	e.put(decoded)
}

func (e *endpoints) put(decoded discovery.Endpoint) {
	change := e.table.Put(decoded)
	if change == discovery.Unchanged {
		return
	}
	e.placed.Put(decoded)
	switch change {
	case discovery.Reborn:
		e.pool.CloseIdle(decoded.ID)
		e.told(decoded.ID, "endpoint started again")
	case discovery.Added:
		e.added++
	case discovery.LeavingNow:
		e.told(decoded.ID, "endpoint leaves")
	}
}

// ended follows the end of an entry.
func (e *endpoints) ended(id string, change discovery.Change) {
	switch change {
	case discovery.Lapsed:
		e.told(id, "entry lapsed around an outage; the endpoint stays in use")
	case discovery.Gone:
		e.drop(id)
	}
}

func (e *endpoints) drop(id string) {
	e.placed.Remove(id)
	e.pool.CloseIdle(id)
	e.told(id, "endpoint gone")
}

func (e *endpoints) told(id, what string) {
	e.log.Info().Str("endpoint", id).Msg("gateway: " + what)
}

// complete ends what a full listing does not name.
func (e *endpoints) complete() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range e.table.Retain(e.seen, e.clock()) {
		if !e.table.Has(id) {
			e.drop(id)
		}
	}
	if !e.loaded.Swap(true) {
		e.lifeLog.Info().Int("endpoints", len(e.seen)).Msg("gateway: endpoints listed")
	}
}

// tellAdded writes one line for all endpoints that have come since the last one:
// hundreds of lines at the start of a fleet would crowd out all others.
func (e *endpoints) tellAdded() {
	if e.added > 0 {
		e.lifeLog.Info().Int("added", e.added).Int("endpoints", e.table.Len()).Msg("gateway: endpoints added")
		e.added = 0
	}
}

func (e *endpoints) outcome(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.table.StoreFailed()
		e.fresh.fail()
	} else {
		e.table.StoreAnswered(e.clock())
	}
	switch {
	case err != nil && !e.away:
		e.lifeLog.Warn().Err(err).Msg("gateway: endpoint list lost; the last one stays in use")
	case err == nil && e.away:
		e.lifeLog.Info().Msg("gateway: endpoint list regained")
	}
	e.away = err != nil
}

// sweep ends lapsed endpoints that did not come back, and forgets old parts.
func (e *endpoints) sweep() {
	e.mu.Lock()
	for _, id := range e.table.Expire(e.clock()) {
		e.drop(id)
	}
	e.tellAdded()
	e.mu.Unlock()
	e.placed.Sweep(e.clock())
}
