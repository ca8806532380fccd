package decide

import (
	"slices"
	"time"
)

// healthState says how much work an endpoint gets.
type healthState uint8

const (
	healthy healthState = iota
	// ejected endpoints get probes only.
	ejected
	// ramping endpoints get a growing part of their slots.
	ramping
)

// health is the verdict on an endpoint against its peers.
type health struct {
	state               healthState
	consecutiveFailures int // In a row.
	consecutiveStalls   int // In a row.
	ejectedUntil        Time
	ejectionPause       time.Duration // Of the last ejection; doubles.
	rampShare           float64       // Share of the slots, while ramping.
	reason              ejectReason
}

type ejectReason uint8

const (
	reasonFailing ejectReason = iota
	reasonSlow
)

const (
	// outlierCheckInterval is the pause between two comparisons of peers.
	outlierCheckInterval = 250 * time.Millisecond
	// maxConsecutiveFailures in a row are no accident; a single one is retried elsewhere.
	maxConsecutiveFailures = 3
	// maxConsecutiveStalls is lower: each costs its caller a whole progress deadline.
	maxConsecutiveStalls = 2
	// slowFactor is how much slower than its peers' median an endpoint is when
	// it is taken out. Load alone makes a factor of two.
	slowFactor = 2.5
	// minJudgedSamples and minJudgedPeers are the least evidence for "slow".
	minJudgedSamples, minJudgedPeers = 5, 3
	// maxAgeRatio is the mean age of the running requests, in the spans of
	// the pool, that is no accident: requests that all just end are at one, at
	// most. minJudgedRunning of them are enough evidence.
	maxAgeRatio, minJudgedRunning = 2.0, 3
	// maxEjectedShare bounds the endpoints taken out for slowness: beyond it the
	// load is the cause, and taking out more would make it worse.
	maxEjectedShare = 1.0 / 3
	// The pause before a probe, at first and at most.
	minEjectionPause, maxEjectionPause = 5 * time.Second, 60 * time.Second
	// maxProbeShare is the part of its caller's patience that a probe's first token
	// may take.
	maxProbeShare = 0.3
	// probeWaitTimeout is how long an endpoint waits for a request that may probe it.
	probeWaitTimeout = 30 * time.Second
	// initialRampShare is the share of slots after a good probe; each success adds
	// rampStep, so that a full return takes about twenty requests.
	initialRampShare, rampStep = 0.1, 0.05
)

// detectOutliers serves the day on which one endpoint in many is slow, fails or goes
// silent. It compares each with its peers, takes the outlier out of placement
// so that its callers are not the ones who find out, probes it with single
// requests that may be repeated, and lets it back in step by step: at once, its
// cold cache and the queue of its sessions would knock it over again.
func (d *Decider) detectOutliers() {
	for _, p := range d.pools {
		if d.now-p.outliersCheckedAt < outlierCheckInterval {
			continue
		}
		p.outliersCheckedAt = d.now
		d.ejectSlow(p)
		d.readmitUnprobed(p)
	}
}

// readmitUnprobed lets an endpoint back in, step by step, that no request could
// probe: a plain service whose calls may not be repeated has no others. Without
// it one bad minute would take the endpoint out for good.
func (d *Decider) readmitUnprobed(p *pool) {
	for _, e := range p.endpoints {
		if e.isProbeDue(d.now) && d.now-e.health.ejectedUntil >= probeWaitTimeout {
			e.readmit()
		}
	}
}

func (d *Decider) ejectSlow(p *pool) {
	medianTime := p.median((*endpointRow).comparableTimePerToken, d.now)
	medianAge := p.median((*endpointRow).comparableAgeRatio, d.now)
	ejectedCount := 0
	for _, e := range p.endpoints {
		if e.health.state == ejected {
			ejectedCount++
		}
	}
	for _, e := range p.endpoints {
		if e.health.state == ejected || e.isClosed() {
			continue
		}
		slow := medianTime > 0 && e.comparableTimePerToken(d.now) > slowFactor*medianTime
		stuck := medianAge > 0 && e.comparableAgeRatio(d.now) > max(maxAgeRatio, slowFactor*medianAge)
		if !slow && !stuck {
			continue
		}
		if float64(ejectedCount+1) > max(1, maxEjectedShare*float64(len(p.endpoints))) {
			return
		}
		ejectedCount++
		d.eject(e, reasonSlow)
	}
}

// median returns the median of a measure over the endpoints in use that have
// one, or 0 if these are too few to be peers.
func (p *pool) median(measure func(*endpointRow, Time) float64, now Time) float64 {
	values := p.medianScratch[:0]
	for _, e := range p.endpoints {
		if v := measure(e, now); v > 0 && e.health.state != ejected && !e.isClosed() {
			values = append(values, v)
		}
	}
	p.medianScratch = values
	if len(values) < minJudgedPeers {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// comparableTimePerToken is the time for a token, with the part that a full batch explains
// taken off, or 0 without enough evidence.
func (e *endpointRow) comparableTimePerToken(now Time) float64 {
	if e.estimates.samples < minJudgedSamples {
		return 0
	}
	return e.estimates.timePerToken / (1 + min(1, e.load(now)/float64(max(1, e.Slots))))
}

// comparableAgeRatio is overdue, or 0 without enough evidence.
func (e *endpointRow) comparableAgeRatio(now Time) float64 {
	if e.inFlight < minJudgedRunning {
		return 0
	}
	return e.ageRatio(now)
}

func (d *Decider) eject(e *endpointRow, reason ejectReason) {
	h := &e.health
	h.ejectionPause = min(max(2*h.ejectionPause, minEjectionPause), maxEjectionPause)
	h.state, h.ejectedUntil, h.reason = ejected, d.now+h.ejectionPause, reason
	h.consecutiveFailures, h.consecutiveStalls = 0, 0
}

func (d *Decider) observeFailure(row *requestRow, result Result) {
	e := row.endpoint
	h := &e.health
	h.consecutiveFailures++
	if result.Stalled {
		h.consecutiveStalls++
	}
	if h.state != healthy || h.consecutiveFailures >= maxConsecutiveFailures || h.consecutiveStalls >= maxConsecutiveStalls {
		if h.state != ejected || row.startedAt >= h.ejectedUntil {
			d.eject(e, reasonFailing)
		}
	}
}

func (d *Decider) observeSuccess(row *requestRow, timePerToken float64) {
	e := row.endpoint
	h := &e.health
	switch {
	case h.state == ejected && row.startedAt >= h.ejectedUntil:
		d.evaluateProbe(row, timePerToken)
	case h.state == ramping:
		h.rampShare += rampStep
		if h.rampShare >= 1 {
			h.state, h.ejectionPause = healthy, 0
		}
	}
	h.consecutiveFailures, h.consecutiveStalls = 0, 0
}

// evaluateProbe lets an endpoint back in if its answer was as fast as its peers'.
func (d *Decider) evaluateProbe(row *requestRow, timePerToken float64) {
	e := row.endpoint
	median := row.pool.median((*endpointRow).comparableTimePerToken, d.now)
	if e.health.reason == reasonSlow && median > 0 && timePerToken > slowFactor*median {
		d.eject(e, reasonSlow)
		return
	}
	e.readmit()
}

// readmit gives the endpoint its first slots again. What was learned while it
// was slow or failing holds no more.
func (e *endpointRow) readmit() {
	e.health.state, e.health.rampShare = ramping, initialRampShare
	e.estimates = endpointEstimates{}
}

// rampedSlots returns the slots that the endpoint's health allows, at least one.
func (e *endpointRow) rampedSlots() float64 {
	if e.health.state != ramping {
		return float64(e.Slots)
	}
	return max(1, e.health.rampShare*float64(e.Slots))
}

func (e *endpointRow) isProbeDue(now Time) bool {
	return e.health.state == ejected && !e.isClosed() && now >= e.health.ejectedUntil && e.probeID == 0 && e.inFlight < e.Slots
}

// probeCandidate returns an endpoint that the row may probe, or nil. Only a request
// that may be repeated is risked, with time enough even if the endpoint is as
// slow as it was; none by a machine with a short deadline, and no retry, whose
// caller was unlucky once already.
func (d *Decider) probeCandidate(p *pool, row *requestRow) *endpointRow {
	if p.probesDue == 0 || !row.Repeatable || row.class == int(PriorityCall) || row.attemptNumber() > 1 {
		return nil
	}
	for _, e := range p.endpoints {
		if e.isProbeDue(d.now) && !row.avoids(e) && d.predictFirstToken(row, e) < maxProbeShare*(row.Deadline-d.now).Seconds() {
			p.probesDue--
			return e
		}
	}
	return nil
}

// retryBudget keeps retries a small share of first tries, over all pools.
type retryBudget struct{ tokens float64 }

const (
	// retryRatio is what each first try adds: a fleet in trouble gets a tenth
	// more load from retries at most, not three times as much.
	retryRatio = 0.1
	// retryBurst covers the death of one endpoint on a small site: all its
	// running requests go elsewhere at once.
	retryBurst = 32
)

func newRetryBudget() retryBudget { return retryBudget{tokens: retryBurst} }

// allow takes an attempt and tells whether the budget covers it.
func (b *retryBudget) allow(attempt int, p *pool) bool {
	if attempt <= 1 {
		b.tokens = min(b.tokens+retryRatio, max(retryBurst, float64(p.maxSlots)))
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
