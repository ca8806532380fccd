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
	removed       bool // No longer listed; kept while requests run there.
	selfLeaving   bool // On its own word; see SetLeaving.
	selfLeavingAt Time

	inFlight        int // Started here by this Decider, at most Slots.
	inFlightByClass [classCount]int
	ownLagged       float64 // inFlight as a report of now would have seen it.
	ownLaggedAt     Time

	report         LoadReport
	reported       bool
	reportedAt     Time    // When the last report came.
	othersLoad     float64 // Damped load by other instances.
	othersLoadMean float64 // Over many reports, as is ownMean.
	ownLoadMean    float64

	// startQuota is how many long requests this instance may start until the next
	// report: its part of the free slots, and one for each request that it
	// finishes. All instances see the same free slot; if each put a report
	// there, questions would find none for the report's whole run. Questions
	// themselves don't wait for startQuota: their slots turn over too fast (tried:
	// 7 % less goodput at 150 % of capacity).
	startQuota          float64
	blockedRows         rowHeap // Rows that wait for a slot here, out of the order.
	markedChanged       bool    // It is in the Decider's woken.
	queuedPreferring    int     // Queued rows that wait for this endpoint.
	startTimeSum        Time    // Of the own running requests' starts.
	expectedDurationSum float64 // Of their spans.
	awaitingFirstToken  int     // Own requests without a first token yet.
	awaitingStartSum    Time    // The sum of their starts.
	pendingPrefill      float64 // Own prompt tokens not yet computed, as a fluid.
	pendingPrefillAt    Time
	firstTokenDelay     float64
	firstTokenDelayAt   Time
	estimates           endpointEstimates
	health              health
	probeID             RequestID // The probe in flight; 0 for none.
}

const (
	// selfLeavingTTL is how long an endpoint's own word that it leaves outlives a
	// list that does not say so: the list lags by seconds.
	selfLeavingTTL = 30 * time.Second
	// reportLag is the time by which reports are taken to lag.
	reportLag = 200 * time.Millisecond
	// reportGain damps what reports say of the others: with several instances
	// each moves most of the way, so that they do not all jump at once on the
	// same news.
	reportGain = 0.8
	// reportStaleAge is the age from which a report loses its weight by half each
	// reportHalfLife: a high load that was never taken back must not keep an
	// endpoint empty for ever.
	reportStaleAge = 2 * time.Second
	reportHalfLife = 5 * time.Second
	// loadMeanGain makes the long averages of the own and the others' load; their
	// ratio moves only when instances come and go.
	loadMeanGain = 0.02
	// minOwnLoadMean keeps the ratio finite at an endpoint hardly used.
	minOwnLoadMean = 0.1
	// maxFleetFactor bounds the guess from few own requests.
	maxFleetFactor = 8
	// minAwaitingFirstToken is how many waiting requests are taken for a sign.
	minAwaitingFirstToken = 2
	// delayHalfLife lets an observed delay fade: no news for a second or two
	// means that the endpoint is idle, or that nobody was sent there for it.
	delayHalfLife = 2 * time.Second
	// defaultMaxQueued bounds an endpoint's own queue: what overshoots while
	// reports lag may wait there, no more.
	defaultMaxQueued = 4
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
			changed = changed || !e.removed
			e.removed = true
			if e.inFlight == 0 {
				d.prefixes.removeEndpoint(e)
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
		d.rebuildPools()
	}
}

// setEndpoint takes one listed endpoint and tells whether the pools change.
func (d *Decider) setEndpoint(listed *Endpoint) bool {
	at, found := d.findEndpoint(listed.Name)
	if !found {
		e := &endpointRow{Endpoint: *listed, hash: hashString(listed.Name), blockedRows: rowHeap{indexField: blockedIndex}}
		e.Models = slices.Clone(listed.Models)
		d.endpoints = slices.Insert(d.endpoints, at, e)
		return true
	}
	e := d.endpoints[at]
	if e.selfLeaving && d.now-e.selfLeavingAt >= selfLeavingTTL {
		e.selfLeaving = false
	}
	same := !e.removed && e.Service == listed.Service && e.Team == listed.Team &&
		e.Weight == listed.Weight && e.Slots == listed.Slots && e.Zone == listed.Zone && slices.Equal(e.Models, listed.Models)
	models := e.Models
	if !same {
		models = slices.Clone(listed.Models)
	}
	e.Endpoint, e.removed = *listed, false
	e.Models = models
	return !same
}

func (d *Decider) findEndpoint(name string) (int, bool) {
	return slices.BinarySearchFunc(d.endpoints, name, func(e *endpointRow, name string) int {
		return strings.Compare(e.Name, name)
	})
}

func (d *Decider) endpointByName(name string) *endpointRow {
	at, found := d.findEndpoint(name)
	if !found {
		return nil
	}
	return d.endpoints[at]
}

// isClosed tells whether the endpoint takes no new work at all.
func (e *endpointRow) isClosed() bool { return e.removed || e.Leaving || e.selfLeaving }

// applyLoadReport separates the others' load from the own. Own starts since the
// report was made are not in it, so the own part is taken as it was then.
func (e *endpointRow) applyLoadReport(r LoadReport, now Time, rounding float64) {
	if e.reported && r.At < e.report.At {
		return
	}
	e.updateOwnLagged(now)
	sample := max(0, float64(r.Running+r.Queued)-e.ownLagged)
	if !e.reported {
		e.othersLoad, e.othersLoadMean, e.ownLoadMean = sample, sample, e.ownLagged
	}
	e.othersLoadMean += loadMeanGain * (sample - e.othersLoadMean)
	e.ownLoadMean += loadMeanGain * (e.ownLagged - e.ownLoadMean)
	e.othersLoad += reportGain * (sample - e.othersLoad)
	e.report, e.reported, e.reportedAt = r, true, now
	free := max(0, float64(e.Slots)-e.load(now))
	e.startQuota = float64(int(free/e.fleetFactor(now) + rounding))
}

// startQuotaUsed tells whether this instance has used up its part of what the last
// report left free.
func (e *endpointRow) startQuotaUsed(now Time) bool {
	return e.reported && now-e.reportedAt <= reportStaleAge && e.startQuota < 1
}

// updateOwnLagged moves ownLagged after inFlight; call it before inFlight changes.
func (e *endpointRow) updateOwnLagged(now Time) {
	elapsed := float64(now - e.ownLaggedAt)
	e.ownLagged += (float64(e.inFlight) - e.ownLagged) * (1 - math.Exp(-elapsed/float64(reportLag)))
	e.ownLaggedAt = now
}

// load returns the requests at the endpoint: its own exactly, the others' as
// last reported.
func (e *endpointRow) load(now Time) float64 {
	return float64(e.inFlight) + e.currentOthersLoad(now)
}

func (e *endpointRow) currentOthersLoad(now Time) float64 {
	age := now - e.reportedAt
	if age <= reportStaleAge || e.othersLoad == 0 {
		return e.othersLoad
	}
	return e.othersLoad * math.Exp2(-float64(age-reportStaleAge)/float64(reportHalfLife))
}

// queueFull tells whether the endpoint's own queue is at its bound.
func (e *endpointRow) queueFull(now Time) bool {
	bound := e.MaxQueued
	if bound == 0 {
		bound = defaultMaxQueued
	}
	return e.reported && e.report.Queued > bound && now-e.reportedAt <= reportStaleAge
}

// remainingPrefill returns the own prompt tokens that the endpoint has still to
// compute, as a fluid that drains at the learned rate.
func (e *endpointRow) remainingPrefill(now Time) float64 {
	drained := (now - e.pendingPrefillAt).Seconds() / e.estimates.prefillPerTokenOrDefault()
	return max(0, e.pendingPrefill-drained)
}

// fleetFactor is how many requests the endpoint gets for each of this
// instance's own: what this one sends, the others are taken to send as well.
func (e *endpointRow) fleetFactor(now Time) float64 {
	if now-e.reportedAt > reportStaleAge {
		return 1
	}
	return min(1+e.othersLoadMean/max(e.ownLoadMean, minOwnLoadMean), maxFleetFactor)
}

// currentDelay returns by how many seconds first tokens come later than predicted.
// It covers what this instance can't see: the prompts of the others. Those that
// still wait for theirs tell it sooner than those that have it.
func (e *endpointRow) currentDelay(now Time) float64 {
	observed := 0.0
	if e.firstTokenDelay > 0 {
		observed = e.firstTokenDelay * math.Exp2(-float64(now-e.firstTokenDelayAt)/float64(delayHalfLife))
	}
	if e.awaitingFirstToken < minAwaitingFirstToken {
		return observed
	}
	age := (now - e.awaitingStartSum/Time(e.awaitingFirstToken)).Seconds()
	return max(observed, age-e.estimates.baseFirstToken)
}

// ageRatio returns how old the own running requests are on average, in spans. A
// steady endpoint stays near a half; one that got slow shows it here long before
// its first slow request ends.
func (e *endpointRow) ageRatio(now Time) float64 {
	if e.inFlight == 0 || e.expectedDurationSum <= 0 {
		return 0
	}
	return (now*Time(e.inFlight) - e.startTimeSum).Seconds() / e.expectedDurationSum
}

// endFirstTokenWait ends the row's wait for its first token.
func (e *endpointRow) endFirstTokenWait(row *requestRow) {
	if !row.firstTokenSeen {
		row.firstTokenSeen = true
		e.awaitingFirstToken--
		e.awaitingStartSum -= row.startedAt
	}
}

// slotWait predicts the seconds until a slot is free with so many more
// requests ahead.
func (e *endpointRow) slotWait(now Time, ahead, hold float64) float64 {
	slots := max(1, e.rampedSlots())
	hold = valueOr(e.estimates.slotTime, hold) * max(1, e.comparableAgeRatio(now))
	return max(0, e.load(now)+ahead+1-slots) * hold / slots
}

func (e *endpointRow) addRequest(row *requestRow, d *Decider) {
	e.updateOwnLagged(d.now)
	e.inFlight++
	e.startQuota--
	e.inFlightByClass[row.class]++
	row.endpoint, row.startedAt = e, d.now
	row.expectedFirstToken = d.predictFirstToken(row, e) - e.currentDelay(d.now)
	row.uncached = d.expectedUncached(row, e)
	e.pendingPrefill = e.remainingPrefill(d.now) + row.uncached
	e.pendingPrefillAt = d.now
	row.prefillBacklog = e.pendingPrefill
	row.expectedDuration = row.pool.expectedDuration(row)
	e.startTimeSum += d.now
	e.expectedDurationSum += row.expectedDuration
	e.awaitingFirstToken++
	e.awaitingStartSum += d.now
	if e.health.state == ejected {
		e.probeID = row.ID
	}
}
