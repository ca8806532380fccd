package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"guavapier/internal/heldprompts"
)

// An endpoint can fetch cached parts of a prompt from another endpoint instead of
// computing them again. A request that can't wait for its preferred endpoint then
// costs the fleet of endpoints a transfer and not a second prefill.
//
// The source must have answered recently, because the request would wait for one that
// a network partition has cut off, and computing the parts must take longer than
// setting up the transfer.
const (
	// fetchSetupMS and fetchMSPerToken are the fixed and the per-token time of a
	// transfer in milliseconds. Known deployments take 2.7 to 8 ms and 1.1 to
	// 1.7 us per token.
	fetchSetupMS    = 8.0    // ms
	fetchMSPerToken = 0.0017 // ms
	// minFetchTokens is the number of missing shared tokens from which a fetch
	// pays off: computing that many takes 3 ms.
	minFetchTokens = 256.0 // tokens
	// sentCacheProbability is the assumed probability that an endpoint has parts
	// cached that it was sent and has not given up since,
	// unconfirmedCacheProbability that a prompt's preferred endpoint has them
	// although no send is known.
	sentCacheProbability, unconfirmedCacheProbability = 0.9, 0.5
	// recentAnswerWindow is the maximum age of an endpoint's last answer for
	// others to fetch from it.
	recentAnswerWindow = 2 * time.Second
)

// fetchSource is an endpoint from which a prompt's shared parts can be fetched.
type fetchSource struct {
	endpoint    *endpointState
	probability float64 // That it has the parts cached.
}

// fetchSources chooses where a prompt's shared parts can be fetched from: the
// preferred endpoint if it was sent them, else any endpoint that was, else the
// preferred endpoint without a known send. The alternative is for requests that are
// placed on the best source itself.
func (t *Table) fetchSources(q *Query, now time.Duration) (best, alternative fetchSource) {
	if len(q.Parts) < 2 {
		return fetchSource{}, fetchSource{}
	}
	consider := func(e *endpointState, probability float64) {
		switch {
		case best.endpoint == nil || probability > best.probability:
			best, alternative = fetchSource{e, probability}, best
		case alternative.endpoint == nil || probability > alternative.probability:
			alternative = fetchSource{e, probability}
		}
	}
	if q.preferred != nil && q.preferred.answeredRecently(now) {
		consider(q.preferred, max(sentCacheProbability*q.preferred.holdsSharedParts(q, now), unconfirmedCacheProbability))
	}
	for _, e := range t.byService[q.Service] {
		if e == q.preferred {
			continue
		}
		if held := e.holdsSharedParts(q, now); held > 0 && e.answeredRecently(now) {
			consider(e, sentCacheProbability*held)
		}
	}
	return best, alternative
}

// holdsSharedParts estimates how likely the endpoint, if it was sent the prompt's last shared
// part, still holds it. The parts before it were sent along with it.
func (e *endpointState) holdsSharedParts(q *Query, now time.Duration) float64 {
	return e.held.Probability(q.keys[len(q.keys)-2], q.isTimed, now)
}

// answeredRecently reports whether a fetch from the endpoint will hardly have to wait.
func (e *endpointState) answeredRecently(now time.Duration) bool {
	answeredAt := max(e.lastAnswerAt, e.answeredOthersAt)
	return answeredAt > 0 && now-answeredAt < recentAnswerWindow && e.mayBeFetchedFrom(now) && !e.quota.IsBound() && now >= e.restsUntil
}

// fetchSourceFor returns the source for a request that is placed on e. The source's
// endpoint is nil if there is none.
func (q *Query) fetchSourceFor(e *endpointState) fetchSource {
	if q.bestSource.endpoint == e {
		return q.alternativeSource
	}
	return q.bestSource
}

// announceInterval is how long after the last known send of a prompt's shared parts to
// an endpoint the next one is announced to the other instances. It is shorter than
// heldprompts.AssumedRetention, so that they are told before they discard the last announcement. Of
// sends that follow each other at shorter intervals only the first is announced.
const announceInterval = heldprompts.AssumedRetention / 2

// partsToAnnounce returns the IDs of the prompt's shared parts for announcement to the
// other instances; nil if they were sent to the endpoint within announceInterval.
func (e *endpointState) partsToAnnounce(q *Query, now time.Duration) []string {
	if len(q.Parts) < 2 {
		return nil
	}
	shared := q.Parts[:len(q.Parts)-1]
	if sentAt, found := e.held.LastUse(q.keys[len(shared)-1]); found && now-sentAt < announceInterval {
		return nil
	}
	ids := make([]string, len(shared))
	for i, p := range shared {
		ids[i] = p.ID
	}
	return ids
}

// RecordRemoteParts records that another instance has sent the endpoint a prompt with
// these shared parts. An unknown endpoint is ignored.
func (t *Table) RecordRemoteParts(endpoint string, parts []string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[endpoint]; e != nil {
		for _, id := range parts {
			e.held.Use(xxhash.Sum64String(id), now)
		}
	}
}
