package placement

import (
	"math"
	"time"

	"guavapier/internal/endpointload"
)

const (
	// maxLoadAge is the age from which on what other instances have told of their load is
	// ignored: an endpoint has answered most of those requests by then.
	maxLoadAge = time.Second
	// meanLoadGain is the weight of a load in othersLoad.meanPrefill and meanRequests.
	meanLoadGain = 0.1
	// maxKeptSamples bounds the samples that wait to be told to the other instances.
	maxKeptSamples = 256
)

// othersLoad is what is known of an endpoint's load from the other instances and from the
// endpoint itself.
type othersLoad struct {
	load   endpointload.Load
	toldAt time.Duration
	// meanPrefill, in milliseconds, and meanRequests are averages of the load. What is sent after
	// toldAt is not in the load yet: many instances send to an endpoint that has little to do.
	meanPrefill, meanRequests float64
	// requests is load.Requests, or their average if that is higher.
	requests int
	told     bool
	report   endpointload.Report
	reported bool
	reportAt time.Duration // When report was made, as far as that is known.
}

// at returns what the other instances have under way at the endpoint; false if that is not known.
func (o *othersLoad) at(now time.Duration) (endpointload.Load, bool) {
	if !o.told || now-o.toldAt > maxLoadAge {
		return endpointload.Load{}, false
	}
	return o.load, true
}

// set sets the load. An endpoint that is new to this instance starts with the averages of its
// service, so that not all requests go there at once.
func (o *othersLoad) set(load endpointload.Load, service *promptService, now time.Duration) {
	if !o.told {
		o.meanPrefill, o.meanRequests = service.meanPrefill, service.meanRequests
	}
	o.load, o.toldAt, o.told = load, now, true
	o.meanPrefill += meanLoadGain * (milliseconds(load.Prefill) - o.meanPrefill)
	o.meanRequests += meanLoadGain * (float64(load.Requests) - o.meanRequests)
	o.requests = max(load.Requests, int(math.Round(o.meanRequests)))
}

// OwnLoads returns what this instance has under way, by the endpoint's ID. Endpoints without a
// request are left out.
func (t *Table) OwnLoads(now time.Duration) map[string]endpointload.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := map[string]endpointload.Load{}
	for id, e := range t.endpoints {
		if own := e.ownLoad(now); !own.IsZero() {
			loads[id] = own
		}
	}
	return loads
}

// ownLoad returns what this instance has under way at the endpoint.
func (e *endpointState) ownLoad(now time.Duration) endpointload.Load {
	load := endpointload.Load{Requests: e.inFlight, Waiting: len(e.unanswered), Tokens: e.reservedTokens}
	load.Prefill = time.Duration(e.waitingPrefillMS(now) * float64(time.Millisecond))
	return load
}

// waitingPrefillMS returns the expected time for this instance's prompts that are not answered. An
// endpoint reads one prompt after the other: only the oldest one may be read in part.
func (e *endpointState) waitingPrefillMS(now time.Duration) float64 {
	if len(e.unanswered) == 0 {
		return 0
	}
	oldest := e.unanswered[0]
	sum := -min(oldest.prefillMS, milliseconds(now-oldest.sentAt))
	for _, p := range e.unanswered {
		sum += p.prefillMS
	}
	return sum
}

// SetOthersLoads sets what the other instances have under way, by the endpoint's ID, as of now.
// Endpoints that are left out have nothing.
func (t *Table) SetOthersLoads(loads map[string]endpointload.Load, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, s := range t.services {
		s.onLoads(loads, t.byService[service])
		s.told, s.wasTold = now, true
	}
	for id, e := range t.endpoints {
		e.others.set(loads[id], e.prompts, now)
	}
}

// SetReports records what endpoints have stated of their load, by ID.
func (t *Table) SetReports(reports map[string]endpointload.Report, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, report := range reports {
		e := t.endpoints[id]
		if e == nil || e.others.reported && e.others.reportAt >= now-report.Age {
			continue
		}
		e.others.report, e.others.reportAt, e.others.reported = report, now-report.Age, true
		if t.weighsHeld && report.TotalTokens > 0 {
			e.held.SetRoom(report.TotalTokens - report.UsedTokens)
		}
	}
}

// TakeSamples returns the samples of this instance's answers since the last call.
func (t *Table) TakeSamples() []endpointload.Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	samples := t.samples
	t.samples = nil
	return samples
}

// keepSample keeps a sample for TakeSamples. The newest ones are dropped if nobody takes them.
func (t *Table) keepSample(s endpointload.Sample) {
	if len(t.samples) < maxKeptSamples {
		t.samples = append(t.samples, s)
	}
}

// ObserveSamples updates the estimated speeds with the samples of other instances.
func (t *Table) ObserveSamples(samples []endpointload.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range samples {
		if e := t.endpoints[s.Endpoint]; e != nil && s.Tokens >= 0 && s.TTFT > 0 {
			e.observeTTFT(s.Tokens, s.TTFT, e.prompts.told)
			e.held.Read(s.Tokens)
			if t.placesByTime(e.prompts) {
				e.answeredOthersAt = max(e.answeredOthersAt, e.prompts.told)
			}
		}
	}
}
