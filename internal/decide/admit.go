package decide

import (
	"time"

	"guavapier/internal/record"
)

// The share of the remaining time that the predicted wait may take. Predictions
// are off by half in a burst; a request refused at once can come back, one that
// waits in vain can not. The share is half for a team that has its fair part of
// the work, and moves with the square of what it has: in a queue of a few
// requests the order alone can't share slots between teams, admission must.
const admitMargin, leastMargin, mostMargin = 0.5, 0.15, 0.7

// contended is the wait, in seconds, from which teams are in each other's way.
// Below it no team is refused for what it had.
const contended = 0.1

func (p *pool) margin(team record.Team, weight float64, now Time) float64 {
	over := p.usage.over(team, weight, now)
	return min(max(admitMargin/max(over*over, 0.01), leastMargin), mostMargin)
}

// startReserve is the share of the caller's patience kept for the time after
// the start: a queue is no place to spend all of it.
const startReserve = 0.25

// admit serves a queue that grows faster than it drains. It refuses at once
// each new request whose predicted wait its deadline can't meet, and queues
// the others. Without it every caller would wait, and most in vain. The
// prediction counts only what is before the request in its team's fair share,
// so that one team's flood is refused and the others' requests are not.
func (d *Decider) admit() {
	for i, row := range d.incoming {
		d.incoming[i] = nil
		if row.cancelled {
			d.freeRow(row)
			continue
		}
		d.admitRow(row)
	}
	d.incoming = d.incoming[:0]
}

func (d *Decider) admitRow(row *requestRow) {
	row.submitted = d.now
	p := d.find(&row.Request)
	if p == nil && d.unknownModel(&row.Request) {
		d.refuseRow(row, CodeUnknownModel)
		return
	}
	if p == nil || !d.anyFor(p, row) {
		d.refuseRow(row, CodeNoEndpoint)
		return
	}
	row.pool = p
	p.lastSeen[row.class] = d.now
	if !d.retry.allow(row.attempt(), p) {
		row.pool = nil
		d.refuseNew(row, p, CodeRetryBudget, 0)
		return
	}
	d.rankRow(p, row)
	row.home = d.home(p, row)
	first := d.expectedFirst(row)
	ahead := p.ahead(row, d.teamWeight(row.Team))
	wait := p.predictedWait(row.class, ahead)
	remaining := row.Deadline - d.now
	if remaining <= first {
		row.pool = nil
		d.refuseNew(row, p, CodeDeadline, wait)
		return
	}
	margin := p.margin(row.Team, d.teamWeight(row.Team), d.now)
	if wait > 0 && float64(wait+first) > margin*float64(remaining) {
		row.pool = nil
		d.refuseNew(row, p, CodeOverloaded, wait)
		return
	}
	if !d.homeInTime(row, margin*remaining.Seconds()) {
		row.pool = nil
		d.refuseNew(row, p, CodeOverloaded, wait)
		return
	}
	row.latestStart = row.Deadline - max(first, seconds(startReserve*remaining.Seconds()))
	row.ahead, row.startedThen = ahead, p.startedFrom(row.class)
	d.enqueue(row)
}

// anyFor tells whether an endpoint of the pool may take the request at all.
func (d *Decider) anyFor(p *pool, row *requestRow) bool {
	for _, e := range p.endpoints {
		if !e.out() && !row.avoids(e) {
			return true
		}
	}
	return false
}

// homeInTime tells whether the row's own endpoint is expected to answer it in
// time, or another one may. Near the fleet's limit sessions wait for their own
// endpoint, so it is that one's queue which decides.
func (d *Decider) homeInTime(row *requestRow, bound float64) bool {
	home := row.home
	if home == nil {
		return true
	}
	wait := home.slotWait(d.now, float64(home.homeQueue), known(row.pool.hold, unknownHold))
	if wait+home.delayNow(d.now) < contended {
		bound = mostMargin * (row.Deadline - d.now).Seconds()
	}
	wait += home.firstTokenFree(d, row)
	if wait <= bound {
		return true
	}
	other, _ := d.sample(row.pool, row, home, false)
	return other != nil
}

// expectedFirst returns the learned time from start to first token.
func (d *Decider) expectedFirst(row *requestRow) time.Duration {
	if row.home != nil {
		return seconds(row.home.firstTokenFree(d, row))
	}
	p := row.pool
	return seconds(known(p.base, 0) + float64(max(0, row.PromptTokens))*known(p.perTok, 0))
}

// ahead returns how many requests of the pool start before the row: of its own
// class what its team's share allows, and of higher ones at most as many as go
// first by the rule of ageing.
func (p *pool) ahead(row *requestRow, weight float64) float64 {
	ahead := p.classes[row.class].shareAhead(row.Team, weight)
	higher := 0
	for class := row.class + 1; class < classCount; class++ {
		higher += p.classes[class].count
	}
	return ahead + min(float64(higher), (ahead+1)/ageingCredit)
}

// predictedWait returns the wait for a slot with so many requests ahead.
func (p *pool) predictedWait(class int, ahead float64) time.Duration {
	if ahead < p.free[class] {
		return 0
	}
	if p.drain <= 0 {
		return seconds(known(p.hold, unknownHold) * (ahead + 1))
	}
	return seconds((ahead - p.free[class] + 1) / p.drain)
}

// startedFrom counts the pool's starts of the class and those above.
func (p *pool) startedFrom(class int) uint64 {
	n := uint64(0)
	for ; class < classCount; class++ {
		n += p.started[class]
	}
	return n
}
