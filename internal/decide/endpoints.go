package decide

import (
	"math"
	"slices"
	"strings"
	"time"
)

// endpointRow is one endpoint as configured, reported and learned.
type endpointRow struct {
	Endpoint
	hash          uint64
	gone          bool // No longer listed; kept while requests run there.
	leavingSaid   bool // On its own word; see SetLeaving.
	leavingSaidAt Time

	inFlight   int // Started here by this Decider, at most Slots.
	inFlightBy [classCount]int
	ownLagged  float64 // inFlight as a report of now would have seen it.
	ownAt      Time

	report     Report
	reported   bool
	reportedAt Time    // When the last report came.
	others     float64 // Damped load by other instances.
	othersMean float64 // Over many reports, as is ownMean.
	ownMean    float64

	// grants is how many long requests this instance may start until the next
	// report: its part of the free slots, and one for each request that it
	// finishes. All instances see the same free slot; if each put a report
	// there, questions would find none for the report's whole run. Questions
	// themselves don't wait for grants: their slots turn over too fast (tried:
	// 7 % less goodput at 150 % of capacity).
	grants        float64
	parked        rowHeap // Rows that wait for a slot here, out of the order.
	woken         bool    // It is in the Decider's woken.
	homeQueue     int     // Queued rows that wait for this endpoint.
	startsSum     Time    // Of the own running requests' starts.
	spanSum       float64 // Of their spans.
	awaiting      int     // Own requests without a first token yet.
	awaitingSince Time    // The sum of their starts.
	pending       float64 // Own prompt tokens not yet computed, as a fluid.
	pendingAt     Time
	delay         float64
	delayAt       Time
	learned       learned
	health        health
	probe         RequestID // The probe in flight; 0 for none.
}

const (
	// leavingHold is how long an endpoint's own word that it leaves outlives a
	// list that does not say so: the list lags by seconds.
	leavingHold = 30 * time.Second
	// reportLag is the time by which reports are taken to lag.
	reportLag = 200 * time.Millisecond
	// reportGain damps what reports say of the others: with several instances
	// each moves most of the way, so that they do not all jump at once on the
	// same news.
	reportGain = 0.8
	// reportStale is the age from which a report loses its weight by half each
	// reportHalfLife: a high load that was never taken back must not keep an
	// endpoint empty for ever.
	reportStale    = 2 * time.Second
	reportHalfLife = 5 * time.Second
	// meanGain makes the long averages of the own and the others' load; their
	// ratio moves only when instances come and go.
	meanGain = 0.02
	// leastOwnMean keeps the ratio finite at an endpoint hardly used.
	leastOwnMean = 0.1
	// maxFleetFactor bounds the guess from few own requests.
	maxFleetFactor = 8
	// awaitingToJudge is how many waiting requests are taken for a sign.
	awaitingToJudge = 2
	// delayHalfLife lets an observed delay fade: no news for a second or two
	// means that the endpoint is idle, or that nobody was sent there for it.
	delayHalfLife = 2 * time.Second
	// defaultQueue bounds an endpoint's own queue: what overshoots while
	// reports lag may wait there, no more.
	defaultQueue = 4
)

// SetEndpoints replaces the endpoint table. Rows that stay keep their state.
func (d *Decider) SetEndpoints(endpoints []Endpoint) {
	changed := false
	listed := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].Name] = true
		changed = d.setEndpoint(&endpoints[i]) || changed
	}
	kept := d.endpoints[:0]
	for _, e := range d.endpoints {
		if !listed[e.Name] {
			changed = changed || !e.gone
			e.gone = true
			if e.inFlight == 0 {
				d.prefixes.forget(e)
				changed = true
				continue
			}
		}
		kept = append(kept, e)
	}
	clear(d.endpoints[len(kept):])
	d.endpoints = kept
	if changed {
		d.generation++
		d.buildPools()
	}
}

// setEndpoint takes one listed endpoint and tells whether the pools change.
func (d *Decider) setEndpoint(listed *Endpoint) bool {
	at, found := d.search(listed.Name)
	if !found {
		e := &endpointRow{Endpoint: *listed, hash: hashString(listed.Name), parked: rowHeap{index: parkIndex}}
		e.Models = slices.Clone(listed.Models)
		d.endpoints = slices.Insert(d.endpoints, at, e)
		return true
	}
	e := d.endpoints[at]
	if e.leavingSaid && d.now-e.leavingSaidAt >= leavingHold {
		e.leavingSaid = false
	}
	same := !e.gone && e.Service == listed.Service && e.Team == listed.Team &&
		e.Weight == listed.Weight && e.Slots == listed.Slots && e.Zone == listed.Zone && slices.Equal(e.Models, listed.Models)
	models := e.Models
	if !same {
		models = slices.Clone(listed.Models)
	}
	e.Endpoint, e.gone = *listed, false
	e.Models = models
	return !same
}

func (d *Decider) search(name string) (int, bool) {
	return slices.BinarySearchFunc(d.endpoints, name, func(e *endpointRow, name string) int {
		return strings.Compare(e.Name, name)
	})
}

func (d *Decider) endpoint(name string) *endpointRow {
	at, found := d.search(name)
	if !found {
		return nil
	}
	return d.endpoints[at]
}

// out tells whether the endpoint takes no new work at all.
func (e *endpointRow) out() bool { return e.gone || e.Leaving || e.leavingSaid }

// setReport separates the others' load from the own. Own starts since the
// report was made are not in it, so the own part is taken as it was then.
func (e *endpointRow) setReport(r Report, now Time, chance float64) {
	if e.reported && r.At < e.report.At {
		return
	}
	e.followOwn(now)
	sample := max(0, float64(r.Running+r.Queued)-e.ownLagged)
	if !e.reported {
		e.others, e.othersMean, e.ownMean = sample, sample, e.ownLagged
	}
	e.othersMean += meanGain * (sample - e.othersMean)
	e.ownMean += meanGain * (e.ownLagged - e.ownMean)
	e.others += reportGain * (sample - e.others)
	e.report, e.reported, e.reportedAt = r, true, now
	free := max(0, float64(e.Slots)-e.load(now))
	e.grants = float64(int(free/e.fleetFactor(now) + chance))
}

// crowded tells whether this instance has used up its part of what the last
// report left free.
func (e *endpointRow) crowded(now Time) bool {
	return e.reported && now-e.reportedAt <= reportStale && e.grants < 1
}

// followOwn moves ownLagged after inFlight; call it before inFlight changes.
func (e *endpointRow) followOwn(now Time) {
	passed := float64(now - e.ownAt)
	e.ownLagged += (float64(e.inFlight) - e.ownLagged) * (1 - math.Exp(-passed/float64(reportLag)))
	e.ownAt = now
}

// load returns the requests at the endpoint: its own exactly, the others' as
// last reported.
func (e *endpointRow) load(now Time) float64 {
	return float64(e.inFlight) + e.othersNow(now)
}

func (e *endpointRow) othersNow(now Time) float64 {
	age := now - e.reportedAt
	if age <= reportStale || e.others == 0 {
		return e.others
	}
	return e.others * math.Exp2(-float64(age-reportStale)/float64(reportHalfLife))
}

// queueFull tells whether the endpoint's own queue is at its bound.
func (e *endpointRow) queueFull(now Time) bool {
	bound := e.Queue
	if bound == 0 {
		bound = defaultQueue
	}
	return e.reported && e.report.Queued > bound && now-e.reportedAt <= reportStale
}

// pendingTokens returns the own prompt tokens that the endpoint has still to
// compute, as a fluid that drains at the learned rate.
func (e *endpointRow) pendingTokens(now Time) float64 {
	drained := (now - e.pendingAt).Seconds() / e.learned.prefill()
	return max(0, e.pending-drained)
}

// fleetFactor is how many requests the endpoint gets for each of this
// instance's own: what this one sends, the others are taken to send as well.
func (e *endpointRow) fleetFactor(now Time) float64 {
	if now-e.reportedAt > reportStale {
		return 1
	}
	return min(1+e.othersMean/max(e.ownMean, leastOwnMean), maxFleetFactor)
}

// delayNow returns by how many seconds first tokens come later than predicted.
// It covers what this instance can't see: the prompts of the others. Those that
// still wait for theirs tell it sooner than those that have it.
func (e *endpointRow) delayNow(now Time) float64 {
	past := 0.0
	if e.delay > 0 {
		past = e.delay * math.Exp2(-float64(now-e.delayAt)/float64(delayHalfLife))
	}
	if e.awaiting < awaitingToJudge {
		return past
	}
	age := (now - e.awaitingSince/Time(e.awaiting)).Seconds()
	return max(past, age-e.learned.base)
}

// overdue returns how old the own running requests are on average, in spans. A
// steady endpoint stays near a half; one that got slow shows it here long before
// its first slow request ends.
func (e *endpointRow) overdue(now Time) float64 {
	if e.inFlight == 0 || e.spanSum <= 0 {
		return 0
	}
	return (now*Time(e.inFlight) - e.startsSum).Seconds() / e.spanSum
}

// answered ends the row's wait for its first token.
func (e *endpointRow) answered(row *requestRow) {
	if !row.answered {
		row.answered = true
		e.awaiting--
		e.awaitingSince -= row.startedAt
	}
}

// slotWait predicts the seconds until a slot is free with so many more
// requests ahead.
func (e *endpointRow) slotWait(now Time, ahead, hold float64) float64 {
	slots := max(1, e.rampedSlots())
	hold = known(e.learned.hold, hold) * max(1, e.judgedOverdue(now))
	return max(0, e.load(now)+ahead+1-slots) * hold / slots
}

func (e *endpointRow) start(row *requestRow, d *Decider) {
	e.followOwn(d.now)
	e.inFlight++
	e.grants--
	e.inFlightBy[row.class]++
	row.endpoint, row.startedAt = e, d.now
	row.expected = d.firstToken(row, e) - e.delayNow(d.now)
	row.uncached = d.uncached(row, e)
	e.pending = e.pendingTokens(d.now) + row.uncached
	e.pendingAt = d.now
	row.prefillDue = e.pending
	row.span = row.pool.span(row)
	e.startsSum += d.now
	e.spanSum += row.span
	e.awaiting++
	e.awaitingSince += d.now
	if e.health.state == ejected {
		e.probe = row.ID
	}
}
