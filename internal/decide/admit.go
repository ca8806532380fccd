package decide

import (
	"time"

	"guavapier/internal/record"
)

// The predicted wait may take at most this share of the time to the deadline.
// Predictions are off by half in a burst, and a request that is refused at
// once can be retried, while one that waits until its deadline can not. A
// team that has exactly its fair share of the work may use fairWaitShare; the
// bound changes with the inverse square of the team's share, within
// minWaitShare and maxWaitShare. In a queue of a few requests the round robin
// alone can't divide slots between teams, so admission has to.
const fairWaitShare, minWaitShare, maxWaitShare = 0.5, 0.15, 0.7

// contentionWaitSeconds is the wait in seconds from which teams compete for
// slots. With a shorter wait no team is refused for its recent usage.
const contentionWaitSeconds = 0.1

// waitShare returns which share of the time to its deadline a request of the
// team may be predicted to wait.
func (p *pool) waitShare(team record.Team, weight float64, now Time) float64 {
	ratio := p.usage.fairShareRatio(team, weight, now)
	return min(max(fairWaitShare/max(ratio*ratio, 0.01), minWaitShare), maxWaitShare)
}

// postStartShare is the share of the time to the deadline that is kept for
// the work after the start, so that the queue does not use up all of it.
const postStartShare = 0.25

// admit decides on the requests that came since the last tick. It refuses at
// once each request whose predicted wait is too long for its deadline and
// queues the others. Without it, when requests come faster than they start,
// every caller would wait and most would be refused at their deadline. The
// prediction counts only what starts before the request by its team's fair
// share, so that a flood of one team gets that team's requests refused and
// not the others'.
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

// admitRow refuses or queues one new request.
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

// hasCandidate reports whether an endpoint of the pool may take the request
// at all, now or later.
func (d *Decider) hasCandidate(p *pool, row *requestRow) bool {
	for _, e := range p.endpoints {
		if !e.isClosed() && !row.avoids(e) {
			return true
		}
	}
	return false
}

// preferredInTime reports whether the row's preferred endpoint is expected to
// send the first token within bound seconds, or another endpoint may take the
// row. Near the fleet's capacity requests wait for their preferred endpoint,
// so its queue decides and not the pool's. Where the wait at the endpoint is
// too short for contention, the bound of the team's usage does not apply.
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

// expectedFirstToken returns the estimated time from start to first token.
func (d *Decider) expectedFirstToken(row *requestRow) time.Duration {
	if row.preferred != nil {
		return seconds(row.preferred.predictFirstTokenWithSlot(d, row))
	}
	p := row.pool
	return seconds(valueOr(p.baseFirstToken, 0) + float64(max(0, row.PromptTokens))*valueOr(p.prefillPerToken, 0))
}

// requestsAhead returns how many requests of the pool start before the row:
// those of its own class by the fair shares of the teams, and those of higher
// classes, at most as many as start before a lower class gets its turn by
// aging.
func (p *pool) requestsAhead(row *requestRow, weight float64) float64 {
	ahead := p.classes[row.class].fairShareAhead(row.Team, weight)
	higher := 0
	for class := row.class + 1; class < classCount; class++ {
		higher += p.classes[class].count
	}
	return ahead + min(float64(higher), (ahead+1)/agingCreditPerStart)
}

// predictedWait returns the predicted wait for a slot with the given number
// of requests ahead.
func (p *pool) predictedWait(class int, ahead float64) time.Duration {
	if ahead < p.freeSlots[class] {
		return 0
	}
	if p.startRate <= 0 {
		return seconds(valueOr(p.slotTime, defaultSlotTime) * (ahead + 1))
	}
	return seconds((ahead - p.freeSlots[class] + 1) / p.startRate)
}

// startsFromClass counts the pool's starts of the class and of higher ones.
func (p *pool) startsFromClass(class int) uint64 {
	n := uint64(0)
	for ; class < classCount; class++ {
		n += p.startsByClass[class]
	}
	return n
}
