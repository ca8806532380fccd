package decide

import "time"

const (
	// maxRecheckedRows bounds the rows that one tick predicts anew: ten thousand are
	// gone through in about a second of ticks, at a cost that does not grow.
	maxRecheckedRows = 16
	// recheckSlack keeps noise in the prediction from refusing a request that
	// was admitted on a slightly better one.
	recheckSlack = 1.25
	// The bounds of RetryAfter. Sooner a caller would only add load; later a
	// person has given up, and the load has changed anyway.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryStartShare is the share of the drained slots that returning callers are
	// given times for: new requests need the rest.
	retryStartShare = 0.5
)

// refuse serves a queue whose endpoints were lost after admission. It predicts
// a part of the queue anew each tick and gives those that can't make it any
// more their final answer now, not when their deadline comes: the caller can
// use the time that is left.
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

// refuseRow gives a queued or incoming row its final answer.
func (d *Decider) refuseRow(row *requestRow, code Code) {
	p := row.pool
	wait := time.Duration(0)
	if p != nil {
		wait = p.predictedWait(row.class, float64(p.queuedCount()))
		d.dequeue(row)
	}
	d.refuseUnqueued(row, p, code, wait)
}

// refuseUnqueued gives a row that is in no queue its final answer.
func (d *Decider) refuseUnqueued(row *requestRow, p *pool, code Code, wait time.Duration) {
	d.decisions = append(d.decisions, Decision{Kind: Refuse, Request: row.ID, Code: code, RetryAfter: d.scheduleRetry(p, wait)})
	delete(d.queued, row.ID)
	d.releaseRow(row)
}

// scheduleRetry books a refused caller's return. The callers of one burst are
// refused together; sent back together they would be refused together again.
// So each gets its own place behind the queue, as far after the one before as
// the pool takes to start a request, and a random part on top because other
// instances book the same slots.
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
