package decide

import "slices"

const (
	// spillLoad is the load, as a share of the slots, up to which an endpoint
	// takes prompts whose prefix is elsewhere.
	spillLoad = 0.3
	// rankSize is how many endpoints of its rendezvous order a session uses
	// before any other: the second keeps a spilled prefix in one place.
	rankSize = 3
	// samples is how many more endpoints are looked at, by chance. Two are
	// enough to avoid the worst; the global best would draw every instance to
	// the same endpoint until the next report.
	samples = 2
	// unknownUncached is the share of a prompt that is taken as not cached at
	// the session's first endpoint while nothing is known: another instance
	// may have sent the last turn there.
	unknownUncached = 0.25
	// zoneCost is a round trip between zones: another zone must be better by
	// more than that.
	zoneCost = 3e-3
	// loadCost is what a full batch adds to a first token, in seconds, against
	// an empty one: it spreads work while no endpoint is full.
	loadCost = 20e-3
	// startMargin is the share of the remaining time that the first token may
	// take when a request starts. A started one can't be refused any more.
	startMargin = 0.7
	// A session leaves an open endpoint only if it is worse by moveFactor, and
	// its first token takes moveShare of the caller's patience: a move costs the
	// later turns as well, for other instances do not know of it.
	moveFactor, moveShare = 2.0, 0.3
)

// place serves requests in their order until slots run out. For each pool it
// starts what can start; a request that waits for its own endpoint is passed
// over, so that it holds up nobody.
func (d *Decider) place() {
	d.wake()
	for _, p := range d.pools {
		if p.queuedCount() > 0 && len(p.endpoints) > 0 {
			d.placePool(p)
		}
	}
}

func (d *Decider) placePool(p *pool) {
	for i := 0; i < p.aged; i++ { // One start each, out of turn.
		d.placeClass(p, p.classOrder[i], 1)
	}
	for i := p.aged; i < p.aged+classCount-1; i++ {
		d.placeClass(p, p.classOrder[i], p.classes[p.classOrder[i]].count)
	}
}

// placeClass starts up to n requests of a class.
func (d *Decider) placeClass(p *pool, class, n int) {
	q := &p.classes[class]
	aged := q.credit >= 1
	for n > 0 {
		t := q.turnOf()
		if t == nil {
			break
		}
		row := t.rows.rows[0]
		e, full := d.choose(p, row, aged)
		if full {
			break
		}
		if e != nil && d.tooLate(row, e) {
			d.refuseRow(row, CodeOverloaded)
			continue
		}
		if e == nil {
			d.parkRow(p, row)
			continue
		}
		t.deficit -= row.cost()
		q.credit = 0
		aged = false
		d.start(row, e)
		n--
	}
}

// parkRow parks a row until something changes at its endpoint.
func (d *Decider) parkRow(p *pool, row *requestRow) {
	until := &p.parked
	if home := d.home(p, row); home != nil {
		until = &home.parked
	}
	d.park(row, until)
}

// tooLate tells whether a start now would most likely answer a caller who has
// left. The request had its chance: its queue moved slower than predicted.
func (d *Decider) tooLate(row *requestRow, e *endpointRow) bool {
	return d.firstToken(row, e) > startMargin*(row.Deadline-d.now).Seconds()
}

// choose returns the endpoint to start the row at. A nil one means that the
// row waits; full means that no row of its class can start in the pool.
func (d *Decider) choose(p *pool, row *requestRow, aged bool) (e *endpointRow, full bool) {
	if probe := d.probeFor(p, row); probe != nil {
		return probe, false
	}
	d.rankRow(p, row)
	home := d.home(p, row)
	if home == nil {
		other, _ := d.sample(p, row, nil, aged)
		return d.fallback(p, row, other, aged)
	}
	cost := d.firstToken(row, home)
	open := d.open(p, home, row, aged)
	if open && cost <= moveShare*(row.Deadline-d.now).Seconds() {
		return home, false
	}
	other, otherCost := d.sample(p, row, home, aged)
	if open && (other == nil || !d.worthMove(row, cost, otherCost)) {
		return home, false
	}
	if other != nil && (open || !d.waitsFor(row, home, cost, otherCost)) {
		return other, false
	}
	if open {
		return home, false
	}
	return nil, false
}

// worthMove tells whether the row's open endpoint is so much slower than the
// other one that its caller would notice.
func (d *Decider) worthMove(row *requestRow, cost, otherCost float64) bool {
	return cost > moveFactor*otherCost && cost > moveShare*(row.Deadline-d.now).Seconds()
}

// waitsFor tells whether the row waits for its full endpoint while another one
// has a slot: only if it is still sooner there, and not for long.
func (d *Decider) waitsFor(row *requestRow, home *endpointRow, cost, otherCost float64) bool {
	waited := d.now - row.submitted
	if waited >= d.opts.AffinityWait || home.health.state != healthy {
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
	uncached := d.uncached(row, e)
	if uncached <= manyUncached {
		return true
	}
	return e.load(d.now) < spillLoad*float64(e.Slots) && !e.crowded(d.now)
}

// home returns the endpoint that the session's prefix is thought to be at, or
// else the first of its rendezvous order that takes work.
func (d *Decider) home(p *pool, row *requestRow) *endpointRow {
	if row.Session == "" || row.Service != "" {
		return nil
	}
	for _, e := range row.rank {
		if e != nil && p.takes(e) && !row.avoids(e) && p.takesClass(e, row.class, d.now) {
			return e
		}
	}
	return nil
}

// sample returns the best of the session's next endpoints and some random ones
// that are open and that the row may move to, and its cost. Where nothing else differs the own zone wins.
func (d *Decider) sample(p *pool, row *requestRow, home *endpointRow, aged bool) (*endpointRow, float64) {
	var best *endpointRow
	bestCost := 0.0
	consider := func(e *endpointRow) {
		if e == nil || e == home || e == best || !d.open(p, e, row, aged) {
			return
		}
		if home != nil && !d.mayMove(row, e) {
			return
		}
		cost := d.firstToken(row, e)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if holder, _ := d.prefixes.get(row.sessionHash); holder != nil && row.Session != "" && holder.serves(p.key) {
		consider(holder)
	}
	if home != nil {
		for _, e := range row.rank[1:] {
			consider(e)
		}
	}
	for range samples {
		consider(p.endpoints[d.rng.IntN(len(p.endpoints))])
	}
	if len(p.own) > 0 {
		consider(p.own[d.rng.IntN(len(p.own))])
	}
	return best, bestCost
}

// fallback looks through the whole pool from a random place, so that a single
// free slot is found, and the pool is known to be full if there is none.
func (d *Decider) fallback(p *pool, row *requestRow, found *endpointRow, aged bool) (e *endpointRow, full bool) {
	if found != nil {
		return found, false
	}
	offset := d.rng.IntN(len(p.endpoints))
	avoided := false
	for i := range p.endpoints {
		e := p.endpoints[(offset+i)%len(p.endpoints)]
		if d.open(p, e, row, aged) {
			return e, false
		}
		avoided = avoided || row.avoids(e)
	}
	return nil, !avoided
}

// open tells whether the row may start at the endpoint now.
func (d *Decider) open(p *pool, e *endpointRow, row *requestRow, aged bool) bool {
	if !p.takes(e) || e.inFlight >= e.Slots || row.avoids(e) || !p.takesClass(e, row.class, d.now) {
		return false
	}
	limit := e.limit(d.reserve(p, row.class))
	if aged {
		limit = e.rampedSlots()
	}
	if e.load(d.now)+1 > limit+0.5 || e.queueFull(d.now) || row.class == int(PriorityBatch) && e.crowded(d.now) {
		return false
	}
	return d.withinShare(p, e, row.class)
}

// withinShare holds a class to its share of the slots while a higher class is
// in use. The other instances are taken to run as many of it in proportion.
func (d *Decider) withinShare(p *pool, e *endpointRow, class int) bool {
	for higher := class + 1; higher < classCount; higher++ {
		if p.inUse(higher, d.now) {
			all := float64(e.inFlightBy[class]) * e.fleetFactor(d.now)
			return all < max(1, d.opts.Share[class]*float64(e.Slots))
		}
	}
	return true
}

// firstToken predicts the seconds to the row's first token at the endpoint:
// the wait for a slot, the prompts before it, its own prompt's part that is not
// in the cache, and a little for a full batch and another zone.
func (d *Decider) firstToken(row *requestRow, e *endpointRow) float64 {
	l := &e.learned
	load, slots := e.load(d.now), float64(max(1, e.Slots))
	cost := known(l.base, known(row.pool.base, unknownBase))
	cost += (e.pendingTokens(d.now) + d.uncached(row, e)) * known(l.perTok, known(row.pool.perTok, unknownPerToken))
	cost += loadCost * load / slots
	cost += e.slotWait(d.now, 0, known(row.pool.hold, unknownHold)) + e.delayNow(d.now)
	if d.opts.Zone != "" && e.Zone != d.opts.Zone {
		cost += zoneCost
	}
	return cost
}

// firstTokenFree is firstToken once a slot is free.
func (e *endpointRow) firstTokenFree(d *Decider, row *requestRow) float64 {
	return d.firstToken(row, e) - e.slotWait(d.now, 0, known(row.pool.hold, unknownHold))
}

// uncached guesses how many of the row's prompt tokens the endpoint has to
// compute.
func (d *Decider) uncached(row *requestRow, e *endpointRow) float64 {
	prompt := float64(max(0, row.PromptTokens))
	if row.Session == "" {
		return prompt
	}
	holder, tokens := d.prefixes.get(row.sessionHash)
	switch {
	case holder == e:
		return max(0, prompt-float64(tokens), e.learned.miss*prompt)
	case row.rank[0] == e:
		return known(e.learned.miss, unknownUncached) * prompt
	default:
		return prompt
	}
}

// rankRow finds the session's first endpoints by weighted rendezvous: each
// instance finds the same ones without a word to the others.
func (d *Decider) rankRow(p *pool, row *requestRow) {
	if row.Session == "" || row.rankGeneration == d.generation {
		return
	}
	var scores [rankSize]float64
	row.rank = [rankSize]*endpointRow{}
	row.rankGeneration = d.generation
	for i, key := range p.keys {
		unit := rendezvousUnit(row.sessionHash, key.hash)
		if key.weight <= scores[rankSize-1]*(1-unit) {
			continue // Its score is below weight/(1-unit).
		}
		e, score := p.endpoints[i], rendezvousScore(unit, key.weight)
		if e.out() {
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
