// Package placement chooses the endpoint of each request by its cost in
// milliseconds. It does no input or output and has no clock: the caller gives
// it the time, as the time since any origin.
//
// It is made for a fleet of small instances that each see only their own
// sends. Costs of all kinds are on one scale, so that affinity to a cached
// prompt gives way to a queue as soon as the queue costs more than reading the
// prompt again.
package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavapier/internal/discovery"
)

// Part is a shared part of a prompt.
type Part struct {
	ID     string
	Tokens int64
}

// Query is a request to place.
type Query struct {
	Service string
	Zone    string // The instance's own.
	// Parts are the prompt's shared parts in order.
	Parts []Part
	// Exclude lists endpoints that this request has been sent to.
	Exclude []string

	preferred                     *endpointState // Where all instances send the prompt first.
	bestSource, alternativeSource fetchSource    // Where its shared parts can be fetched from.
}

type endpointState struct {
	discovery.Endpoint
	idHash   uint64 // Of its identity.
	inFlight int
	// unanswered are the starts of attempts whose answer has not begun.
	unanswered map[uint64]unansweredAttempt
	partSentAt map[string]time.Duration // When each part was last sent there.
	// busyUntil is when the endpoint will have read the long prompts that other
	// instances sent there.
	busyUntil             time.Duration
	speed                 speedEstimator
	normalizedTokensPerMS float64 // Prompt tokens read in a millisecond.
	// unreachable is set until a connection could be made again.
	unreachable         bool
	lastAnswerAt        time.Duration // When an answer last began; 0 for never.
	consecutiveFailures int
	backoff             time.Duration
	avoidedUntil        time.Duration // Avoided until then.
}

// Table holds the endpoints. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	rng       *rand.Rand
	endpoints map[string]*endpointState
	lastID    uint64
}

// New returns an empty table; seed makes ties repeat in tests.
func New(seed uint64) *Table {
	return &Table{rng: rand.New(rand.NewPCG(seed, seed)), endpoints: map[string]*endpointState{}}
}

// Put adds or changes an endpoint. A reborn one loses what was learned of it.
func (t *Table) Put(e discovery.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, known := t.endpoints[e.ID]
	if !known || state.Born != e.Born {
		state = &endpointState{speed: newSpeedEstimator(), normalizedTokensPerMS: defaultTokensPerMS, idHash: xxhash.Sum64String(e.ID), unanswered: map[uint64]unansweredAttempt{}, partSentAt: map[string]time.Duration{}}
		t.endpoints[e.ID] = state
	}
	state.Endpoint = e
}

// Remove takes an endpoint out.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.endpoints, id)
}

// Place returns the cheapest endpoint, or nil if none may take the request.
func (t *Table) Place(q Query, now time.Duration) *Assignment {
	t.mu.Lock()
	defer t.mu.Unlock()
	q.preferred = t.preferredEndpoint(q)
	q.bestSource, q.alternativeSource = t.fetchSources(q, now)
	best := t.cheapest(q, now, false)
	if best == nil {
		best = t.cheapest(q, now, true)
	}
	if best == nil {
		return nil
	}
	prefill := best.estimatePrefill(q, now)
	a := &Assignment{
		Endpoint: best.Endpoint, Cost: best.cost(q, now), MissingTokens: prefill.missingTokens, InFlight: best.inFlight,
		PrefillTime: time.Duration(prefill.ms * float64(time.Millisecond)), endpointState: best, table: t,
	}
	if prefill.fetchFrom != nil {
		a.FetchFrom = prefill.fetchFrom.Address
	}
	a.PartsToAnnounce = best.partsToAnnounce(q, now)
	t.lastID++
	a.id = t.lastID
	best.inFlight++
	best.unanswered[t.lastID] = unansweredAttempt{
		sentAt: now, prefillMS: prefill.ms, missingTokens: prefill.missingTokens,
		updatesSpeed: prefill.fetchFrom == nil && len(q.Parts) > 0,
	}
	for _, p := range q.Parts {
		best.partSentAt[p.ID] = now
	}
	return a
}

// cheapest picks among the service's endpoints; those paused only if desperate.
func (t *Table) cheapest(q Query, now time.Duration, includeAvoided bool) *endpointState {
	var best *endpointState
	lowest, ties := 0.0, 0
	for _, e := range t.endpoints {
		if e.Service != q.Service || e.Leaving || slices.Contains(q.Exclude, e.ID) || (e.isAvoided(now) && !includeAvoided) {
			continue
		}
		cost := e.cost(q, now)
		switch {
		case best == nil || cost < lowest:
			best, lowest, ties = e, cost, 1
		case cost == lowest:
			ties++
			if t.rng.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

// RecordRemotePrefill tells that another instance has sent the endpoint a prompt that takes so
// long to read.
func (t *Table) RecordRemotePrefill(endpoint string, prefillTime, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[endpoint]; e != nil {
		e.busyUntil = max(e.busyUntil, now) + prefillTime
	}
}

// Sweep forgets parts that count as evicted, and compares the endpoints' speeds.
// It is called some times a second.
func (t *Table) Sweep(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := map[string]bool{}
	for _, e := range t.endpoints {
		services[e.Service] = true
		for id, at := range e.partSentAt {
			if now-at >= cachedPartTTL {
				delete(e.partSentAt, id)
			}
		}
	}
	for service := range services {
		t.normalizeSpeeds(service)
	}
}

// Row is one endpoint as a state dump shows it.
type Row struct {
	discovery.Endpoint
	InFlight int
	Failures int
	Parts    int
}

// View copies the table.
func (t *Table) View() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []Row
	for _, e := range t.endpoints {
		rows = append(rows, Row{Endpoint: e.Endpoint, InFlight: e.inFlight, Failures: e.consecutiveFailures, Parts: len(e.partSentAt)})
	}
	return rows
}
