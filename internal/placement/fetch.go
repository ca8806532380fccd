package placement

import "time"

// An endpoint can get what it lacks of a prompt from another one that has read it
// instead of reading it again. A request that can't wait at its prompt's home then
// costs the fleet of endpoints a transfer and not the reading.
//
// Only from an endpoint that has answered of late, since one behind a cut would be waited
// for, and only for parts whose reading takes longer than setting the transfer up.
const (
	// fetchSetupMS and fetchPerToken are what a transfer takes; 2.7 to 8 ms and 1.1
	// to 1.7 us on the deployments that we know.
	fetchSetupMS    = 8.0    // ms
	fetchMSPerToken = 0.0017 // ms
	// minFetchTokens is the shared part of a prompt from which fetching pays: it
	// takes 3 ms to read.
	minFetchTokens = 256.0 // tokens
	// sentCacheProbability is how sure it is that an endpoint still has parts that it was
	// sent, unconfirmedCacheProbability that a prompt's home has them without any word of it.
	sentCacheProbability, unconfirmedCacheProbability = 0.9, 0.5
	// recentAnswerWindow is how old an endpoint's last answer may be for others to
	// fetch from it.
	recentAnswerWindow = 2 * time.Second
)

// fetchSource is an endpoint to fetch a prompt's shared parts from.
type fetchSource struct {
	endpoint    *endpointState
	probability float64 // That it has them.
}

// fetchSources picks where a prompt's shared parts can be fetched from: its home if
// that was sent them, else any endpoint that was, else its home unseen. The second
// is for requests that go to the first.
func (t *Table) fetchSources(q Query, now time.Duration) (best, alternative fetchSource) {
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
		if q.preferred.hasSharedParts(q, now) {
			consider(q.preferred, sentCacheProbability)
		} else {
			consider(q.preferred, unconfirmedCacheProbability)
		}
	}
	for _, e := range t.endpoints {
		if e != q.preferred && e.Service == q.Service && !e.Leaving && e.answeredRecently(now) && e.hasSharedParts(q, now) {
			consider(e, sentCacheProbability)
		}
	}
	return best, alternative
}

// hasSharedParts says whether the endpoint was sent the prompt's last shared part of late;
// the ones before it came with it.
func (e *endpointState) hasSharedParts(q Query, now time.Duration) bool {
	sentAt, found := e.partSentAt[q.Parts[len(q.Parts)-2].ID]
	return found && now-sentAt < cachedPartTTL
}

func (e *endpointState) answeredRecently(now time.Duration) bool {
	return !e.isAvoided(now) && e.lastAnswerAt > 0 && now-e.lastAnswerAt < recentAnswerWindow
}

// fetchSourceFor returns the source for a request at the endpoint; its row is nil if there
// is none.
func (q *Query) fetchSourceFor(e *endpointState) fetchSource {
	if q.bestSource.endpoint == e {
		return q.alternativeSource
	}
	return q.bestSource
}

// announceInterval is how long after the last own send of a prompt's shared parts to an
// endpoint the other instances are told again: before they forget.
const announceInterval = cachedPartTTL / 2

// partsToAnnounce lists the prompt's shared parts, for the other instances, if the endpoint
// was not sent them of late.
func (e *endpointState) partsToAnnounce(q Query, now time.Duration) []string {
	if len(q.Parts) < 2 {
		return nil
	}
	shared := q.Parts[:len(q.Parts)-1]
	if sentAt, found := e.partSentAt[shared[len(shared)-1].ID]; found && now-sentAt < announceInterval {
		return nil
	}
	ids := make([]string, len(shared))
	for i, p := range shared {
		ids[i] = p.ID
	}
	return ids
}

// RecordRemoteParts tells that another instance has sent the endpoint a prompt with these parts.
func (t *Table) RecordRemoteParts(endpoint string, parts []string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[endpoint]; e != nil {
		for _, id := range parts {
			e.partSentAt[id] = now
		}
	}
}
