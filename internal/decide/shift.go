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
	// maxSlowShare bounds the endpoints taken out for slowness: beyond it the
	// load is the cause, and taking out more would make it worse.
	maxSlowShare = 1.0 / 3
	// The pause before a probe, at first and at most.
	firstPause, maxPause = 5 * time.Second, 60 * time.Second
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
	}
}

func (d *Decider) ejectSlow(p *pool) {
	paces := p.scratch[:0]
	out := 0
	for _, e := range p.endpoints {
		if e.health.state == ejected {
			out++
		} else if !e.out() && e.learned.samples >= samplesToJudge {
			paces = append(paces, e.pace(d.now))
		}
	}
	p.scratch = paces
	if len(paces) < peersToJudge {
		return
	}
	slices.Sort(paces)
	median := paces[(len(paces)-1)/2]
	for _, e := range p.endpoints {
		if e.health.state == ejected || e.out() || e.learned.samples < samplesToJudge {
			continue
		}
		if e.pace(d.now) <= slowFactor*median {
			continue
		}
		if float64(out+1) > max(1, maxSlowShare*float64(len(p.endpoints))) {
			return
		}
		out++
		d.eject(e, forSlow)
	}
}

// pace is the time for a token, with the part that a full batch explains taken
// off.
func (e *endpointRow) pace(now Time) float64 {
	return e.learned.pace / (1 + min(1, e.load(now)/float64(max(1, e.Slots))))
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
	median := row.pool.medianPace()
	if e.health.ejectedFor == forSlow && median > 0 && pace > slowFactor*median {
		d.eject(e, forSlow)
		return
	}
	e.health.state, e.health.ramp = ramping, firstRamp
	// What was learned while it was slow or failing holds no more.
	e.learned = learned{}
}

func (p *pool) medianPace() float64 {
	paces := p.scratch[:0]
	for _, e := range p.endpoints {
		if e.health.state != ejected && e.learned.samples >= samplesToJudge {
			paces = append(paces, e.learned.pace)
		}
	}
	p.scratch = paces
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
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
// that may be repeated is risked, none by a machine with a short deadline, and
// no retry, whose caller was unlucky once already.
func (d *Decider) probeFor(p *pool, row *requestRow) *endpointRow {
	if p.probes == 0 || !row.Repeatable || row.class == int(PriorityCall) || row.attempt() > 1 {
		return nil
	}
	for _, e := range p.endpoints {
		if e.wantsProbe(d.now) && !row.avoids(e) {
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
		b.tokens = min(b.tokens+retryShare, max(retryBurst, p.maxSlots()))
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// maxSlots returns the slots of the pool's largest endpoint.
func (p *pool) maxSlots() float64 {
	most := 0
	for _, e := range p.endpoints {
		most = max(most, e.Slots)
	}
	return float64(most)
}
