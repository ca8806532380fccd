package placement

import (
	"math"
	"time"

	"guavapier/internal/endpointload"
	"guavapier/internal/prefillspeed"
	"guavapier/internal/sendcost"
)

const (
	// defaultHold is the assumed time for which a request holds its place before the first one
	// has ended, holdGain the weight of each new one in the average.
	defaultHold = 1000.0 // ms
	holdGain    = 0.05
	// saturatedShare is the share of a service's places, taken by requests of other instances,
	// from which on many of its endpoints are full. A shorter queue is gone then by the time that
	// a prompt has moved there, which is read again and late all the same.
	saturatedShare = 0.5
	// delayWeight is the part of an endpoint's recent delay that is expected of the next answer: a
	// slowdown is mostly over by the time that others hear of it.
	delayWeight = 0.5
	// reportLag is how old an endpoint's report is when it is sent.
	reportLag = 100 * time.Millisecond
)

// promptService is what is known of the endpoints of a service in common.
type promptService struct {
	speed  *prefillspeed.Service
	holdMS float64 // For which a request holds its place on average.
	// told is when other instances last told of their load; before the first time wasTold is
	// false.
	told    time.Duration
	wasTold bool
	// meanPrefill, in milliseconds, and meanRequests are the averages over the endpoints of what
	// the others have told last.
	meanPrefill, meanRequests float64
	// saturated reports that so many places are taken that prompts gain nothing by moving.
	saturated bool
}

// onLoads averages the loads of the service's endpoints.
func (s *promptService) onLoads(loads map[string]endpointload.Load, endpoints []*endpointState) {
	s.meanPrefill, s.meanRequests = 0, 0
	meanSlots := 0.0
	for _, e := range endpoints {
		load := loads[e.ID]
		s.meanPrefill += milliseconds(load.Prefill) / float64(len(endpoints))
		s.meanRequests += float64(load.Requests) / float64(len(endpoints))
		meanSlots += float64(e.Slots) / float64(len(endpoints))
	}
	s.saturated = meanSlots > 0 && s.meanRequests >= saturatedShare*meanSlots
}

func newPromptService() *promptService {
	return &promptService{speed: prefillspeed.NewService(), holdMS: defaultHold}
}

// onEnd records that a request has ended this long after its answer had begun.
func (s *promptService) onEnd(held time.Duration) {
	s.holdMS += holdGain * (milliseconds(held) - s.holdMS)
}

// ByTime states which services' requests are placed by the load of all instances, as far as that is
// known.
type ByTime uint8

// The values of ByTime.
const (
	ByTimeAlways ByTime = iota
	// ByTimeUnequal places so where the service's endpoints differ in speed: equal ones are
	// chosen as well by the hash of the prompt, without moving it for a short queue.
	ByTimeUnequal
	ByTimeNever
)

// SetByTime sets which services' requests are placed by the load of all instances. It must be
// called before the first request.
func (t *Table) SetByTime(when ByTime) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byTime = when
}

// isTimed reports whether the query is placed by the load of all instances. Requests without a
// prompt are over before it is known.
func (t *Table) isTimed(q *Query, now time.Duration) bool {
	s := t.services[q.Service]
	if len(q.Parts) == 0 || s == nil || !s.wasTold || now-s.told > maxLoadAge {
		return false
	}
	return t.placesByTime(s)
}

// placesByTime reports whether the service's requests are placed by the load of all instances
// while that is known.
func (t *Table) placesByTime(s *promptService) bool {
	if t.byTime == ByTimeUnequal {
		return s.speed.IsUnequal()
	}
	return t.byTime == ByTimeAlways
}

// UsesOthersLoads reports whether the loads of other instances decide where requests of any service
// are placed.
func (t *Table) UsesOthersLoads() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if t.placesByTime(s) {
			return true
		}
	}
	return false
}

// compareSpeeds finds out whether the service's endpoints differ in speed.
func (t *Table) compareSpeeds(service string) {
	s := t.services[service]
	if s == nil {
		return
	}
	list := make([]*prefillspeed.Endpoint, 0, len(t.byService[service]))
	for _, e := range t.byService[service] {
		list = append(list, &e.prefillSpeed)
	}
	s.speed.CompareEndpoints(list)
}

// sharedLoad returns the endpoint's load from all instances; false if that is not known. Of what
// the others have told and what the endpoint has reported since, the higher counts: neither
// contains all.
func (e *endpointState) sharedLoad(q *Query, now time.Duration) (sendcost.Endpoint, bool) {
	if !q.isTimed {
		return sendcost.Endpoint{}, false
	}
	others, told := e.others.at(now)
	meanPrefill, requests := e.others.meanPrefill, e.others.requests
	if !told {
		meanPrefill, requests = e.prompts.meanPrefill, int(math.Round(e.prompts.meanRequests))
	}
	load := sendcost.Endpoint{
		Slots: e.Slots, Requests: e.inFlight + requests, Waiting: len(e.unanswered) + others.Waiting, HoldMS: e.prompts.holdMS,
		UsedTokens: e.reservedTokens + others.Tokens, MSPerToken: e.prompts.speed.MSPerToken(&e.prefillSpeed),
	}
	othersQueue := max(0, others.Prefill-(now-e.others.toldAt), e.busyUntil-now)
	load.QueueMS = e.waitingPrefillMS(now) + max(milliseconds(othersQueue), meanPrefill)
	load.QueueMS = max(load.QueueMS, delayWeight*e.delay.At(now))
	if !e.others.reported {
		return load, true
	}
	report := e.others.report
	load.TotalTokens = report.TotalTokens
	if e.others.reportAt-reportLag > e.others.toldAt {
		load.Requests = max(load.Requests, report.Running+report.Waiting)
		load.Waiting = max(load.Waiting, report.Waiting)
		load.UsedTokens = max(load.UsedTokens, report.UsedTokens)
	}
	return load, true
}

// asRequest returns the request as it would run at the endpoint.
func (e *endpointState) asRequest(q *Query, prefill prefillEstimate) sendcost.Request {
	return sendcost.Request{
		BaseMS: e.prompts.speed.BaseMS(&e.prefillSpeed), PrefillMS: prefill.ms, TargetMS: milliseconds(q.Target), Tokens: q.Tokens,
		SharedMS:  prefill.sharedTokens*e.prompts.speed.MSPerToken(&e.prefillSpeed) + prefill.fetchedTokens*fetchMSPerToken,
		Saturated: e.prompts.saturated,
	}
}
