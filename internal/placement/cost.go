package placement

import (
	"math"
	"time"

	"guavapier/internal/prefillspeed"
	"guavapier/internal/sendcost"
)

const (
	// costPerInFlight is the cost, in milliseconds, of each request that this
	// instance has in flight at the endpoint. One of n instances sees 1/n of the
	// load, so each of its requests stands for n.
	costPerInFlight = 10.0 // ms
	// crossZoneCost is the cost of sending to another availability zone: a few
	// milliseconds of round trip, plus the price of traffic between zones.
	// Requests leave their zone when its queues cost more than that.
	crossZoneCost = 20.0 // ms
	// tunnelCost is the cost of reaching the endpoint through another instance, whose link
	// and processor carry the request as well.
	tunnelCost = 20.0 // ms
	// prefillMSPerTokenPair is the coefficient of the part of the prefill time
	// that grows with the square of the prompt's length, in milliseconds. A
	// prompt of 65,000 tokens takes 1.4 s, twice as long as by the linear part
	// alone.
	prefillMSPerTokenPair = 1.75e-7
	// preferredCacheProbability is the assumed probability that a prompt's
	// preferred endpoint has the shared parts cached because other instances
	// sent them there.
	preferredCacheProbability = 0.9
	// recomputeWeight multiplies the time for computing or fetching shared parts
	// that another endpoint may have. Apart from the request's own delay it
	// evicts other cached parts, slows down every stream on the endpoint and
	// takes time that the fleet of endpoints lacks for other requests.
	recomputeWeight = 4.0
	// warmupCost is the cost of an endpoint that is warming up.
	warmupCost = 50.0 // ms
	// unansweredGracePeriod is the age of an unanswered attempt above which each
	// further millisecond adds one to the endpoint's cost. An endpoint that
	// accepts requests and never answers thus gets only a few before others are
	// cheaper.
	unansweredGracePeriod = 500 * time.Millisecond
)

// cost returns the estimated cost of sending the request to the endpoint, in
// milliseconds.
func (e *endpointState) cost(q *Query, now time.Duration) float64 {
	return e.costUpTo(math.Inf(1), q, now)
}

// costUpTo returns the cost, or a lower bound of it if that is above the limit already.
func (e *endpointState) costUpTo(limit float64, q *Query, now time.Duration) float64 {
	cost := e.accessCost(q, now)
	load, told := e.sharedLoad(q, now)
	if told {
		bound := cost + load.OccupancyMS() + e.prompts.speed.BaseMS(&e.prefillSpeed) + q.ownWork*load.MSPerToken
		if bound > limit {
			return bound
		}
		return cost + sendcost.Of(e.asRequest(q, e.estimatePrefill(q, now)), load).Total()
	}
	prefill := e.estimatePrefill(q, now)
	recomputeMS := prefill.sharedTokens/e.normalizedTokensPerMS + prefill.fetchedTokens*fetchMSPerToken
	cost += costPerInFlight*float64(e.inFlight) + prefill.ms + recomputeWeight*recomputeMS
	cost += max(0, milliseconds(e.busyUntil-now))
	return cost + e.ownQueueMS(now)
}

// accessCost returns what sending to the endpoint costs apart from its load.
func (e *endpointState) accessCost(q *Query, now time.Duration) float64 {
	cost := 0.0
	if e.Zone != q.Zone {
		cost += crossZoneCost
	}
	if e.linkLost {
		cost += tunnelCost
	}
	if e.isCold(now) {
		cost += warmupCost
	}
	for _, p := range e.unanswered {
		cost += max(0, milliseconds(now-p.sentAt-unansweredGracePeriod))
	}
	return cost
}

// ownQueueMS returns the expected time for this instance's prompts that are not answered.
func (e *endpointState) ownQueueMS(now time.Duration) float64 {
	queue := 0.0
	for _, p := range e.unanswered {
		queue += max(0, p.prefillMS-milliseconds(now-p.sentAt))
	}
	return queue
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// prefillEstimate is the estimated prefill of a request's prompt at an endpoint.
type prefillEstimate struct {
	ms float64 // Duration in milliseconds, including a fetch.
	// missingTokens is the number of tokens to compute, sharedTokens how many of
	// them are in parts that other requests share. Both are expected values.
	missingTokens, sharedTokens float64
	// fetchedTokens is the expected number of tokens that the endpoint gets from
	// fetchFrom instead of computing them; fetchFrom is nil if there is none.
	fetchedTokens float64
	fetchFrom     *endpointState
}

// countMissing counts the prompt's tokens that the endpoint doesn't have cached,
// judging by the parts that it is believed to hold. A
// cached part only counts if all parts before it are cached. The last part belongs
// to the request alone.
func (e *endpointState) countMissing(q *Query, now time.Duration) (out prefillEstimate) {
	held := 1.0
	for i, p := range q.Parts {
		if held > 0 {
			held = min(held, e.held.Probability(q.keys[i], q.isTimed, now))
		}
		missing := (1 - held) * float64(p.Tokens)
		out.missingTokens += missing
		if i < len(q.Parts)-1 {
			out.sharedTokens += missing
		}
	}
	return out
}

// estimatePrefill estimates the prefill at the endpoint. The preferred endpoint is
// assumed to have missing shared parts with preferredCacheProbability; any other
// endpoint may fetch them.
func (e *endpointState) estimatePrefill(q *Query, now time.Duration) prefillEstimate {
	out := e.countMissing(q, now)
	availableTokens := 0.0
	switch src := q.fetchSourceFor(e); {
	case q.isHome(e):
		availableTokens = preferredCacheProbability * out.sharedTokens
		if e != q.preferred {
			availableTokens = furtherHomeCacheProbability * out.sharedTokens
		}
		if q.isTimed && src.endpoint != nil && out.sharedTokens >= minFetchTokens {
			// What the home holds after all is not transferred.
			out.fetchFrom, out.fetchedTokens = src.endpoint, src.probability*(out.sharedTokens-availableTokens)
			out.ms = fetchMSPerToken * out.fetchedTokens
			availableTokens += out.fetchedTokens
		}
	case src.endpoint != nil && out.sharedTokens >= minFetchTokens:
		availableTokens = src.probability * out.sharedTokens
		out.fetchFrom, out.fetchedTokens = src.endpoint, availableTokens
		out.ms = fetchSetupMS + fetchMSPerToken*availableTokens
	}
	out.missingTokens -= availableTokens
	out.sharedTokens -= availableTokens
	if q.isTimed {
		out.ms += prefillspeed.Work(out.missingTokens, q.totalTokens) * e.prompts.speed.MSPerToken(&e.prefillSpeed)
		return out
	}
	out.ms += out.computeMS(q, e.normalizedTokensPerMS)
	return out
}

// computeMS returns the time for computing the missing tokens at this speed, in milliseconds.
func (p prefillEstimate) computeMS(q *Query, tokensPerMS float64) float64 {
	cachedTokens := q.totalTokens - p.missingTokens
	return p.missingTokens/tokensPerMS + prefillMSPerTokenPair*(q.totalTokens*q.totalTokens-cachedTokens*cachedTokens)
}

// usualMS returns the prefill time at the default speed, in milliseconds.
func (p prefillEstimate) usualMS(q *Query) float64 {
	ms := p.computeMS(q, defaultTokensPerMS)
	if p.fetchFrom != nil {
		ms += fetchSetupMS + fetchMSPerToken*p.fetchedTokens
	}
	return ms
}

// mixHash is the finalizer of MurmurHash3. It spreads the bits of a hash, so that
// for a random key each endpoint is equally likely to have the highest one.
func mixHash(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
