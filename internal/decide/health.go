package decide

import (
	"slices"
	"time"
)

// healthState is how much work an endpoint gets.
type healthState uint8

const (
	healthy healthState = iota
	// An ejected endpoint gets probes only.
	ejected
	// A ramping endpoint gets a growing share of its slots.
	ramping
)

// health is the result of the outlier detection for an endpoint.
type health struct {
	state               healthState
	consecutiveFailures int
	consecutiveStalls   int
	ejectedUntil        Time          // When the next probe may start.
	ejectionPause       time.Duration // Length of the last ejection; doubles with the next.
	rampShare           float64       // Share of the slots, while ramping.
	reason              ejectReason   // Why it was last ejected.
}

type ejectReason uint8

const (
	reasonFailing ejectReason = iota
	reasonSlow
)

const (
	// outlierCheckInterval is the time between two comparisons of a pool's
	// endpoints.
	outlierCheckInterval = 250 * time.Millisecond
	// maxConsecutiveFailures is how many failures in a row eject an endpoint. A
	// single one is retried elsewhere.
	maxConsecutiveFailures = 3
	// maxConsecutiveStalls is lower than maxConsecutiveFailures because each
	// stall costs its caller a whole progress timeout.
	maxConsecutiveStalls = 2
	// slowFactor is how many times the median of its peers an endpoint's time
	// per token must be to eject it. Load alone makes a factor of two.
	slowFactor = 2.5
	// An endpoint is compared with its peers after minJudgedSamples results, and
	// if at least minJudgedPeers endpoints have a value.
	minJudgedSamples, minJudgedPeers = 5, 3
	// maxAgeRatio is the average age of the running requests, as a multiple of
	// their expected duration, above which an endpoint may be ejected. Requests
	// that are all about to end have a ratio of one at most. At least
	// minJudgedRunning requests are needed.
	maxAgeRatio, minJudgedRunning = 2.0, 3
	// maxEjectedShare is the share of a pool's endpoints up to which slow ones
	// are ejected. Beyond it the load is the cause, and ejecting more would make
	// it worse.
	maxEjectedShare = 1.0 / 3
	// The time from an ejection to the first probe, which doubles with each
	// ejection that follows.
	minEjectionPause, maxEjectionPause = 5 * time.Second, 60 * time.Second
	// maxProbeShare is the share of the time to the deadline that the first
	// token of a probe may take by prediction.
	maxProbeShare = 0.3
	// probeWaitTimeout is how long an endpoint waits for a request that may
	// probe it.
	probeWaitTimeout = 30 * time.Second
	// initialRampShare is the share of the slots after a successful probe. Each
	// success adds rampStep, so that an endpoint is back after about twenty
	// requests.
	initialRampShare, rampStep = 0.1, 0.05
)

// detectOutliers ejects endpoints that are much slower than their peers and
// readmits those that nothing can probe. Failing and stalling endpoints are
// ejected by observeFailure. An ejected endpoint is probed with single
// requests that may be repeated, and then gets its slots back step by step:
// with all at once, its cold cache and the queue of its sessions would
// overload it again.
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

// readmitUnprobed readmits endpoints that no request has probed in time. The
// calls of some plain services may not be repeated, so none of them can be a
// probe; without readmission one bad minute would take such an endpoint out
// of use for good.
func (d *Decider) readmitUnprobed(p *pool) {
	for _, e := range p.endpoints {
		if e.isProbeDue(d.now) && d.now-e.health.ejectedUntil >= probeWaitTimeout {
			e.readmit()
		}
	}
}

// ejectSlow ejects the endpoints of a pool whose time per token or whose
// running requests' age is far above the median of their peers.
func (d *Decider) ejectSlow(p *pool) {
	medianTime := p.medianOfEndpoints((*endpointRow).comparableTimePerToken, d.now)
	medianAge := p.medianOfEndpoints((*endpointRow).comparableAgeRatio, d.now)
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

// medianOfEndpoints returns the median of a measure over the endpoints that are
// neither ejected nor closed and have a value, or 0 if these are too few to
// compare.
func (p *pool) medianOfEndpoints(measure func(*endpointRow, Time) float64, now Time) float64 {
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

// comparableTimePerToken returns the estimated seconds per token, reduced by
// the part that the endpoint's load explains, or 0 after too few results.
func (e *endpointRow) comparableTimePerToken(now Time) float64 {
	if e.estimates.samples < minJudgedSamples {
		return 0
	}
	return e.estimates.timePerToken / (1 + min(1, e.load(now)/float64(max(1, e.Slots))))
}

// comparableAgeRatio returns ageRatio, or 0 with too few running requests.
func (e *endpointRow) comparableAgeRatio(now Time) float64 {
	if e.inFlight < minJudgedRunning {
		return 0
	}
	return e.ageRatio(now)
}

// eject takes an endpoint out of use until its next probe.
func (d *Decider) eject(e *endpointRow, reason ejectReason) {
	h := &e.health
	h.ejectionPause = min(max(2*h.ejectionPause, minEjectionPause), maxEjectionPause)
	h.state, h.ejectedUntil, h.reason = ejected, d.now+h.ejectionPause, reason
	h.consecutiveFailures, h.consecutiveStalls = 0, 0
}

// observeFailure counts a failed attempt and ejects the endpoint after too
// many in a row, or at once if it was a probe or the endpoint is ramping.
// Attempts from before an ejection do not prolong it.
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

// observeSuccess ends the row of failures. It evaluates a probe, and gives a
// ramping endpoint more slots.
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

// evaluateProbe readmits an endpoint after a successful probe. One that was
// ejected for being slow must also be about as fast as its peers.
func (d *Decider) evaluateProbe(row *requestRow, timePerToken float64) {
	e := row.endpoint
	median := row.pool.medianOfEndpoints((*endpointRow).comparableTimePerToken, d.now)
	if e.health.reason == reasonSlow && median > 0 && timePerToken > slowFactor*median {
		d.eject(e, reasonSlow)
		return
	}
	e.readmit()
}

// readmit gives an ejected endpoint its first slots again. Estimates from the
// time when it was slow or failing are dropped.
func (e *endpointRow) readmit() {
	e.health.state, e.health.rampShare = ramping, initialRampShare
	e.estimates = endpointEstimates{}
}

// rampedSlots returns the number of slots that the endpoint's health allows,
// at least one.
func (e *endpointRow) rampedSlots() float64 {
	if e.health.state != ramping {
		return float64(e.Slots)
	}
	return max(1, e.health.rampShare*float64(e.Slots))
}

// isProbeDue reports whether the endpoint is ejected and may get a probe now.
func (e *endpointRow) isProbeDue(now Time) bool {
	return e.health.state == ejected && !e.isClosed() && now >= e.health.ejectedUntil && e.probeID == 0 && e.inFlight < e.Slots
}

// probeCandidate returns an endpoint that the row may probe, or nil. A probe
// must be repeatable and have enough time left for an endpoint that is as
// slow as before. Calls by machines, whose deadlines are short, and retries,
// which have failed once already, are not used.
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

// retryBudget keeps retries a small share of first attempts, over all pools.
type retryBudget struct{ tokens float64 }

const (
	// retryRatio is what each first attempt adds to the budget: retries add at
	// most a tenth to the load of a fleet in trouble, and don't multiply it by
	// three.
	retryRatio = 0.1
	// retryBurst covers the failure of one endpoint on a small site, after which
	// all its running requests are retried elsewhere at once.
	retryBurst = 32
)

func newRetryBudget() retryBudget { return retryBudget{tokens: retryBurst} }

// allow counts an attempt and reports whether the budget covers it. The
// budget holds at most retryBurst or the slots of the pool's largest
// endpoint.
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
