package decide

import "time"

const (
	// maxRecheckedRows bounds the rows that one tick rechecks: a queue of ten
	// thousand takes about a second of ticks, at a cost per tick that does not
	// grow with it.
	maxRecheckedRows = 16
	// recheckSlack is a factor on the time that is left. It keeps noise in the
	// prediction from refusing a request that was admitted on a slightly better
	// one.
	recheckSlack = 1.25
	// The bounds of RetryAfter before its random part. An earlier retry would
	// only add load; later, a person has given up and the load has changed
	// anyway.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryStartShare is the share of the pool's starts for which retries of
	// refused callers are scheduled. New requests need the rest.
	retryStartShare = 0.5
)

// refuse rechecks a part of the queue in each tick and refuses the requests
// that can't start in time any more, for example because endpoints were lost
// after their admission. The callers get their answer now and not at their
// deadline, and can use the time that is left.
func (d *Decider) refuse() {
	for range min(maxRecheckedRows, d.expiry.Len()) {
		if d.expiry.Len() == 0 {
			return
		}
		d.recheckCursor++
		if d.recheckCursor >= d.expiry.Len() {
			d.recheckCursor = 0
		}
		row := d.expiry.rows[d.recheckCursor]
		if code, refused := d.recheck(row); refused {
			d.refuseRow(row, code)
		}
	}
}

// recheck predicts the row's wait again and reports whether it has to be
// refused, and with which code.
func (d *Decider) recheck(row *requestRow) (Code, bool) {
	p := row.pool
	if !d.hasCandidate(p, row) {
		return CodeNoEndpoint, true
	}
	ahead := max(0, row.aheadAtAdmission-float64(p.startsFromClass(row.class)-row.startsAtAdmission))
	wait := p.predictedWait(row.class, ahead)
	tooLate := float64(wait) > recheckSlack*float64(row.latestStart-d.now)
	return CodeOverloaded, tooLate && wait > 0
}

// refuseRow refuses a request that is queued, or was submitted since the last
// tick, and removes it from its pool's queue.
func (d *Decider) refuseRow(row *requestRow, code Code) {
	p := row.pool
	wait := time.Duration(0)
	if p != nil {
		wait = p.predictedWait(row.class, float64(p.queuedCount()))
		d.dequeue(row)
	}
	d.refuseUnqueued(row, p, code, wait)
}

// refuseUnqueued refuses a request that is in no queue. wait is the predicted
// wait for a slot.
func (d *Decider) refuseUnqueued(row *requestRow, p *pool, code Code, wait time.Duration) {
	d.decisions = append(d.decisions, Decision{Kind: Refuse, Request: row.ID, Code: code, RetryAfter: d.scheduleRetry(p, wait)})
	delete(d.queued, row.ID)
	d.releaseRow(row)
}

// scheduleRetry returns after how long a refused caller should retry. The
// callers of one burst are refused together and, if they returned together,
// would be refused together again. So each gets a place of its own behind the
// queue, as long after the one before as the pool needs to start a request,
// and a random addition of up to half, because other instances schedule
// retries for the same slots.
func (d *Decider) scheduleRetry(p *pool, wait time.Duration) time.Duration {
	after := max(wait, minRetryAfter)
	if p != nil && p.startRate > 0 {
		p.nextRetryAt = max(p.nextRetryAt, d.now) + seconds(1/(p.startRate*retryStartShare))
		p.nextRetryAt = min(p.nextRetryAt, d.now+maxRetryAfter)
		after += p.nextRetryAt - d.now
	} else {
		after = max(after, time.Second)
	}
	after = min(after, maxRetryAfter)
	return after + seconds(d.rng.Float64()*after.Seconds()/2)
}
