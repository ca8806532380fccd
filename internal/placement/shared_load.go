package placement

import (
	"time"

	"guavapier/internal/prefillspeed"
	"guavapier/internal/sendcost"
)

const (
	// defaultHold is the assumed time for which a request holds its place before the first one
	// has ended, holdGain the weight of each new one in the average.
	defaultHold = 1000.0 // ms
	holdGain    = 0.05
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
}

func newPromptService() *promptService {
	return &promptService{speed: prefillspeed.NewService(), holdMS: defaultHold}
}

// onEnd records that a request has ended this long after its answer had begun.
func (s *promptService) onEnd(held time.Duration) {
	s.holdMS += holdGain * (milliseconds(held) - s.holdMS)
}

// isTimed reports whether the endpoints' load from all instances is known for the query. Requests
// without a prompt are over before it is.
func (t *Table) isTimed(q *Query, now time.Duration) bool {
	s := t.services[q.Service]
	return len(q.Parts) > 0 && s != nil && s.wasTold && now-s.told <= maxLoadAge
}

// sharedLoad returns the endpoint's load from all instances; false if that is not known. Of what
// the others have told and what the endpoint has reported since, the higher counts: neither
// contains all.
func (e *endpointState) sharedLoad(q *Query, now time.Duration) (sendcost.Endpoint, bool) {
	others, told := e.others.at(now)
	if !told || !q.isTimed {
		return sendcost.Endpoint{}, false
	}
	load := sendcost.Endpoint{
		Slots: e.Slots, Requests: e.inFlight + others.Requests, Waiting: len(e.unanswered) + others.Waiting, HoldMS: e.prompts.holdMS,
		UsedTokens: e.reservedTokens + others.Tokens, MSPerToken: e.prompts.speed.MSPerToken(&e.prefillSpeed),
	}
	othersQueue := max(0, others.Prefill-(now-e.others.toldAt), e.busyUntil-now)
	load.QueueMS = e.ownQueueMS(now) + max(milliseconds(othersQueue), e.others.meanPrefill)
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
		SharedMS: prefill.sharedTokens*e.prompts.speed.MSPerToken(&e.prefillSpeed) + prefill.fetchedTokens*fetchMSPerToken,
	}
}
