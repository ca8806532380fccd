package decide

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"guavapier/internal/record"
)

// Decider holds the tables and runs the stages over them. It is not safe for
// concurrent use. A request's ID must differ from those of all requests that
// are queued or running.
type Decider struct {
	opts Options
	rng  *rand.Rand
	now  Time // The time of the last Tick.

	endpoints   []*endpointRow // Sorted by name.
	generation  uint64         // Incremented when the endpoint table changes.
	pools       []*pool        // Sorted by key.
	poolByKey   map[poolKey]*pool
	servedKeys  map[poolKey]bool        // Every key that had a pool since the start.
	teamWeights map[record.Team]float64 // Teams whose weight is not the default.
	prefixes    prefixTable

	incoming         []*requestRow             // Submitted since the last Tick.
	queued           map[RequestID]*requestRow // Incoming and queued rows.
	expiry           rowHeap                   // All rows in the pools' queues, by latestStart.
	running          map[RequestID]*requestRow
	blockedQueue     fifo           // The rows taken out of the order, oldest first.
	changedEndpoints []*endpointRow // Their blocked rows return to the order in the next tick.
	freeRows         []*requestRow  // Released rows, kept for reuse.

	retries       retryBudget
	recheckCursor int // Where refuse continues in the expiry heap.
	decisions     []Decision
}

// New returns a Decider with empty tables.
func New(opts Options) *Decider {
	opts = opts.withDefaults()
	return &Decider{
		opts:        opts,
		rng:         rand.New(rand.NewPCG(opts.Seed, seedStream)),
		poolByKey:   map[poolKey]*pool{},
		servedKeys:  map[poolKey]bool{},
		teamWeights: map[record.Team]float64{},
		prefixes:    newPrefixTable(),
		queued:      map[RequestID]*requestRow{},
		expiry:      rowHeap{indexField: expiryIndex},
		running:     map[RequestID]*requestRow{},
		retries:     newRetryBudget(),
	}
}

// seedStream is the second seed word that PCG needs; any constant does.
const seedStream = 0x67756176

// The bounds of a team's weight. With a smaller weight a team would get its
// turn only after thousands of rounds; a larger one would have the effect of
// a higher class.
const minTeamWeight, maxTeamWeight = 0.01, 100

// SetTeamWeight sets a team's weight in the fair shares, limited to 0.01 to
// 100. The default is 1; a weight that is not positive restores it.
func (d *Decider) SetTeamWeight(team record.Team, weight float64) {
	if weight <= 0 {
		delete(d.teamWeights, team)
		return
	}
	d.teamWeights[team] = min(max(weight, minTeamWeight), maxTeamWeight)
}

func (d *Decider) teamWeight(team record.Team) float64 {
	if w, ok := d.teamWeights[team]; ok {
		return w
	}
	return 1
}

// SetLoadReport records an endpoint's load report. Reports may lag, be lost
// or arrive out of order; one that is older than the last is dropped. An
// unknown endpoint has no effect.
func (d *Decider) SetLoadReport(endpoint string, r LoadReport) {
	if e := d.endpointByName(endpoint); e != nil {
		e.applyLoadReport(r, d.now, d.rng.Float64())
		d.markChanged(e)
	}
}

// SetLeaving stops new starts at an endpoint that has announced itself that
// it leaves. The announcement stays in effect while the endpoint list, which
// lags, does not show it yet.
func (d *Decider) SetLeaving(endpoint string) {
	if e := d.endpointByName(endpoint); e != nil {
		e.selfLeaving, e.selfLeavingAt = true, d.now
	}
}

// SetCached records a cache event: the endpoint holds that many tokens of the
// session's prefix, or none. It is a hint; events may be late or missing.
func (d *Decider) SetCached(endpoint string, session record.SessionID, tokens int) {
	if e := d.endpointByName(endpoint); e != nil && session != "" {
		d.prefixes.set(hashString(string(session)), e, tokens)
	}
}

// Submit takes a new request. A later Tick returns its decision.
func (d *Decider) Submit(r Request) {
	row := d.newRow()
	row.Request = r
	row.sessionHash = hashString(string(r.Session))
	row.class = int(min(max(r.Priority, PriorityBatch), PriorityCall))
	d.queued[r.ID] = row
	d.incoming = append(d.incoming, row)
}

// Cancel drops a queued request whose caller is gone. It has no effect on a
// started request, which ends with Finish.
func (d *Decider) Cancel(id RequestID) {
	row, ok := d.queued[id]
	if !ok {
		return
	}
	if row.pool == nil {
		row.cancelled = true // Still incoming: admit releases the row.
		delete(d.queued, id)
		return
	}
	d.dequeue(row)
	d.releaseRow(row)
}

// ObserveFirstToken records the first token of a started model request; after
// is the time since its start. Finish reports it too, but seconds later, when
// a queue of prompts at the endpoint has already grown. An unknown ID has no
// effect.
func (d *Decider) ObserveFirstToken(id RequestID, after time.Duration) {
	row, ok := d.running[id]
	if !ok || row.firstTokenSeen {
		return
	}
	row.endpoint.endFirstTokenWait(row)
	row.endpoint.observeDelay(row, after.Seconds(), d.now)
	row.endpoint.estimates.observeFirstToken(row, after.Seconds())
}

// Finish ends a started request, frees its slot and updates the estimates of
// its endpoint from the result. An unknown ID has no effect.
func (d *Decider) Finish(id RequestID, result Result) {
	row, ok := d.running[id]
	if !ok {
		return
	}
	delete(d.running, id)
	e := row.endpoint
	firstTokenSeen := row.firstTokenSeen
	e.endFirstTokenWait(row)
	e.updateLaggedOwnLoad(d.now)
	e.inFlight--
	e.startTimeSum -= row.startedAt
	e.expectedDurationSum -= row.expectedDuration
	e.startQuota++
	d.markChanged(e)
	e.inFlightByClass[row.class]--
	if e.probeID == id {
		e.probeID = 0
	}
	if result != (Result{}) { // The zero Result frees an unused slot.
		d.observeResult(row, result, firstTokenSeen)
	}
	d.releaseRow(row)
}

// Tick runs all stages once and returns their decisions. The slice is valid
// until the next Tick. Time never goes back: a now before that of the last
// Tick counts as the same time.
func (d *Decider) Tick(now Time) []Decision {
	d.now = max(d.now, now)
	d.decisions = d.decisions[:0]
	d.refreshPools()
	d.expire()
	d.admit()
	d.order()
	d.place()
	d.detectOutliers()
	d.refuse()
	return d.decisions
}

// Queued returns the number of requests that wait for a decision.
func (d *Decider) Queued() int { return len(d.queued) }

// Running returns the number of requests that were started and not finished.
func (d *Decider) Running() int { return len(d.running) }

// startRow starts a queued row at the endpoint and returns that as a
// decision.
func (d *Decider) startRow(row *requestRow, e *endpointRow) {
	p := row.pool
	p.usage.add(row.Team, row.queue.weight, row.cost(), d.now)
	d.dequeue(row)
	p.startsByClass[row.class]++
	for class := range p.freeSlots {
		p.freeSlots[class] = max(0, p.freeSlots[class]-1)
	}
	p.creditLowerClasses(row)
	e.addRequest(row, d)
	d.markChanged(e)
	d.running[row.ID] = row
	d.prefixes.set(row.sessionHash, e, row.PromptTokens+row.MaxTokens)
	d.decisions = append(d.decisions, Decision{Kind: Start, Request: row.ID, Endpoint: e.Name})
}

// newRow returns an empty row, a released one if there is any.
func (d *Decider) newRow() *requestRow {
	n := len(d.freeRows)
	if n == 0 {
		return &requestRow{}
	}
	row := d.freeRows[n-1]
	d.freeRows = d.freeRows[:n-1]
	return row
}

// maxFreeRows bounds the rows that are kept for reuse after a burst.
const maxFreeRows = 1 << 14

func (d *Decider) releaseRow(row *requestRow) {
	*row = requestRow{}
	if len(d.freeRows) < maxFreeRows {
		d.freeRows = append(d.freeRows, row)
	}
}

// enqueue adds an admitted row to its pool's queue and the expiry heap.
func (d *Decider) enqueue(row *requestRow) {
	row.pool.push(row, d.teamWeight(row.Team))
	if row.preferred != nil {
		row.preferred.queuedPreferring++
	}
	heap.Push(&d.expiry, row)
}

// dequeue removes a row from its pool's queue and the expiry heap.
func (d *Decider) dequeue(row *requestRow) {
	delete(d.queued, row.ID)
	heap.Remove(&d.expiry, row.heapIndex[expiryIndex])
	row.pool.remove(row)
	if row.preferred != nil {
		row.preferred.queuedPreferring--
	}
}

// maxPrediction is the longest predicted duration. A pool that hardly starts
// requests predicts waits that overflow time.Duration, and the conversion
// would make them negative: no wait at all.
const maxPrediction = 24 * time.Hour

// seconds converts seconds to a duration of at most maxPrediction, which also
// stands for NaN.
func seconds(s float64) time.Duration {
	if s < maxPrediction.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return maxPrediction
}
