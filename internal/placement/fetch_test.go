package placement_test

import (
	"fmt"
	"testing"
	"time"

	"guavapier/internal/discovery"
	"guavapier/internal/placement"
)

// sessionParts returns the parts of a prompt with 6,000 shared tokens and 2,000 of its
// own.
func sessionParts(id, own string) []placement.Part {
	return []placement.Part{{ID: "system", Tokens: 2500}, {ID: id, Tokens: 3500}, {ID: own, Tokens: 2000}}
}

// newAnsweringTable returns a table of n endpoints that have all answered at now.
func newAnsweringTable(n int, now time.Duration) *placement.Table {
	p := newTable(n)
	for i := range n {
		var others []string
		for j := range n {
			if j != i {
				others = append(others, fmt.Sprintf("e%d", j))
			}
		}
		a := p.Place(placement.Query{Service: "s", Exclude: others}, now)
		a.OnAnswerStart(now, true)
		a.Done(placement.Answered, now)
	}
	return p
}

// 40 requests of one session arrive at once, more than their preferred endpoint can
// take in time. The other endpoints fetch the shared parts from one that has computed
// them. Without fetching, 5 endpoints compute them: 30,000 tokens instead of 6,000.
func TestABurstOnASessionIsReadOnce(t *testing.T) {
	const now = time.Second
	p := newAnsweringTable(6, now)
	cachedAt := map[string]bool{}
	prefills, requestsAt := 0, map[string]int{}
	for i := range 40 {
		a := p.Place(placement.Query{Service: "s", Zone: "z0", Parts: sessionParts("a", fmt.Sprint(i))}, now)
		requestsAt[a.Endpoint.ID]++
		if !cachedAt[a.Endpoint.Address] && !cachedAt[a.FetchFrom] {
			prefills++
		}
		cachedAt[a.Endpoint.Address] = true
	}
	if len(requestsAt) < 3 {
		t.Errorf("requests by endpoint are %v, want at least 3 endpoints", requestsAt)
	}
	if prefills != 1 {
		t.Errorf("the shared parts are computed %d times, want once", prefills)
	}
}

// Parts that another instance has announced count like those of own requests, both for
// the choice of the endpoint and as a source to fetch from.
func TestPartsThatOthersSentAreFound(t *testing.T) {
	const now = time.Second
	sender, receiver := newAnsweringTable(6, now), newAnsweringTable(6, now)
	q := placement.Query{Service: "s", Zone: "z0", Parts: sessionParts("a", "own")}
	a := sender.Place(q, now)
	if len(a.PartsToAnnounce) != 2 {
		t.Fatalf("parts to announce for %s are %v, want 2", a.Endpoint.ID, a.PartsToAnnounce)
	}
	var elsewhere string // Not the preferred endpoint, which needs no announcement.
	for i := range 6 {
		if id := fmt.Sprintf("e%d", i); id != a.Endpoint.ID {
			elsewhere = id
		}
	}
	receiver.RecordRemoteParts(elsewhere, a.PartsToAnnounce, now)
	q.Exclude = []string{a.Endpoint.ID}
	if got := receiver.Place(q, now); got.Endpoint.ID != elsewhere || got.MissingTokens > 2000 {
		t.Errorf("placed on %s with %.0f missing tokens, want the announced endpoint and at most 2000", got.Endpoint.ID, got.MissingTokens)
	}
	q.Exclude = append(q.Exclude, elsewhere)
	if got := receiver.Place(q, now); got.FetchFrom != elsewhere+":1" {
		t.Errorf("parts are fetched from %q, want %s", got.FetchFrom, elsewhere)
	}
	if again := sender.Place(q, now+time.Second); again.Endpoint.ID == a.Endpoint.ID && again.PartsToAnnounce != nil {
		t.Errorf("announced again after a second: %v", again.PartsToAnnounce)
	}
}

// A request would wait for parts from an endpoint that is unreachable, failing, leaving
// or silent.
func TestNothingIsFetchedFromUnavailableEndpoints(t *testing.T) {
	const now = time.Second
	q := placement.Query{Service: "s", Zone: "z0", Parts: sessionParts("a", "own")}
	for name, disable := range map[string]func(p *placement.Table, preferred *placement.Assignment) time.Duration{
		"unreachable": func(_ *placement.Table, a *placement.Assignment) time.Duration {
			a.Done(placement.Unreachable, now)
			return now
		},
		"failing": func(p *placement.Table, a *placement.Assignment) time.Duration {
			a.Done(placement.Failed, now)
			p.Place(q, now).Done(placement.Failed, now)
			return now
		},
		"leaving": func(p *placement.Table, a *placement.Assignment) time.Duration {
			e := a.Endpoint
			e.Leaving = true
			p.Put(e, now)
			return now
		},
		"silent": func(*placement.Table, *placement.Assignment) time.Duration { return now + 3*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			p := newAnsweringTable(3, now)
			preferred := p.Place(q, now)
			later := disable(p, preferred)
			elsewhere := q
			elsewhere.Exclude = []string{preferred.Endpoint.ID}
			if a := p.Place(elsewhere, later); a.FetchFrom == preferred.Endpoint.Address {
				t.Errorf("parts are fetched from the unavailable endpoint %s", preferred.Endpoint.ID)
			}
		})
	}
}

// Setting up a transfer takes longer than computing a few tokens.
func TestFewSharedTokensAreNotFetched(t *testing.T) {
	const now = time.Second
	p := newAnsweringTable(2, now)
	q := placement.Query{Service: "s", Parts: []placement.Part{{ID: "a", Tokens: 200}, {ID: "own", Tokens: 3000}}}
	a := p.Place(q, now)
	q.Exclude = []string{a.Endpoint.ID}
	if again := p.Place(q, now); again.FetchFrom != "" {
		t.Errorf("200 tokens are fetched from %s, want no fetch", again.FetchFrom)
	}
}

// An endpoint of another service is no source, even if it was sent the same parts.
func TestOnlyTheOwnServiceIsFetchedFrom(t *testing.T) {
	const now = time.Second
	p := newAnsweringTable(1, now)
	p.Put(discovery.Endpoint{ID: "other", Service: "t", Address: "other:1", Born: 1}, 0)
	a := p.Place(placement.Query{Service: "t", Parts: sessionParts("a", "own")}, now)
	a.OnAnswerStart(now, true)
	if got := p.Place(placement.Query{Service: "s", Parts: sessionParts("a", "own")}, now); got.FetchFrom != "" {
		t.Errorf("parts are fetched from %s, an endpoint of another service", got.FetchFrom)
	}
}
