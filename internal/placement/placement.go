// Package placement chooses the endpoint for each request by its estimated cost in
// milliseconds. It does no I/O and has no clock: callers pass the current time as a
// duration since a fixed origin.
//
// Prefill is the processing of a prompt before the first token of the answer.
// Endpoints cache prompts, so that only the parts of a prompt that are not cached have
// to be computed. Each gateway instance sees only the requests that it sends itself and
// what other instances announce. Costs of all kinds are on one scale, so that a request
// leaves the endpoint that has its prompt cached as soon as the queue there costs more
// than computing the prompt again.
package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavapier/internal/discovery"
	"guavapier/internal/endpointload"
	"guavapier/internal/heldprompts"
	"guavapier/internal/prefillspeed"
)

// Part is a section of a prompt. Prompts that have a section in common use the same ID
// for it.
type Part struct {
	ID     string
	Tokens int64
}

// Query describes a request to place.
type Query struct {
	Service string
	Zone    string // Availability zone of this instance.
	// Parts are the sections of the prompt in order. All but the last may be shared
	// with other prompts; the last belongs to this request alone.
	Parts []Part
	// Version, if VersionOnly, is the software version of the endpoints that may get the
	// request: that of the endpoint that began the stream which it continues.
	Version     string
	VersionOnly bool
	// Exclude lists the IDs of endpoints that the request has already been sent to.
	Exclude []string
	// Tokens is the memory that the request may take at an endpoint at most: its prompt and its
	// longest answer.
	Tokens int64
	// Target is the time to the first token within which the answer is of full use to the
	// caller, counted from now; 0 for none.
	Target time.Duration

	// maxDoubt bounds the doubt about an endpoint's version, if VersionOnly.
	maxDoubt    versionDoubt
	keys        []uint64 // Hashes of the IDs of Parts.
	totalTokens float64  // Of Parts.
	ownWork     float64  // Of the last part, which no endpoint holds; see prefillspeed.Work.
	// homes are the endpoints that all instances choose first for the prompt, and preferred the
	// first of them; see Table.findHomes. Those after the first are in use as far as activeHomes.
	homes       [maxHomes]*endpointState
	activeHomes int
	// isTimed states that costs are computed from the load of all instances.
	isTimed   bool
	preferred *endpointState
	// bestSource is the endpoint from which the prompt's shared parts can most likely be
	// fetched, alternativeSource the one for a request that is placed on bestSource
	// itself; see Table.fetchSources.
	bestSource, alternativeSource fetchSource
}

// endpointState is an endpoint with what the table knows of its load, cache and speed.
type endpointState struct {
	discovery.Endpoint
	condition
	rejectionState
	requestLimit
	idHash   uint64 // Hash of the endpoint's ID.
	inFlight int    // This instance's requests.
	// unanswered holds the attempts whose answer has not started, in the order of their IDs.
	unanswered []unansweredAttempt
	held       heldprompts.Cache
	// busyUntil is when the endpoint is expected to have finished the prefills that
	// other instances announced.
	busyUntil             time.Duration
	others                othersLoad
	reservedTokens        int64 // Memory that this instance's requests may take at most.
	prompts               *promptService
	prefillSpeed          prefillspeed.Endpoint
	delay                 prefillspeed.Delay
	speed                 speedEstimator
	normalizedTokensPerMS float64       // Prefill speed for costs; see normalizeSpeeds.
	lastAnswerAt          time.Duration // When an answer last started; 0 for never.
	answeredOthersAt      time.Duration // When another instance last told of an answer; 0 for never.
}

// Table holds the known endpoints and places requests on them. It is safe for
// concurrent use.
type Table struct {
	mu        sync.Mutex
	rng       *rand.Rand
	endpoints map[string]*endpointState
	unlisted  unlisted
	byService map[string][]*endpointState // In the order of IDs.
	services  map[string]*promptService
	cordons   map[string]bool // Cordoned availability zones.
	warmUps   map[string]WarmUp
	// rejections is by service; services without a rejection limit may be left out.
	rejections  map[string]serviceRejections
	fleet       fleet
	lastID      uint64 // Of the latest assignment.
	limitsKnown bool   // Some endpoint has stated a request limit since the start.
	// permitsWanted receives when a request could have used a permit.
	permitsWanted chan struct{}
	// returnsDue is, by service, when the last caller is to come back that was refused for
	// request limits.
	returnsDue map[string]time.Duration
	samples    []endpointload.Sample // For TakeSamples.
	keys       []uint64              // Buffer for Query.keys.
	weighsHeld bool                  // See WeighHeldPrompts.
	byTime     ByTime                // See SetByTime.
}

// New returns an empty table for a process that starts at now. The seed determines how ties
// are broken, so that tests are reproducible.
func New(seed uint64, now time.Duration) *Table {
	return &Table{
		rng:           rand.New(rand.NewPCG(seed, seed)),
		endpoints:     map[string]*endpointState{},
		unlisted:      unlisted{},
		byService:     map[string][]*endpointState{},
		services:      map[string]*promptService{},
		rejections:    map[string]serviceRejections{},
		fleet:         fleet{usedFrom: now + warmUpWindow, version: 1},
		permitsWanted: make(chan struct{}, 1),
		returnsDue:    map[string]time.Duration{},
	}
}

// Put adds or updates an endpoint. What is recorded of it is that of its process: nothing if it has
// restarted with a new incarnation, and all that was known before if its entry is back.
func (t *Table) Put(e discovery.Endpoint, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, listed := t.endpoints[e.ID]
	if listed && state.Born != e.Born {
		t.unlisted.keep(state, now)
		listed = false
	}
	known := listed
	if !listed {
		state = t.unlisted.take(process{e.ID, e.Born})
		known = state != nil
	}
	if !known {
		state = newEndpointState(e.ID)
	}
	changed := !listed || e != state.Endpoint
	if !listed || e.Service != state.Service {
		t.unlist(e.ID)
		t.list(state, e)
	}
	t.endpoints[e.ID] = state
	state.Endpoint = e
	state.onCordon(t.cordons[e.Zone], 0, now)
	state.onEntry(e.Leaving, e.Warming, known, changed, now)
	state.limitedFrom = max(state.limitedFrom, t.fleet.usedFrom)
}

// newEndpointState returns an endpoint of which nothing is known.
func newEndpointState(id string) *endpointState {
	e := &endpointState{speed: newSpeedEstimator(), normalizedTokensPerMS: defaultTokensPerMS, idHash: xxhash.Sum64String(id), held: heldprompts.New()}
	e.lent, e.borrowed = loans{}, loans{}
	return e
}

// SetCordons sets the availability zones to whose endpoints nothing new is sent. Requests
// that are in progress there go on. The endpoints of a zone that is no longer among them may
// be cold.
func (t *Table) SetCordons(zones map[string]bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cordons = zones
	for _, e := range t.endpoints {
		e.onCordon(zones[e.Zone], t.warmUps[e.Service].Duration, now)
	}
}

// Remove removes the endpoint with this ID from those that are listed, and returns what it had stated. The
// report is zero if it is not listed.
func (t *Table) Remove(id string, now time.Duration) StatementReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil {
		return StatementReport{}
	}
	delete(t.endpoints, id)
	t.unlist(id)
	t.unlisted.keep(e, now)
	return e.report(now)
}

// list adds the state to the endpoints of its service, which are in the order of their IDs.
func (t *Table) list(state *endpointState, e discovery.Endpoint) {
	if t.services[e.Service] == nil {
		t.services[e.Service] = newPromptService()
	}
	state.prompts = t.services[e.Service]
	list := t.byService[e.Service]
	at, _ := slices.BinarySearchFunc(list, e.ID, func(s *endpointState, id string) int { return cmp.Compare(s.ID, id) })
	t.byService[e.Service] = slices.Insert(list, at, state)
}

// unlist removes the endpoint with this ID from the lists by service.
func (t *Table) unlist(id string) {
	for service, list := range t.byService {
		t.byService[service] = slices.DeleteFunc(list, func(s *endpointState) bool { return s.ID == id })
	}
}

// Place assigns the request to the cheapest endpoint and counts it as in flight there
// until Done is called. Endpoints of a better Use come first. The result is nil if no
// endpoint may take the request; Obstacles tells why.
func (t *Table) Place(q Query, now time.Duration) *Assignment {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.VersionOnly && !t.isVersionKnown(&q) {
		return nil
	}
	t.prepare(&q, now)
	best := t.endpointToRefresh(&q, now)
	for use := UseNormal; use < UseNone && best == nil; use++ {
		best = t.cheapestByVersion(&q, now, use)
	}
	t.recordWant(&q, best, now)
	if best == nil {
		t.recordShortage(q.Service, now)
		return nil
	}
	prefill := best.estimatePrefill(&q, now)
	a := &Assignment{
		Endpoint: best.Endpoint, Cost: best.cost(&q, now), MissingTokens: prefill.missingTokens, InFlight: best.inFlight,
		PrefillTime:  time.Duration(prefill.ms * float64(time.Millisecond)),
		UsualPrefill: time.Duration(prefill.usualMS(&q) * float64(time.Millisecond)), endpointState: best, table: t, placedAt: now, tokens: q.Tokens,
	}
	if prefill.fetchFrom != nil {
		a.FetchFrom = prefill.fetchFrom.Address
	}
	a.Held = best.believedHeld(&q, prefill, now)
	a.PartsToAnnounce = best.partsToAnnounce(&q, now)
	t.lastID++
	a.id = t.lastID
	best.inFlight++
	best.reservedTokens += q.Tokens
	if best.quota.IsBound() {
		a.quotaUse = best.quota.Take(now)
	}
	if best.isCold(now) {
		a.usesShare = true
		best.coldSends.pending++
	}
	best.unanswered = append(best.unanswered, unansweredAttempt{
		id: t.lastID, sentAt: now, prefillMS: prefill.ms, missingTokens: prefill.missingTokens,
		updatesSpeed: prefill.fetchFrom == nil && len(q.Parts) > 0,
	})
	for _, part := range q.keys {
		best.held.Use(part, now)
	}
	best.held.Read(prefill.missingTokens)
	return a
}

// prepare sets what is the same for all endpoints.
func (t *Table) prepare(q *Query, now time.Duration) {
	t.keys = t.keys[:0]
	for _, p := range q.Parts {
		t.keys = append(t.keys, xxhash.Sum64String(p.ID))
		q.totalTokens += float64(p.Tokens)
	}
	q.keys = t.keys
	if len(q.Parts) > 0 {
		q.ownWork = prefillspeed.Work(float64(q.Parts[len(q.Parts)-1].Tokens), q.totalTokens)
	}
	t.findHomes(q, now)
	q.bestSource, q.alternativeSource = t.fetchSources(q, now)
}

// cheapest returns the cheapest of the service's endpoints that are of this use and not
// excluded, breaking ties at random; nil if there is none. The preferred endpoint goes first:
// it is often the cheapest, and the costs of others need not be known in full then.
func (t *Table) cheapest(q *Query, now time.Duration, wanted Use) *endpointState {
	c := choice{lowest: math.Inf(1)}
	if q.preferred != nil {
		t.consider(q.preferred, q, &c, wanted, now)
	}
	list := t.byService[q.Service]
	if q.isTimed && len(list) > maxCandidates {
		t.considerSome(q, &c, wanted, now)
		if c.best != nil {
			return c.best
		}
	}
	for _, e := range list {
		if e != q.preferred {
			t.consider(e, q, &c, wanted, now)
		}
	}
	return c.best
}

// maxCandidates is the number of endpoints, beside a prompt's homes, that are compared for a request
// whose costs go by the load of all instances. Of a large fleet all see the same endpoints idle, for as
// long as it takes until word of the next requests has come: if each compared all, they would all
// choose the same ones.
const maxCandidates = 32

// considerSome considers the prompt's homes and maxCandidates other endpoints, on average, chosen at random.
func (t *Table) considerSome(q *Query, c *choice, wanted Use, now time.Duration) {
	for _, home := range q.homes[:q.activeHomes] {
		if home != q.preferred {
			t.consider(home, q, c, wanted, now)
		}
	}
	list := t.byService[q.Service]
	limit := uint32(float64(math.MaxUint32) * maxCandidates / float64(len(list)))
	for _, e := range list {
		if t.rng.Uint32() < limit && !q.isHome(e) {
			t.consider(e, q, c, wanted, now)
		}
	}
}

// choice is the cheapest endpoint of those considered.
type choice struct {
	best   *endpointState
	lowest float64
	ties   int // Endpoints of this cost.
}

// consider makes the endpoint the choice if it may be used and is the cheapest.
func (t *Table) consider(e *endpointState, q *Query, c *choice, wanted Use, now time.Duration) {
	if !e.matches(q) || slices.Contains(q.Exclude, e.ID) {
		return
	}
	if use, _ := t.useOf(e, now); use != wanted {
		return
	}
	cost := e.costUpTo(c.lowest, q, now)
	switch {
	case c.best == nil || cost < c.lowest:
		c.best, c.lowest, c.ties = e, cost, 1
	case cost == c.lowest:
		c.ties++
		if t.rng.IntN(c.ties) == 0 {
			c.best = e
		}
	}
}

// useOf returns what the endpoint may be used for, and why not for everything.
func (t *Table) useOf(e *endpointState, now time.Duration) (Use, Reason) {
	if e.isCold(now) {
		t.updateShare(e)
	}
	t.updateRejectionRoom(e, now)
	t.updateQuota(e, now)
	use, reason := e.use(now)
	if use < UseNone && e.wantsNothing(len(e.unanswered), now) {
		return UseNone, ReasonResting
	}
	if use < UseNone && e.rejectionsLimited && e.rejectionRoom <= 0 {
		return UseNone, ReasonRejections
	}
	if use < UseNone && !e.quota.HasRoom(now) {
		return UseNone, ReasonRequestLimit
	}
	return use, reason
}

// Obstacles counts the service's endpoints that are not UseNormal, by the reason.
func (t *Table) Obstacles(service string, now time.Duration) map[Reason]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[Reason]int{}
	for _, e := range t.endpoints {
		if use, reason := t.useOf(e, now); e.Service == service && use != UseNormal {
			counts[reason]++
		}
	}
	return counts
}

// RecordRemotePrefill records that another instance has sent the endpoint a prompt with
// this prefill time. An unknown endpoint is ignored.
func (t *Table) RecordRemotePrefill(endpoint string, prefillTime, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[endpoint]; e != nil {
		e.busyUntil = max(e.busyUntil, now) + prefillTime
	}
}

// Sweep discards parts that endpoints hardly hold any more, and compares the
// endpoints' speeds. It has to be called several times a second.
func (t *Table) Sweep(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := map[string]bool{}
	for _, e := range t.endpoints {
		services[e.Service] = true
		e.held.Sweep(now)
	}
	t.unlisted.sweep(now)
	for service := range services {
		t.normalizeSpeeds(service)
		t.compareSpeeds(service)
	}
}

// Row is the state of one endpoint in a state dump.
type Row struct {
	discovery.Endpoint
	InFlight int    // This instance's requests.
	Failures int    // Consecutive ones.
	Parts    int    // Parts that are assumed to be cached.
	Obstacle Reason // Why the endpoint is not chosen by its cost; "" if it is.
}

// View returns a row for each endpoint as of now, in no particular order.
func (t *Table) View(now time.Duration) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []Row
	for _, e := range t.endpoints {
		_, obstacle := t.useOf(e, now)
		rows = append(rows, Row{Endpoint: e.Endpoint, InFlight: e.inFlight, Failures: e.failureCount(), Parts: e.held.Len(), Obstacle: obstacle})
	}
	return rows
}
