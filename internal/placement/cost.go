package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
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
	// cachedPartTTL is how long a part of a prompt is assumed to stay in an
	// endpoint's cache after it was last sent there.
	cachedPartTTL = 10 * time.Second
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
func (e *endpointState) cost(q Query, now time.Duration) float64 {
	prefill := e.estimatePrefill(q, now)
	recomputeMS := prefill.sharedTokens/e.normalizedTokensPerMS + prefill.fetchedTokens*fetchMSPerToken
	cost := costPerInFlight*float64(e.inFlight) + prefill.ms + recomputeWeight*recomputeMS
	if e.Zone != q.Zone {
		cost += crossZoneCost
	}
	if e.linkLost {
		cost += tunnelCost
	}
	if e.isCold(now) {
		cost += warmupCost
	}
	cost += max(0, milliseconds(e.busyUntil-now))
	for _, p := range e.unanswered {
		age := now - p.sentAt
		cost += max(0, p.prefillMS-milliseconds(age)) + max(0, milliseconds(age-unansweredGracePeriod))
	}
	return cost
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
// judging by the parts it is known to have been sent, and all of its tokens. A
// cached part only counts if all parts before it are cached. The last part belongs
// to the request alone.
func (e *endpointState) countMissing(q Query, now time.Duration) (out prefillEstimate, totalTokens float64) {
	inPrefix := true
	for i, p := range q.Parts {
		totalTokens += float64(p.Tokens)
		if inPrefix {
			sentAt, found := e.partSentAt[p.ID]
			if inPrefix = found && now-sentAt < cachedPartTTL; inPrefix {
				continue
			}
		}
		out.missingTokens += float64(p.Tokens)
		if i < len(q.Parts)-1 {
			out.sharedTokens += float64(p.Tokens)
		}
	}
	return out, totalTokens
}

// estimatePrefill estimates the prefill at the endpoint. The preferred endpoint is
// assumed to have missing shared parts with preferredCacheProbability; any other
// endpoint may fetch them.
func (e *endpointState) estimatePrefill(q Query, now time.Duration) prefillEstimate {
	out, totalTokens := e.countMissing(q, now)
	availableTokens := 0.0
	switch src := q.fetchSourceFor(e); {
	case e == q.preferred:
		availableTokens = preferredCacheProbability * out.sharedTokens
	case src.endpoint != nil && out.sharedTokens >= minFetchTokens:
		availableTokens = src.probability * out.sharedTokens
		out.fetchFrom, out.fetchedTokens = src.endpoint, availableTokens
		out.ms = fetchSetupMS + fetchMSPerToken*availableTokens
	}
	out.missingTokens -= availableTokens
	out.sharedTokens -= availableTokens
	cachedTokens := totalTokens - out.missingTokens
	out.ms += out.missingTokens/e.normalizedTokensPerMS + prefillMSPerTokenPair*(totalTokens*totalTokens-cachedTokens*cachedTokens)
	return out
}

// preferredEndpoint returns the endpoint that all instances choose first for a
// prompt without communicating: the one with the highest hash of the prompt's last
// shared part and the endpoint's ID (rendezvous hashing). The last part of a prompt
// belongs to the request alone; without a shared part the result is nil.
//
// An endpoint with a request limit is preferred only if all have one: it could take few of
// its prompts, which move to another endpoint each.
//
// If each instance chose for itself, the shared parts would be computed at a
// different endpoint for each. Instances that a network partition cuts off from an
// availability zone agree on another endpoint that they can reach.
func (t *Table) preferredEndpoint(q Query, now time.Duration) *endpointState {
	if len(q.Parts) < 2 {
		return nil
	}
	key := xxhash.Sum64String(q.Parts[len(q.Parts)-2].ID)
	var preferred *endpointState
	highest, limited := uint64(0), false
	for _, e := range t.endpoints {
		if e.Service != q.Service || !e.mayBePreferred(now) {
			continue
		}
		h := mixHash(key ^ e.idHash)
		if preferred == nil || limited && !e.quota.IsBound() || limited == e.quota.IsBound() && h > highest {
			preferred, highest, limited = e, h, e.quota.IsBound()
		}
	}
	return preferred
}

// mixHash is the finalizer of MurmurHash3. It spreads the bits of a hash, so that
// for a random key each endpoint is equally likely to have the highest one.
func mixHash(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
