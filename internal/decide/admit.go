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
const fairWaitShare, minWaitShare, maxWaitShare = 0.5, 0.15, 0.7

// contentionWaitSeconds is the wait, in seconds, from which teams are in each other's way.
// Below it no team is refused for what it had.
const contentionWaitSeconds = 0.1

func (p *pool) waitShare(team record.Team, weight float64, now Time) float64 {
	ratio := p.usage.fairShareRatio(team, weight, now)
	return min(max(fairWaitShare/max(ratio*ratio, 0.01), minWaitShare), maxWaitShare)
}

// postStartShare is the share of the caller's patience kept for the time after
// the start: a queue is no place to spend all of it.
const postStartShare = 0.25

// admit serves a queue that grows faster than it drains. It refuses at once
// each new request whose predicted wait its deadline can't meet, and queues
// the others. Without it every caller would wait, and most in vain. The
// prediction counts only what is before the request in its team's fair share,
// so that one team's flood is refused and the others' requests are not.
func (d *Decider) admit() {
	for i, row := range d.incoming {
		d.incoming[i] = nil
		if row.cancelled {
			d.releaseRow(row)
			continue
		}
		d.admitRow(row)
	}
	d.incoming = d.incoming[:0]
}

func (d *Decider) admitRow(row *requestRow) {
	row.submittedAt = d.now
	p := d.poolFor(&row.Request)
	if p == nil && d.isUnknownModel(&row.Request) {
		d.refuseRow(row, CodeUnknownModel)
		return
	}
	if p == nil || !d.hasCandidate(p, row) {
		d.refuseRow(row, CodeNoEndpoint)
		return
	}
	row.pool = p
	p.lastArrival[row.class] = d.now
	if !d.retries.allow(row.attemptNumber(), p) {
		row.pool = nil
		d.refuseUnqueued(row, p, CodeRetryBudget, 0)
		return
	}
	d.rankEndpoints(p, row)
	row.preferred = d.preferredEndpoint(p, row)
	firstToken := d.expectedFirstToken(row)
	ahead := p.requestsAhead(row, d.teamWeight(row.Team))
	wait := p.predictedWait(row.class, ahead)
	remaining := row.Deadline - d.now
	if remaining <= firstToken {
		row.pool = nil
		d.refuseUnqueued(row, p, CodeDeadline, wait)
		return
	}
	waitShare := p.waitShare(row.Team, d.teamWeight(row.Team), d.now)
	if wait > 0 && float64(wait+firstToken) > waitShare*float64(remaining) {
		row.pool = nil
		d.refuseUnqueued(row, p, CodeOverloaded, wait)
		return
	}
	if !d.preferredInTime(row, waitShare*remaining.Seconds()) {
		row.pool = nil
		d.refuseUnqueued(row, p, CodeOverloaded, wait)
		return
	}
	row.latestStart = row.Deadline - max(firstToken, seconds(postStartShare*remaining.Seconds()))
	row.aheadAtAdmission, row.startsAtAdmission = ahead, p.startsFromClass(row.class)
	d.enqueue(row)
}

// hasCandidate tells whether an endpoint of the pool may take the request at all.
func (d *Decider) hasCandidate(p *pool, row *requestRow) bool {
	for _, e := range p.endpoints {
		if !e.isClosed() && !row.avoids(e) {
			return true
		}
	}
	return false
}

// preferredInTime tells whether the row's own endpoint is expected to answer it in
// time, or another one may. Near the fleet's limit sessions wait for their own
// endpoint, so it is that one's queue which decides.
func (d *Decider) preferredInTime(row *requestRow, bound float64) bool {
	preferred := row.preferred
	if preferred == nil {
		return true
	}
	wait := preferred.slotWait(d.now, float64(preferred.queuedPreferring), valueOr(row.pool.slotTime, defaultSlotTime))
	if wait+preferred.currentDelay(d.now) < contentionWaitSeconds {
		bound = maxWaitShare * (row.Deadline - d.now).Seconds()
	}
	wait += preferred.predictFirstTokenWithSlot(d, row)
	if wait <= bound {
		return true
	}
	other, _ := d.bestAlternative(row.pool, row, preferred, false)
	return other != nil
}

// expectedFirstToken returns the learned time from start to first token.
func (d *Decider) expectedFirstToken(row *requestRow) time.Duration {
	if row.preferred != nil {
		return seconds(row.preferred.predictFirstTokenWithSlot(d, row))
	}
	p := row.pool
	return seconds(valueOr(p.baseFirstToken, 0) + float64(max(0, row.PromptTokens))*valueOr(p.prefillPerToken, 0))
}

// requestsAhead returns how many requests of the pool start before the row: of its own
// class what its team's share allows, and of higher ones at most as many as go
// first by the rule of ageing.
func (p *pool) requestsAhead(row *requestRow, weight float64) float64 {
	ahead := p.classes[row.class].fairShareAhead(row.Team, weight)
	higher := 0
	for class := row.class + 1; class < classCount; class++ {
		higher += p.classes[class].count
	}
	return ahead + min(float64(higher), (ahead+1)/agingCreditPerStart)
}

// predictedWait returns the wait for a slot with so many requests ahead.
func (p *pool) predictedWait(class int, ahead float64) time.Duration {
	if ahead < p.freeSlots[class] {
		return 0
	}
	if p.startRate <= 0 {
		return seconds(valueOr(p.slotTime, defaultSlotTime) * (ahead + 1))
	}
	return seconds((ahead - p.freeSlots[class] + 1) / p.startRate)
}

// startsFromClass counts the pool's starts of the class and those above.
func (p *pool) startsFromClass(class int) uint64 {
	n := uint64(0)
	for ; class < classCount; class++ {
		n += p.startsByClass[class]
	}
	return n
}
