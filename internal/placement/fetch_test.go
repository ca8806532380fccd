package placement_test

import (
	"fmt"
	"testing"
	"time"

	"guavapier/internal/discovery"
	"guavapier/internal/placement"
)

// sessionParts is a prompt of 6,000 shared tokens and some of its own.
func sessionParts(id, own string) []placement.Part {
	return []placement.Part{{ID: "system", Tokens: 2500}, {ID: id, Tokens: 3500}, {ID: own, Tokens: 2000}}
}

// newAnsweringTable returns a table whose endpoints have all answered of late.
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

// 40 requests of one session come at once: its home can't take them all in time.
// Those that leave it have the shared parts fetched from where they were read, so
// that they are read once and not once at each endpoint: without, 5 endpoints
// read them, 30,000 tokens in place of 6,000.
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
		t.Errorf("the burst stays at %v", requestsAt)
	}
	if prefills != 1 {
		t.Errorf("the shared parts are read %d times", prefills)
	}
}

// What another instance has told of decides as much as own sends.
func TestPartsThatOthersSentAreFound(t *testing.T) {
	const now = time.Second
	sender, receiver := newAnsweringTable(6, now), newAnsweringTable(6, now)
	q := placement.Query{Service: "s", Zone: "z0", Parts: sessionParts("a", "own")}
	a := sender.Place(q, now)
	if len(a.PartsToAnnounce) != 2 {
		t.Fatalf("nothing to tell of %s: %v", a.Endpoint.ID, a.PartsToAnnounce)
	}
	var elsewhere string // Not the home, which all know without a word.
	for i := range 6 {
		if id := fmt.Sprintf("e%d", i); id != a.Endpoint.ID {
			elsewhere = id
		}
	}
	receiver.RecordRemoteParts(elsewhere, a.PartsToAnnounce, now)
	q.Exclude = []string{a.Endpoint.ID}
	if got := receiver.Place(q, now); got.Endpoint.ID != elsewhere || got.MissingTokens > 2000 {
		t.Errorf("placed at %s, lacking %.0f", got.Endpoint.ID, got.MissingTokens)
	}
	q.Exclude = append(q.Exclude, elsewhere)
	if got := receiver.Place(q, now); got.FetchFrom != elsewhere+":1" {
		t.Errorf("fetched from %q, not from %s", got.FetchFrom, elsewhere)
	}
	if again := sender.Place(q, now+time.Second); again.Endpoint.ID == a.Endpoint.ID && again.PartsToAnnounce != nil {
		t.Errorf("told again: %v", again.PartsToAnnounce)
	}
}

// An endpoint behind a cut, one that leaves and one that is gone silent would be
// waited for.
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
			p.Put(e)
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
				t.Errorf("fetched from %s", preferred.Endpoint.ID)
			}
		})
	}
}

// Setting a transfer up takes longer than reading a few tokens.
func TestFewSharedTokensAreNotFetched(t *testing.T) {
	const now = time.Second
	p := newAnsweringTable(2, now)
	q := placement.Query{Service: "s", Parts: []placement.Part{{ID: "a", Tokens: 200}, {ID: "own", Tokens: 3000}}}
	a := p.Place(q, now)
	q.Exclude = []string{a.Endpoint.ID}
	if again := p.Place(q, now); again.FetchFrom != "" {
		t.Errorf("200 tokens fetched from %s", again.FetchFrom)
	}
}

// An endpoint of a service is not asked for another service's prompts.
func TestOnlyTheOwnServiceIsFetchedFrom(t *testing.T) {
	const now = time.Second
	p := newAnsweringTable(1, now)
	p.Put(discovery.Endpoint{ID: "other", Service: "t", Address: "other:1", Born: 1})
	a := p.Place(placement.Query{Service: "t", Parts: sessionParts("a", "own")}, now)
	a.OnAnswerStart(now, true)
	if got := p.Place(placement.Query{Service: "s", Parts: sessionParts("a", "own")}, now); got.FetchFrom != "" {
		t.Errorf("fetched from %s", got.FetchFrom)
	}
}
