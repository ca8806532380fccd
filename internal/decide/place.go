package decide

import "slices"

const (
	// maxSpillLoad is the load, as a share of the slots, up to which an endpoint
	// takes prompts whose prefix is elsewhere.
	maxSpillLoad = 0.3
	// rankSize is how many endpoints of its rendezvous order a session uses
	// before any other: the second keeps a spilled prefix in one place.
	rankSize = 3
	// randomSamples is how many more endpoints are looked at, by chance. Two are
	// enough to avoid the worst; the global best would draw every instance to
	// the same endpoint until the next report.
	randomSamples = 2
	// defaultUncachedShare is the share of a prompt that is taken as not cached at
	// the session's first endpoint while nothing is known: another instance
	// may have sent the last turn there.
	defaultUncachedShare = 0.25
	// crossZoneCost is a round trip between zones: another zone must be better by
	// more than that.
	crossZoneCost = 3e-3
	// fullBatchCost is what a full batch adds to a first token, in seconds, against
	// an empty one: it spreads work while no endpoint is full.
	fullBatchCost = 20e-3
	// maxFirstTokenShare is the share of the remaining time that the first token may
	// take when a request starts. A started one can't be refused any more.
	maxFirstTokenShare = 0.7
	// A session leaves an open endpoint only if it is worse by minMoveFactor, and
	// its first token takes minMoveShare of the caller's patience: a move costs the
	// later turns as well, for other instances do not know of it.
	minMoveFactor, minMoveShare = 2.0, 0.3
)

// place serves requests in their order until slots run out. For each pool it
// starts what can start; a request that waits for its own endpoint is passed
// over, so that it holds up nobody.
func (d *Decider) place() {
	d.unblockRows()
	for _, p := range d.pools {
		if p.queuedCount() > 0 && len(p.endpoints) > 0 {
			d.placePool(p)
		}
	}
}

func (d *Decider) placePool(p *pool) {
	for i := 0; i < p.agedClasses; i++ { // One start each, out of turn.
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

// blockRow parks a row until something changes at its endpoint.
func (d *Decider) blockRow(p *pool, row *requestRow) {
	waitList := &p.blockedRows
	if preferred := d.preferredEndpoint(p, row); preferred != nil {
		waitList = &preferred.blockedRows
	}
	d.block(row, waitList)
}

// isTooLate tells whether a start now would most likely answer a caller who has
// left. The request had its chance: its queue moved slower than predicted.
func (d *Decider) isTooLate(row *requestRow, e *endpointRow) bool {
	return d.predictFirstToken(row, e) > maxFirstTokenShare*(row.Deadline-d.now).Seconds()
}

// chooseEndpoint returns the endpoint to start the row at. A nil one means that the
// row waits; full means that no row of its class can start in the pool.
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

// isWorthMoving tells whether the row's open endpoint is so much slower than the
// other one that its caller would notice.
func (d *Decider) isWorthMoving(row *requestRow, cost, otherCost float64) bool {
	return cost > minMoveFactor*otherCost && cost > minMoveShare*(row.Deadline-d.now).Seconds()
}

// shouldWaitFor tells whether the row waits for its full endpoint while another one
// has a slot: only if it is still sooner there, and not for long.
func (d *Decider) shouldWaitFor(row *requestRow, preferred *endpointRow, cost, otherCost float64) bool {
	waited := d.now - row.submittedAt
	if waited >= d.opts.AffinityWait || preferred.health.state != healthy {
		return false
	}
	return cost < otherCost && d.now+seconds(2*cost) < row.Deadline
}

// mayMove tells whether the row may start away from its prefix. In a fleet near
// its limit each move costs several times a turn's work, evicts another
// session's prefix, and so causes the next move; cold prompts would take all the
// fleet's time and never give it back. So a cold prompt goes only where there
// is time to spare, and no more of them than this instance's part: all the
// instances see the same idle endpoint.
func (d *Decider) mayMove(row *requestRow, e *endpointRow) bool {
	uncached := d.expectedUncached(row, e)
	if uncached <= manyUncachedTokens {
		return true
	}
	return e.load(d.now) < maxSpillLoad*float64(e.Slots) && !e.startQuotaUsed(d.now)
}

// preferredEndpoint returns the endpoint that the session's prefix is thought to be at, or
// else the first of its rendezvous order that takes work.
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

// bestAlternative returns the best of the session's next endpoints and some random ones
// that are open and that the row may move to, and its cost. Where nothing else differs the own zone wins.
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

// scanPool looks through the whole pool from a random place, so that a single
// free slot is found, and the pool is known to be full if there is none.
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

// canStart tells whether the row may start at the endpoint now.
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

// isWithinShare holds a class to its share of the slots while a higher class is
// in use. The other instances are taken to run as many of it in proportion.
func (d *Decider) isWithinShare(p *pool, e *endpointRow, class int) bool {
	for higher := class + 1; higher < classCount; higher++ {
		if p.isClassInUse(higher, d.now) {
			fleetCount := float64(e.inFlightByClass[class]) * e.fleetFactor(d.now)
			return fleetCount < max(1, d.opts.MaxShare[class]*float64(e.Slots))
		}
	}
	return true
}

// predictFirstToken predicts the seconds to the row's first token at the endpoint:
// the wait for a slot, the prompts before it, its own prompt's part that is not
// in the cache, and a little for a full batch and another zone.
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

// predictFirstTokenWithSlot is firstToken once a slot is free.
func (e *endpointRow) predictFirstTokenWithSlot(d *Decider, row *requestRow) float64 {
	return d.predictFirstToken(row, e) - e.slotWait(d.now, 0, valueOr(row.pool.slotTime, defaultSlotTime))
}

// expectedUncached guesses how many of the row's prompt tokens the endpoint has to
// compute.
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

// rankEndpoints finds the session's first endpoints by weighted rendezvous: each
// instance finds the same ones without a word to the others.
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
