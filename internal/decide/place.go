package decide

import "slices"

const (
	// maxSpillLoad is the load, as a share of the slots, up to which an endpoint
	// takes prompts whose prefix is cached elsewhere.
	maxSpillLoad = 0.3
	// rankSize is how many endpoints of its rendezvous order a session uses
	// before any other. Those after the first keep a prefix that had to move in
	// a predictable place.
	rankSize = 3
	// randomSamples is how many random endpoints are compared in addition. Two
	// are enough to avoid the worst; if all instances chose the best of all
	// endpoints, they would all send to the same one until the next report.
	randomSamples = 2
	// defaultUncachedShare is the assumed share of a prompt that is not cached
	// at the session's first ranked endpoint, while nothing is known. Another
	// instance may have sent the last turn there.
	defaultUncachedShare = 0.25
	// crossZoneCost is a round trip between zones, in seconds: an endpoint in
	// another zone must be better by more than that.
	crossZoneCost = 3e-3
	// fullBatchCost is by how many seconds a first token comes later from a full
	// batch than from an empty one. It spreads work while no endpoint is full.
	fullBatchCost = 20e-3
	// maxFirstTokenShare is the share of the time to the deadline that the first
	// token may take when a request starts. A started request can't be refused
	// any more.
	maxFirstTokenShare = 0.7
	// A request leaves a preferred endpoint that has a free slot only if the
	// first token there is predicted to take more than minMoveFactor times as
	// long as elsewhere, and more than minMoveShare of the time to the deadline.
	// A move costs the later turns of the session as well, because other
	// instances do not know of it.
	minMoveFactor, minMoveShare = 2.0, 0.3
)

// place starts queued requests in their order until the slots run out. A
// request that waits for its preferred endpoint is blocked, so that it delays
// no other.
func (d *Decider) place() {
	d.unblockRows()
	for _, p := range d.pools {
		if p.queuedCount() > 0 && len(p.endpoints) > 0 {
			d.placePool(p)
		}
	}
}

func (d *Decider) placePool(p *pool) {
	for i := 0; i < p.agedClasses; i++ { // One start for each, by aging.
		d.placeClass(p, p.classOrder[i], 1)
	}
	for i := p.agedClasses; i < p.agedClasses+classCount-1; i++ {
		d.placeClass(p, p.classOrder[i], p.classes[p.classOrder[i]].count)
	}
}

// placeClass starts up to n requests of a class.
func (d *Decider) placeClass(p *pool, class, n int) {
	q := &p.classes[class]
	byAging := q.agingCredit >= 1
	for n > 0 {
		t := q.nextTeam()
		if t == nil {
			break
		}
		row := t.rows.rows[0]
		e, full := d.chooseEndpoint(p, row, byAging)
		if full {
			break
		}
		if e != nil && d.isTooLate(row, e) {
			d.refuseRow(row, CodeOverloaded)
			continue
		}
		if e == nil {
			d.blockRow(p, row)
			continue
		}
		t.deficit -= row.cost()
		q.agingCredit = 0
		byAging = false
		d.startRow(row, e)
		n--
	}
}

// blockRow blocks a row until something changes at its preferred endpoint or,
// without one, until it is rechecked.
func (d *Decider) blockRow(p *pool, row *requestRow) {
	waitList := &p.blockedRows
	if preferred := d.preferredEndpoint(p, row); preferred != nil {
		waitList = &preferred.blockedRows
	}
	d.block(row, waitList)
}

// isTooLate reports whether the row, started at the endpoint now, would most
// likely answer a caller who has left. It was admitted, but its queue moved
// slower than predicted.
func (d *Decider) isTooLate(row *requestRow, e *endpointRow) bool {
	return d.predictFirstToken(row, e) > maxFirstTokenShare*(row.Deadline-d.now).Seconds()
}

// chooseEndpoint returns the endpoint to start the row at, or nil if the row
// has to wait. full means that no row of its class can start in the pool.
// byAging lets the row use slots that are reserved for higher classes.
func (d *Decider) chooseEndpoint(p *pool, row *requestRow, byAging bool) (e *endpointRow, full bool) {
	if probe := d.probeCandidate(p, row); probe != nil {
		return probe, false
	}
	d.rankEndpoints(p, row)
	preferred := d.preferredEndpoint(p, row)
	if preferred == nil {
		other, _ := d.bestAlternative(p, row, nil, byAging)
		return d.scanPool(p, row, other, byAging)
	}
	cost := d.predictFirstToken(row, preferred)
	canStart := d.canStart(p, preferred, row, byAging)
	if canStart && cost <= minMoveShare*(row.Deadline-d.now).Seconds() {
		return preferred, false
	}
	other, otherCost := d.bestAlternative(p, row, preferred, byAging)
	if canStart && (other == nil || !d.isWorthMoving(row, cost, otherCost)) {
		return preferred, false
	}
	if other != nil && (canStart || !d.shouldWaitFor(row, preferred, cost, otherCost)) {
		return other, false
	}
	if canStart {
		return preferred, false
	}
	return nil, false
}

// isWorthMoving reports whether the row's preferred endpoint, which has a
// free slot, is so much slower than the other one that the caller would
// notice. The costs are predicted seconds to the first token.
func (d *Decider) isWorthMoving(row *requestRow, cost, otherCost float64) bool {
	return cost > minMoveFactor*otherCost && cost > minMoveShare*(row.Deadline-d.now).Seconds()
}

// shouldWaitFor reports whether the row waits for its full preferred endpoint
// while another one has a free slot: only if the first token still comes
// sooner that way, and for at most Options.AffinityWait.
func (d *Decider) shouldWaitFor(row *requestRow, preferred *endpointRow, cost, otherCost float64) bool {
	waited := d.now - row.submittedAt
	if waited >= d.opts.AffinityWait || preferred.health.state != healthy {
		return false
	}
	return cost < otherCost && d.now+seconds(2*cost) < row.Deadline
}

// mayMove reports whether the row may start at an endpoint that does not hold
// its prefix. In a fleet near its capacity each move costs several times the
// work of a turn and evicts another session's prefix, which causes the next
// move: the fleet would spend its time on cold prompts and not recover. So a
// cold prompt, with more than manyUncachedTokens tokens to compute, starts
// only at an endpoint with low load, and only within this instance's start
// quota, because all instances see the same idle endpoint.
func (d *Decider) mayMove(row *requestRow, e *endpointRow) bool {
	uncached := d.expectedUncached(row, e)
	if uncached <= manyUncachedTokens {
		return true
	}
	return e.load(d.now) < maxSpillLoad*float64(e.Slots) && !e.startQuotaUsed(d.now)
}

// preferredEndpoint returns the first endpoint of the session's rendezvous
// order that takes the row, whose cache probably holds its prefix, or nil if
// any endpoint will do.
func (d *Decider) preferredEndpoint(p *pool, row *requestRow) *endpointRow {
	if row.Session == "" || row.Service != "" {
		return nil
	}
	for _, e := range row.rank {
		if e != nil && p.accepts(e) && !row.avoids(e) && p.acceptsClass(e, row.class, d.now) {
			return e
		}
	}
	return nil
}

// bestAlternative returns the endpoint with the soonest predicted first
// token, and that prediction in seconds, among the one that last held the
// prefix, the session's other ranked endpoints and some random ones. Only
// endpoints where the row can start and may move to count; one more random
// endpoint is from the instance's zone.
func (d *Decider) bestAlternative(p *pool, row *requestRow, preferred *endpointRow, byAging bool) (*endpointRow, float64) {
	var best *endpointRow
	bestCost := 0.0
	consider := func(e *endpointRow) {
		if e == nil || e == preferred || e == best || !d.canStart(p, e, row, byAging) {
			return
		}
		if preferred != nil && !d.mayMove(row, e) {
			return
		}
		cost := d.predictFirstToken(row, e)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if holder, _ := d.prefixes.get(row.sessionHash); holder != nil && row.Session != "" && holder.serves(p.key) {
		consider(holder)
	}
	if preferred != nil {
		for _, e := range row.rank[1:] {
			consider(e)
		}
	}
	for range randomSamples {
		consider(p.endpoints[d.rng.IntN(len(p.endpoints))])
	}
	if len(p.sameZone) > 0 {
		consider(p.sameZone[d.rng.IntN(len(p.sameZone))])
	}
	return best, bestCost
}

// scanPool returns the endpoint found before or, without one, the first in
// the pool where the row can start, from a random position on. So a single
// free slot is found, and full is certain if there is none; an endpoint that
// only this row avoids does not make the pool full.
func (d *Decider) scanPool(p *pool, row *requestRow, found *endpointRow, byAging bool) (e *endpointRow, full bool) {
	if found != nil {
		return found, false
	}
	offset := d.rng.IntN(len(p.endpoints))
	avoided := false
	for i := range p.endpoints {
		e := p.endpoints[(offset+i)%len(p.endpoints)]
		if d.canStart(p, e, row, byAging) {
			return e, false
		}
		avoided = avoided || row.avoids(e)
	}
	return nil, !avoided
}

// canStart reports whether the row may start at the endpoint now.
func (d *Decider) canStart(p *pool, e *endpointRow, row *requestRow, byAging bool) bool {
	if !p.accepts(e) || e.inFlight >= e.Slots || row.avoids(e) || !p.acceptsClass(e, row.class, d.now) {
		return false
	}
	limit := e.loadLimit(d.reservedShare(p, row.class))
	if byAging {
		limit = e.rampedSlots()
	}
	if e.load(d.now)+1 > limit+0.5 || e.queueFull(d.now) || row.class == int(PriorityBatch) && e.startQuotaUsed(d.now) {
		return false
	}
	return d.isWithinShare(p, e, row.class)
}

// isWithinShare reports whether one more request of the class stays within
// its share of the slots while a higher class is in use. The other instances
// are assumed to run the class in the same proportion.
func (d *Decider) isWithinShare(p *pool, e *endpointRow, class int) bool {
	for higher := class + 1; higher < classCount; higher++ {
		if p.isClassInUse(higher, d.now) {
			fleetCount := float64(e.inFlightByClass[class]) * e.fleetFactor(d.now)
			return fleetCount < max(1, d.opts.MaxShare[class]*float64(e.Slots))
		}
	}
	return true
}

// predictFirstToken returns the predicted seconds to the row's first token at
// the endpoint: the wait for a slot, the prompts before it, the part of its
// own prompt that is not in the cache, and small additions for a full batch
// and another zone.
func (d *Decider) predictFirstToken(row *requestRow, e *endpointRow) float64 {
	l := &e.estimates
	load, slots := e.load(d.now), float64(max(1, e.Slots))
	cost := valueOr(l.baseFirstToken, valueOr(row.pool.baseFirstToken, defaultBaseFirstToken))
	cost += (e.remainingPrefill(d.now) + d.expectedUncached(row, e)) * valueOr(l.prefillPerToken, valueOr(row.pool.prefillPerToken, defaultPrefillPerToken))
	cost += fullBatchCost * load / slots
	cost += e.slotWait(d.now, 0, valueOr(row.pool.slotTime, defaultSlotTime)) + e.currentDelay(d.now)
	if d.opts.Zone != "" && e.Zone != d.opts.Zone {
		cost += crossZoneCost
	}
	return cost
}

// predictFirstTokenWithSlot is predictFirstToken without the wait for a slot.
func (e *endpointRow) predictFirstTokenWithSlot(d *Decider, row *requestRow) float64 {
	return d.predictFirstToken(row, e) - e.slotWait(d.now, 0, valueOr(row.pool.slotTime, defaultSlotTime))
}

// expectedUncached estimates how many of the row's prompt tokens the endpoint
// has to compute.
func (d *Decider) expectedUncached(row *requestRow, e *endpointRow) float64 {
	prompt := float64(max(0, row.PromptTokens))
	if row.Session == "" {
		return prompt
	}
	holder, tokens := d.prefixes.get(row.sessionHash)
	switch {
	case holder == e:
		return max(0, prompt-float64(tokens), e.estimates.cacheMissShare*prompt)
	case row.rank[0] == e:
		return valueOr(e.estimates.cacheMissShare, defaultUncachedShare) * prompt
	default:
		return prompt
	}
}

// rankEndpoints sets the session's first endpoints by weighted rendezvous
// hashing. Every instance finds the same ones without communication.
func (d *Decider) rankEndpoints(p *pool, row *requestRow) {
	if row.Session == "" || row.rankGeneration == d.generation {
		return
	}
	var scores [rankSize]float64
	row.rank = [rankSize]*endpointRow{}
	row.rankGeneration = d.generation
	for i, key := range p.rankKeys {
		unit := rendezvousUnit(row.sessionHash, key.hash)
		if key.weight <= scores[rankSize-1]*(1-unit) {
			continue // Its score is below weight/(1-unit).
		}
		e, score := p.endpoints[i], rendezvousScore(unit, key.weight)
		if e.isClosed() {
			continue
		}
		for i := range row.rank {
			if row.rank[i] == nil || score > scores[i] {
				row.rank[i], e = e, row.rank[i]
				scores[i], score = score, scores[i]
			}
			if e == nil {
				break
			}
		}
	}
}

func (r *requestRow) avoids(e *endpointRow) bool {
	return len(r.Avoid) > 0 && slices.Contains(r.Avoid, e.Name)
}
