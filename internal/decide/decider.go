package decide

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"guavapier/internal/record"
)

// Decider holds the tables and runs the systems over them. It is not safe for
// concurrent use. Request identities must be unique among those not finished.
type Decider struct {
	opts Options
	rng  *rand.Rand
	now  Time // Of the last Tick.

	endpoints   []*endpointRow // Sorted by name.
	generation  uint64         // Counts the changes of the endpoint table.
	pools       []*pool        // In the order of their keys.
	poolByKey   map[poolKey]*pool
	servedKeys  map[poolKey]bool // Every key that had a pool since the start.
	teamWeights map[record.Team]float64
	prefixes    prefixTable

	incoming         []*requestRow // Submitted since the last Tick.
	queued           map[RequestID]*requestRow
	expiry           rowHeap // All queued rows, the latest useful start first.
	running          map[RequestID]*requestRow
	blockedQueue     fifo
	changedEndpoints []*endpointRow
	freeRows         []*requestRow

	retries       retryBudget
	recheckCursor int // Where system refuse goes on in the expiry heap.
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

const seedStream = 0x67756176 // Any constant: the PCG wants two words.

// The bounds of a team's weight: a smaller one would make its turn come after
// thousands of rounds, a larger one would be the same as a higher class.
const minTeamWeight, maxTeamWeight = 0.01, 100

// SetTeamWeight sets a team's fair share against others; 1 is the default, and
// a weight that is not positive restores it.
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

// SetLoadReport takes an endpoint's load report. Reports may lag, be lost or come
// out of order; an older one than the last is dropped.
func (d *Decider) SetLoadReport(endpoint string, r LoadReport) {
	if e := d.endpointByName(endpoint); e != nil {
		e.applyLoadReport(r, d.now, d.rng.Float64())
		d.markChanged(e)
	}
}

// SetLeaving takes an endpoint out of placement on its own word, at once. The
// word outlives a lagging list that does not know of it yet.
func (d *Decider) SetLeaving(endpoint string) {
	if e := d.endpointByName(endpoint); e != nil {
		e.selfLeaving, e.selfLeavingAt = true, d.now
	}
}

// SetCached takes a cache event: endpoint holds so many tokens of the
// session's prefix, or none. It is a hint; events may be late or missing.
func (d *Decider) SetCached(endpoint string, session record.SessionID, tokens int) {
	if e := d.endpointByName(endpoint); e != nil && session != "" {
		d.prefixes.set(hashString(string(session)), e, tokens)
	}
}

// Submit queues a request. Its decision comes from a later Tick.
func (d *Decider) Submit(r Request) {
	row := d.newRow()
	row.Request = r
	row.sessionHash = hashString(string(r.Session))
	row.class = int(min(max(r.Priority, PriorityBatch), PriorityCall))
	d.queued[r.ID] = row
	d.incoming = append(d.incoming, row)
}

// Cancel forgets a request whose caller is gone. It has no effect on one that
// was started; that one ends with Finish.
func (d *Decider) Cancel(id RequestID) {
	row, ok := d.queued[id]
	if !ok {
		return
	}
	if row.pool == nil {
		row.cancelled = true // Still incoming: admit drops it.
		delete(d.queued, id)
		return
	}
	d.dequeue(row)
	d.releaseRow(row)
}

// ObserveFirstToken tells that a started model request has its first token, so long
// after its start. Finish alone tells it seconds later, when a queue of prompts
// has grown. An unknown identity has no effect.
func (d *Decider) ObserveFirstToken(id RequestID, after time.Duration) {
	row, ok := d.running[id]
	if !ok || row.firstTokenSeen {
		return
	}
	row.endpoint.endFirstTokenWait(row)
	row.endpoint.observeDelay(row, after.Seconds(), d.now)
	row.endpoint.estimates.observeFirstToken(row, after.Seconds())
}

// Finish ends a started request, gives back its slot and learns from the
// result. An unknown identity has no effect.
func (d *Decider) Finish(id RequestID, result Result) {
	row, ok := d.running[id]
	if !ok {
		return
	}
	delete(d.running, id)
	e := row.endpoint
	firstTokenSeen := row.firstTokenSeen
	e.endFirstTokenWait(row)
	e.updateOwnLagged(d.now)
	e.inFlight--
	e.startTimeSum -= row.startedAt
	e.expectedDurationSum -= row.expectedDuration
	e.startQuota++
	d.markChanged(e)
	e.inFlightByClass[row.class]--
	if e.probeID == id {
		e.probeID = 0
	}
	if result != (Result{}) { // The zero Result gives back an unused slot.
		d.observeResult(row, result, firstTokenSeen)
	}
	d.releaseRow(row)
}

// Tick runs all systems once, in fixed order, and returns their decisions. The
// slice is valid until the next Tick. Time never goes back: an earlier now
// counts as the last one.
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

// Queued returns how many requests wait.
func (d *Decider) Queued() int { return len(d.queued) }

// Running returns how many requests were started and not finished.
func (d *Decider) Running() int { return len(d.running) }

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

func (d *Decider) newRow() *requestRow {
	n := len(d.freeRows)
	if n == 0 {
		return &requestRow{}
	}
	row := d.freeRows[n-1]
	d.freeRows = d.freeRows[:n-1]
	return row
}

// maxFreeRows bounds the rows kept for use again after a burst.
const maxFreeRows = 1 << 14

func (d *Decider) releaseRow(row *requestRow) {
	*row = requestRow{}
	if len(d.freeRows) < maxFreeRows {
		d.freeRows = append(d.freeRows, row)
	}
}

// enqueue puts an admitted row into its pool's queue.
func (d *Decider) enqueue(row *requestRow) {
	row.pool.push(row, d.teamWeight(row.Team))
	if row.preferred != nil {
		row.preferred.queuedPreferring++
	}
	heap.Push(&d.expiry, row)
}

// dequeue takes a row out of all queue tables.
func (d *Decider) dequeue(row *requestRow) {
	delete(d.queued, row.ID)
	heap.Remove(&d.expiry, row.heapIndex[expiryIndex])
	row.pool.remove(row)
	if row.preferred != nil {
		row.preferred.queuedPreferring--
	}
}

// maxPrediction is the maxPrediction duration that a prediction gives. A pool that hardly
// drains predicts waits beyond what a duration holds, and the conversion would
// turn those into negative ones: no wait at all.
const maxPrediction = 24 * time.Hour

// seconds converts a float to a duration of at most longest; what is no number
// counts as longest.
func seconds(s float64) time.Duration {
	if s < maxPrediction.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return maxPrediction
}
