package decide

import (
	"math"
	"slices"
	"strings"
	"time"
)

// endpointRow is one endpoint as configured, as reported, and as estimated
// from finished requests.
type endpointRow struct {
	Endpoint
	hash          uint64
	removed       bool // No longer listed; kept while requests run there.
	selfLeaving   bool // Announced by the endpoint; see SetLeaving.
	selfLeavingAt Time

	inFlight        int // Started here by this Decider, at most Slots.
	inFlightByClass [classCount]int
	laggedOwnLoad   float64 // inFlight, delayed by about reportLag: what a report that arrives now counts.
	laggedOwnLoadAt Time    // When laggedOwnLoad was updated.

	report         LoadReport // The last one.
	reported       bool
	reportedAt     Time    // When the last report arrived.
	othersLoad     float64 // Requests of other instances, smoothed.
	othersLoadMean float64 // The others' load, averaged over many reports.
	ownLoadMean    float64 // laggedOwnLoad, averaged over the same reports.

	// startQuota is how many batch requests and cold prompts this instance may
	// still start here until the next report: its part of the free slots, and
	// one for each request that it finishes. All instances see the same free
	// slot; if each started a batch request there, interactive requests would
	// find no slot until those end. Interactive requests are not limited by the
	// quota, because their slots are free again too soon: with the limit goodput
	// at 150 % of capacity was 7 % lower.
	startQuota          float64
	blockedRows         rowHeap // Rows that wait for this endpoint, out of the order.
	markedChanged       bool    // It is in Decider.changedEndpoints.
	queuedPreferring    int     // Queued rows whose preferred endpoint this is.
	startTimeSum        Time    // Sum of the start times of this instance's running requests.
	expectedDurationSum float64 // Sum of their expected durations in seconds.
	awaitingFirstToken  int     // This instance's requests without a first token yet.
	awaitingStartSum    Time    // Sum of their start times.
	pendingPrefill      float64 // Prompt tokens of this instance not computed yet at pendingPrefillAt.
	pendingPrefillAt    Time
	firstTokenDelay     float64 // Seconds that first tokens came later than predicted.
	firstTokenDelayAt   Time
	estimates           endpointEstimates
	health              health
	probeID             RequestID // The probe in flight; 0 for none.
}

const (
	// selfLeavingTTL is how long an endpoint's own announcement that it leaves
	// overrides a list that does not say so. The list lags by seconds.
	selfLeavingTTL = 30 * time.Second
	// reportLag is the assumed age of a report when it arrives.
	reportLag = 200 * time.Millisecond
	// reportGain smooths the others' load from report to report. Below 1 it
	// keeps several instances from all moving at once on the same report.
	reportGain = 0.8
	// Above the age reportStaleAge the others' load halves with each
	// reportHalfLife. Otherwise a high load that no later report corrects would
	// keep the endpoint empty for ever.
	reportStaleAge = 2 * time.Second
	reportHalfLife = 5 * time.Second
	// loadMeanGain makes long averages of this instance's and the others' load,
	// whose ratio changes only when instances come and go.
	loadMeanGain = 0.02
	// minOwnLoadMean keeps the ratio finite at an endpoint that this instance
	// hardly uses.
	minOwnLoadMean = 0.1
	// maxFleetFactor bounds fleetFactor, which is a rough guess when this
	// instance has few requests there.
	maxFleetFactor = 8
	// minAwaitingFirstToken is how many requests must wait for their first token
	// before their age counts as a delay.
	minAwaitingFirstToken = 2
	// delayHalfLife lets an observed delay fade. Without new observations for a
	// second or two the endpoint is idle, or it gets no requests because of the
	// delay.
	delayHalfLife = 2 * time.Second
	// defaultMaxQueued bounds an endpoint's own queue, which takes up the
	// requests that instances start in excess while reports lag.
	defaultMaxQueued = 4
)

// SetEndpoints replaces the endpoint table. Endpoints that stay keep their
// load, estimates and health; an endpoint that is not listed any more gets no
// new starts.
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

// setEndpoint adds or updates one listed endpoint and reports whether the
// pools have to be rebuilt.
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

// findEndpoint returns the endpoint's index in the table, or where to insert
// it, and whether it was found.
func (d *Decider) findEndpoint(name string) (int, bool) {
	return slices.BinarySearchFunc(d.endpoints, name, func(e *endpointRow, name string) int {
		return strings.Compare(e.Name, name)
	})
}

// endpointByName returns the endpoint, or nil.
func (d *Decider) endpointByName(name string) *endpointRow {
	at, found := d.findEndpoint(name)
	if !found {
		return nil
	}
	return d.endpoints[at]
}

// isClosed reports whether the endpoint takes no new requests: it was removed
// or leaves.
func (e *endpointRow) isClosed() bool { return e.removed || e.Leaving || e.selfLeaving }

// applyLoadReport derives the others' load from a report: the requests that it
// counts, less those of this instance. It does not count those that this
// instance started after it was made, so laggedOwnLoad is subtracted and not
// inFlight. rounding, from 0 to 1, rounds the start quota at random, so that
// small parts of the instances add up to the free slots.
func (e *endpointRow) applyLoadReport(r LoadReport, now Time, rounding float64) {
	if e.reported && r.At < e.report.At {
		return
	}
	e.updateLaggedOwnLoad(now)
	sample := max(0, float64(r.Running+r.Queued)-e.laggedOwnLoad)
	if !e.reported {
		e.othersLoad, e.othersLoadMean, e.ownLoadMean = sample, sample, e.laggedOwnLoad
	}
	e.othersLoadMean += loadMeanGain * (sample - e.othersLoadMean)
	e.ownLoadMean += loadMeanGain * (e.laggedOwnLoad - e.ownLoadMean)
	e.othersLoad += reportGain * (sample - e.othersLoad)
	e.report, e.reported, e.reportedAt = r, true, now
	free := max(0, float64(e.Slots)-e.load(now))
	e.startQuota = float64(int(free/e.fleetFactor(now) + rounding))
}

// startQuotaUsed reports whether this instance has used up its part of the
// slots that the last report left free. Without a recent report there is no
// quota.
func (e *endpointRow) startQuotaUsed(now Time) bool {
	return e.reported && now-e.reportedAt <= reportStaleAge && e.startQuota < 1
}

// updateLaggedOwnLoad moves laggedOwnLoad towards inFlight with the time constant
// reportLag. It must be called before inFlight changes.
func (e *endpointRow) updateLaggedOwnLoad(now Time) {
	elapsed := float64(now - e.laggedOwnLoadAt)
	e.laggedOwnLoad += (float64(e.inFlight) - e.laggedOwnLoad) * (1 - math.Exp(-elapsed/float64(reportLag)))
	e.laggedOwnLoadAt = now
}

// load returns the number of requests at the endpoint: this instance's own,
// counted exactly, and the others', estimated from the last report.
func (e *endpointRow) load(now Time) float64 {
	return float64(e.inFlight) + e.currentOthersLoad(now)
}

// currentOthersLoad returns the others' load, reduced by the age of the
// report.
func (e *endpointRow) currentOthersLoad(now Time) float64 {
	age := now - e.reportedAt
	if age <= reportStaleAge || e.othersLoad == 0 {
		return e.othersLoad
	}
	return e.othersLoad * math.Exp2(-float64(age-reportStaleAge)/float64(reportHalfLife))
}

// queueFull reports whether the endpoint's own queue is over its bound by a
// recent report.
func (e *endpointRow) queueFull(now Time) bool {
	bound := e.MaxQueued
	if bound == 0 {
		bound = defaultMaxQueued
	}
	return e.reported && e.report.Queued > bound && now-e.reportedAt <= reportStaleAge
}

// remainingPrefill returns how many prompt tokens of this instance's requests
// the endpoint still has to compute, if it computes them steadily at the
// estimated rate.
func (e *endpointRow) remainingPrefill(now Time) float64 {
	drained := (now - e.pendingPrefillAt).Seconds() / e.estimates.prefillPerTokenOrDefault()
	return max(0, e.pendingPrefill-drained)
}

// fleetFactor estimates how many requests the whole fleet sends to the
// endpoint for each one that this instance sends, from the ratio of the
// others' load to this instance's.
func (e *endpointRow) fleetFactor(now Time) float64 {
	if now-e.reportedAt > reportStaleAge {
		return 1
	}
	return min(1+e.othersLoadMean/max(e.ownLoadMean, minOwnLoadMean), maxFleetFactor)
}

// currentDelay returns by how many seconds first tokens come later than
// predicted. It covers the load that this instance can't see: the prompts of
// other instances. Requests that still wait for their first token show a
// delay sooner than those that have it.
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

// ageRatio returns the age of this instance's running requests as a multiple
// of their expected duration, on average. At a steady endpoint it stays near
// one half. At an endpoint that becomes slow it rises long before the first
// slow request ends.
func (e *endpointRow) ageRatio(now Time) float64 {
	if e.inFlight == 0 || e.expectedDurationSum <= 0 {
		return 0
	}
	return (now*Time(e.inFlight) - e.startTimeSum).Seconds() / e.expectedDurationSum
}

// endFirstTokenWait takes the row out of those that wait for a first token.
func (e *endpointRow) endFirstTokenWait(row *requestRow) {
	if !row.firstTokenSeen {
		row.firstTokenSeen = true
		e.awaitingFirstToken--
		e.awaitingStartSum -= row.startedAt
	}
}

// slotWait predicts the seconds until a slot is free with that many more
// requests ahead. slotTime is the pool's, for an endpoint without its own
// estimate.
func (e *endpointRow) slotWait(now Time, ahead, hold float64) float64 {
	slots := max(1, e.rampedSlots())
	hold = valueOr(e.estimates.slotTime, hold) * max(1, e.comparableAgeRatio(now))
	return max(0, e.load(now)+ahead+1-slots) * hold / slots
}

// addRequest counts a started row and records on it what was predicted, to
// compare the result with.
func (e *endpointRow) addRequest(row *requestRow, d *Decider) {
	e.updateLaggedOwnLoad(d.now)
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
