package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// costPerInFlight is what one own request in flight adds at an endpoint. An
	// instance sees an n-th of the load, so it stands for n requests.
	costPerInFlight = 10.0 // ms
	// crossZoneCost is what a hop to another availability zone adds: a few
	// milliseconds of round trip, and bytes that are dear. A longer queue than
	// that is left for another zone.
	crossZoneCost = 20.0 // ms
	// prefillMSPerTokenPair is what each pair of prompt tokens adds to reading, in milliseconds:
	// a prompt of 65,000 takes 1.4 s, twice what its length alone would.
	prefillMSPerTokenPair = 1.75e-7
	// cachedPartTTL is how long a part of a prompt that was sent to an endpoint is
	// taken to be cached there.
	cachedPartTTL = 10 * time.Second
	// preferredCacheProbability is how sure it is that a prompt's home has its shared parts by
	// other instances' sends.
	preferredCacheProbability = 0.9
	// recomputeWeight counts reading a shared part again by so much more: it evicts
	// another part, delays every stream that runs there, and is time that the
	// fleet of endpoints does not have for others.
	recomputeWeight = 4.0
	// warmupCost is what an endpoint adds that says it is still slow.
	warmupCost = 50.0 // ms
	// unansweredGracePeriod is the age from which an answer that has not begun
	// counts against its endpoint, at its age: a dark endpoint takes few
	// requests before others are cheaper.
	unansweredGracePeriod = 500 * time.Millisecond
)

// cost is what placing the request at the endpoint costs, in milliseconds.
func (e *endpointState) cost(q Query, now time.Duration) float64 {
	prefill := e.estimatePrefill(q, now)
	recomputeMS := prefill.sharedTokens/e.normalizedTokensPerMS + prefill.fetchedTokens*fetchMSPerToken
	cost := costPerInFlight*float64(e.inFlight) + prefill.ms + recomputeWeight*recomputeMS
	if e.Zone != q.Zone {
		cost += crossZoneCost
	}
	if e.Warming > 0 {
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

// prefillEstimate is what an endpoint has to read of a request's prompt.
type prefillEstimate struct {
	ms float64 // How long it takes.
	// missingTokens are the tokens that it lacks, sharedTokens those of them that other
	// requests have too.
	missingTokens, sharedTokens float64
	// fetchedTokens are shared tokens that it gets from another endpoint instead.
	fetchedTokens float64
	fetchFrom     *endpointState
}

// countMissing is what an endpoint lacks of a request's prompt by what it is known to
// have been sent; the last part is the request's own.
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

// estimatePrefill estimates what the endpoint has to read. At the prompt's home the shared
// parts count as there with homeBelief; elsewhere they may be fetched.
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

// preferredEndpoint returns the endpoint where all instances, without a word with each other,
// send a prompt first: the highest by a hash of its longest shared part and the
// endpoint. The last part is the request's own. Without it each instance has
// the part read at an endpoint of its own. Behind a cut of an availability zone
// they agree on another one that they reach.
func (t *Table) preferredEndpoint(q Query) *endpointState {
	if len(q.Parts) < 2 {
		return nil
	}
	key := xxhash.Sum64String(q.Parts[len(q.Parts)-2].ID)
	var preferred *endpointState
	highest := uint64(0)
	for _, e := range t.endpoints {
		if e.Service != q.Service || e.Leaving || e.unreachable {
			continue
		}
		if h := mixHash(key ^ e.idHash); preferred == nil || h > highest {
			preferred, highest = e, h
		}
	}
	return preferred
}

// mixHash spreads the bits of a hash (the finalizer of MurmurHash3), so that the
// highest of many with one key is any of them.
func mixHash(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
