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
	state      healthState
	failures   int // In a row.
	silences   int // In a row.
	until      Time
	pause      time.Duration // Of the last ejection; doubles.
	ramp       float64       // Share of the slots, while ramping.
	ejectedFor ejectReason
}

type ejectReason uint8

const (
	forFailing ejectReason = iota
	forSlow
)

const (
	// checkEvery is the pause between two comparisons of peers.
	checkEvery = 250 * time.Millisecond
	// failuresToEject in a row are no accident; a single one is retried elsewhere.
	failuresToEject = 3
	// silencesToEject is lower: each costs its caller a whole progress deadline.
	silencesToEject = 2
	// slowFactor is how much slower than its peers' median an endpoint is when
	// it is taken out. Load alone makes a factor of two.
	slowFactor = 2.5
	// samplesToJudge and peersToJudge are the least evidence for "slow".
	samplesToJudge, peersToJudge = 5, 3
	// overdueToEject is the mean age of the running requests, in the spans of
	// the pool, that is no accident: requests that all just end are at one, at
	// most. runningToJudge of them are enough evidence.
	overdueToEject, runningToJudge = 2.0, 3
	// maxSlowShare bounds the endpoints taken out for slowness: beyond it the
	// load is the cause, and taking out more would make it worse.
	maxSlowShare = 1.0 / 3
	// The pause before a probe, at first and at most.
	firstPause, maxPause = 5 * time.Second, 60 * time.Second
	// probeShare is the part of its caller's patience that a probe's first token
	// may take.
	probeShare = 0.3
	// unprobedFor is how long an endpoint waits for a request that may probe it.
	unprobedFor = 30 * time.Second
	// firstRamp is the share of slots after a good probe; each success adds
	// rampStep, so that a full return takes about twenty requests.
	firstRamp, rampStep = 0.1, 0.05
)

// shift serves the day on which one endpoint in many is slow, fails or goes
// silent. It compares each with its peers, takes the outlier out of placement
// so that its callers are not the ones who find out, probes it with single
// requests that may be repeated, and lets it back in step by step: at once, its
// cold cache and the queue of its sessions would knock it over again.
func (d *Decider) shift() {
	for _, p := range d.pools {
		if d.now-p.checkedAt < checkEvery {
			continue
		}
		p.checkedAt = d.now
		d.ejectSlow(p)
		d.returnUnprobed(p)
	}
}

// returnUnprobed lets an endpoint back in, step by step, that no request could
// probe: a plain service whose calls may not be repeated has no others. Without
// it one bad minute would take the endpoint out for good.
func (d *Decider) returnUnprobed(p *pool) {
	for _, e := range p.endpoints {
		if e.wantsProbe(d.now) && d.now-e.health.until >= unprobedFor {
			e.readmit()
		}
	}
}

func (d *Decider) ejectSlow(p *pool) {
	pace := p.median((*endpointRow).judgedPace, d.now)
	overdue := p.median((*endpointRow).judgedOverdue, d.now)
	out := 0
	for _, e := range p.endpoints {
		if e.health.state == ejected {
			out++
		}
	}
	for _, e := range p.endpoints {
		if e.health.state == ejected || e.out() {
			continue
		}
		slow := pace > 0 && e.judgedPace(d.now) > slowFactor*pace
		late := overdue > 0 && e.judgedOverdue(d.now) > max(overdueToEject, slowFactor*overdue)
		if !slow && !late {
			continue
		}
		if float64(out+1) > max(1, maxSlowShare*float64(len(p.endpoints))) {
			return
		}
		out++
		d.eject(e, forSlow)
	}
}

// median returns the median of a measure over the endpoints in use that have
// one, or 0 if these are too few to be peers.
func (p *pool) median(of func(*endpointRow, Time) float64, now Time) float64 {
	values := p.scratch[:0]
	for _, e := range p.endpoints {
		if v := of(e, now); v > 0 && e.health.state != ejected && !e.out() {
			values = append(values, v)
		}
	}
	p.scratch = values
	if len(values) < peersToJudge {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// judgedPace is the time for a token, with the part that a full batch explains
// taken off, or 0 without enough evidence.
func (e *endpointRow) judgedPace(now Time) float64 {
	if e.learned.samples < samplesToJudge {
		return 0
	}
	return e.learned.pace / (1 + min(1, e.load(now)/float64(max(1, e.Slots))))
}

// judgedOverdue is overdue, or 0 without enough evidence.
func (e *endpointRow) judgedOverdue(now Time) float64 {
	if e.inFlight < runningToJudge {
		return 0
	}
	return e.overdue(now)
}

func (d *Decider) eject(e *endpointRow, why ejectReason) {
	h := &e.health
	h.pause = min(max(2*h.pause, firstPause), maxPause)
	h.state, h.until, h.ejectedFor = ejected, d.now+h.pause, why
	h.failures, h.silences = 0, 0
}

func (d *Decider) learnFailure(row *requestRow, result Result) {
	e := row.endpoint
	h := &e.health
	h.failures++
	if result.Silent {
		h.silences++
	}
	if h.state != healthy || h.failures >= failuresToEject || h.silences >= silencesToEject {
		if h.state != ejected || row.startedAt >= h.until {
			d.eject(e, forFailing)
		}
	}
}

func (d *Decider) learnSuccess(row *requestRow, pace float64) {
	e := row.endpoint
	h := &e.health
	switch {
	case h.state == ejected && row.startedAt >= h.until:
		d.judgeProbe(row, pace)
	case h.state == ramping:
		h.ramp += rampStep
		if h.ramp >= 1 {
			h.state, h.pause = healthy, 0
		}
	}
	h.failures, h.silences = 0, 0
}

// judgeProbe lets an endpoint back in if its answer was as fast as its peers'.
func (d *Decider) judgeProbe(row *requestRow, pace float64) {
	e := row.endpoint
	median := row.pool.median((*endpointRow).judgedPace, d.now)
	if e.health.ejectedFor == forSlow && median > 0 && pace > slowFactor*median {
		d.eject(e, forSlow)
		return
	}
	e.readmit()
}

// readmit gives the endpoint its first slots again. What was learned while it
// was slow or failing holds no more.
func (e *endpointRow) readmit() {
	e.health.state, e.health.ramp = ramping, firstRamp
	e.learned = learned{}
}

// rampedSlots returns the slots that the endpoint's health allows, at least one.
func (e *endpointRow) rampedSlots() float64 {
	if e.health.state != ramping {
		return float64(e.Slots)
	}
	return max(1, e.health.ramp*float64(e.Slots))
}

func (e *endpointRow) wantsProbe(now Time) bool {
	return e.health.state == ejected && !e.out() && now >= e.health.until && e.probe == 0 && e.inFlight < e.Slots
}

// probeFor returns an endpoint that the row may probe, or nil. Only a request
// that may be repeated is risked, with time enough even if the endpoint is as
// slow as it was; none by a machine with a short deadline, and no retry, whose
// caller was unlucky once already.
func (d *Decider) probeFor(p *pool, row *requestRow) *endpointRow {
	if p.probes == 0 || !row.Repeatable || row.class == int(PriorityCall) || row.attempt() > 1 {
		return nil
	}
	for _, e := range p.endpoints {
		if e.wantsProbe(d.now) && !row.avoids(e) && d.firstToken(row, e) < probeShare*(row.Deadline-d.now).Seconds() {
			p.probes--
			return e
		}
	}
	return nil
}

// retryBudget keeps retries a small share of first tries, over all pools.
type retryBudget struct{ tokens float64 }

const (
	// retryShare is what each first try adds: a fleet in trouble gets a tenth
	// more load from retries at most, not three times as much.
	retryShare = 0.1
	// retryBurst covers the death of one endpoint on a small site: all its
	// running requests go elsewhere at once.
	retryBurst = 32
)

func newRetryBudget() retryBudget { return retryBudget{tokens: retryBurst} }

// allow takes an attempt and tells whether the budget covers it.
func (b *retryBudget) allow(attempt int, p *pool) bool {
	if attempt <= 1 {
		b.tokens = min(b.tokens+retryShare, max(retryBurst, float64(p.mostSlots)))
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
