package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/discovery"
	"guavapier/internal/endpointload"
	"guavapier/internal/sendcost"
)

// timedTable returns a table of n endpoints of one zone whose load of all instances is known.
func timedTable(n int, loads map[string]endpointload.Load) *Table {
	p := New(1, 0)
	for i := range n {
		p.Put(discovery.Endpoint{ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("e%d:1", i), Service: "s", Zone: "z", Slots: 12, Born: 1}, 0)
	}
	p.SetOthersLoads(loads, time.Second)
	return p
}

// placedCost returns the cost of each endpoint for a query, as far as it concerns its load.
func (t *Table) placedCost(q Query, now time.Duration) map[string]weighed {
	costs := map[string]weighed{}
	t.prepare(&q, now)
	for _, e := range t.endpoints {
		load, _ := e.sharedLoad(&q, now)
		request := e.asRequest(&q, e.estimatePrefill(&q, now))
		cost := sendcost.Of(request, load)
		costs[e.ID] = weighed{cost.FirstTokenMS, cost.OthersMS() + cost.LateMS}
	}
	return costs
}

type weighed struct{ firstTokenMS, otherMS float64 }

// Whatever the load, no request goes where it waits longer for its first token than elsewhere by
// more than that saves: its own lateness and what others lose.
func TestNoRequestWaitsForLessThanItSaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const endpoints = 6
		loads := map[string]endpointload.Load{}
		for i := range endpoints {
			requests := rapid.IntRange(0, 30).Draw(t, "requests")
			loads[fmt.Sprintf("e%d", i)] = endpointload.Load{
				Requests: requests, Waiting: rapid.IntRange(0, requests).Draw(t, "waiting"),
				Prefill: time.Duration(rapid.IntRange(0, 3000).Draw(t, "prefill")) * time.Millisecond, Tokens: rapid.Int64Range(0, 500_000).Draw(t, "tokens"),
			}
		}
		p := timedTable(endpoints, loads)
		for i := range rapid.IntRange(1, 30).Draw(t, "sends") {
			now := time.Second + time.Duration(i)*10*time.Millisecond
			q := Query{Service: "s", Zone: "z", Tokens: 5000, Target: time.Duration(rapid.IntRange(0, 1000).Draw(t, "target")) * time.Millisecond, Parts: []Part{
				{ID: "a", Tokens: 500}, {ID: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "subject")), Tokens: 4000}, {ID: fmt.Sprint("own", i), Tokens: rapid.Int64Range(1, 40_000).Draw(t, "own")},
			}}
			costs := p.placedCost(q, now)
			a := p.Place(q, now)
			chosen := costs[a.Endpoint.ID]
			for id, other := range costs {
				if lost, saved := chosen.firstTokenMS-other.firstTokenMS, other.otherMS-chosen.otherMS; lost > saved+1e-6 {
					t.Fatalf("%s has its first token %.1f ms later than %s and saves %.1f ms", a.Endpoint.ID, lost, id, saved)
				}
			}
		}
	})
}

// homesInUse returns the endpoints that are believed to hold a subject's parts, as an instance
// with no sends of its own sees it.
func homesInUse(p *Table, now time.Duration) []string {
	q := Query{Service: "s", Parts: []Part{{ID: "a", Tokens: 500}, {ID: "subject", Tokens: 4800}, {ID: "own", Tokens: 100}}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepare(&q, now)
	var ids []string
	for _, home := range q.homes[:q.activeHomes] {
		ids = append(ids, home.ID)
	}
	return ids
}

// A subject that many ask for at once gets a second home as soon as the wait at the first one
// costs more than reading it once more, the same for all instances, and loses it with the load.
func TestAHotSubjectGetsASecondHomeAndLosesIt(t *testing.T) {
	quiet, again := timedTable(10, nil), timedTable(10, nil)
	first := homesInUse(quiet, time.Second)
	if len(first) != 1 {
		t.Fatalf("homes without load %v, want one", first)
	}
	busy := map[string]endpointload.Load{first[0]: {Requests: 11, Waiting: 2, Prefill: 300 * time.Millisecond}}
	quiet.SetOthersLoads(busy, 2*time.Second)
	again.SetOthersLoads(busy, 2*time.Second)
	hot, hotElsewhere := homesInUse(quiet, 2*time.Second), homesInUse(again, 2*time.Second)
	if len(hot) != 2 || hot[0] != first[0] || !slices.Equal(hot, hotElsewhere) {
		t.Errorf("homes under load %v and %v at another instance, want %s and the same second one", hot, hotElsewhere, first[0])
	}
	for s := range 40 { // The average of the queue falls with time.
		quiet.SetOthersLoads(nil, time.Duration(3+s)*time.Second)
	}
	if got := homesInUse(quiet, 42*time.Second); !slices.Equal(got, first) {
		t.Errorf("homes after the load %v, want %v", got, first)
	}
	again.SetOthersLoads(busy, 50*time.Second)
	if got := homesInUse(again, 50*time.Second+2*maxLoadAge); len(got) != 1 {
		t.Errorf("homes %v without word from others, want one", got)
	}
}

// What others have under way is weighed while it is new; with no word from them, as behind a cut,
// requests go where they went without.
func TestWithoutWordFromOthersPlacingGoesByOwnRequests(t *testing.T) {
	q := Query{Service: "s", Zone: "z", Target: 400 * time.Millisecond, Parts: []Part{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 100}, {ID: "own", Tokens: 100}}}
	plain := New(1, 0)
	for i := range 8 {
		plain.Put(discovery.Endpoint{ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("e%d:1", i), Service: "s", Zone: "z", Slots: 12, Born: 1}, 0)
	}
	wanted := plain.Place(q, time.Minute).Endpoint.ID
	told := timedTable(8, nil)
	full := map[string]endpointload.Load{wanted: {Requests: 20, Waiting: 8, Prefill: time.Second}}
	told.SetOthersLoads(full, time.Minute)
	if got := told.Place(q, time.Minute).Endpoint.ID; got == wanted {
		t.Errorf("placed on %s, which others have filled", got)
	}
	cut := timedTable(8, nil)
	cut.SetOthersLoads(full, time.Minute)
	if got := cut.Place(q, time.Minute+2*maxLoadAge).Endpoint.ID; got != wanted {
		t.Errorf("placed on %s without word from others, want %s", got, wanted)
	}
}

// What an endpoint reports counts where it is newer than what others have told, and its memory
// bounds what it gets.
func TestReportsCountWhereTheyAreNewer(t *testing.T) {
	p := timedTable(2, nil)
	q := Query{Service: "s", Zone: "z", Tokens: 300_000, Parts: []Part{{ID: "own", Tokens: 1000}}}
	p.SetReports(map[string]endpointload.Report{"e0": {TotalTokens: 200_000}, "e1": {Running: 12, Waiting: 3, TotalTokens: 400_000}}, time.Second+300*time.Millisecond)
	if got := p.Place(q, time.Second+300*time.Millisecond).Endpoint.ID; got != "e1" {
		t.Errorf("a request is placed on %s, which can't hold it", got)
	}
	q.Tokens = 1000
	if got := p.Place(q, time.Second+300*time.Millisecond).Endpoint.ID; got != "e0" {
		t.Errorf("a request is placed on %s, which reports a queue", got)
	}
}

// An endpoint that has just started looks idle to all instances at once. It counts as loaded as
// the others on average until they have told of it for a while.
func TestANewEndpointIsNotRushed(t *testing.T) {
	loads := map[string]endpointload.Load{}
	for i := range 8 {
		loads[fmt.Sprintf("e%d", i)] = endpointload.Load{Requests: 8, Waiting: 1, Prefill: 40 * time.Millisecond}
	}
	p := timedTable(8, loads)
	p.Put(discovery.Endpoint{ID: "new", Address: "new:1", Service: "s", Zone: "z", Slots: 12, Born: 1}, time.Second)
	p.SetOthersLoads(loads, 1200*time.Millisecond)
	atNew := 0
	for i := range 16 {
		q := Query{Service: "s", Zone: "z", Tokens: 500, Target: 400 * time.Millisecond, Parts: []Part{{ID: fmt.Sprint(i), Tokens: 300}}}
		if p.Place(q, 1200*time.Millisecond).Endpoint.ID == "new" {
			atNew++
		}
	}
	if atNew == 0 || atNew > 6 {
		t.Errorf("%d of 16 requests are placed on the new endpoint, want a few", atNew)
	}
}

// An endpoint whose answers have begun late lately, for whatever reason, gets less for a while.
func TestAnEndpointThatAnswersLateIsAvoided(t *testing.T) {
	p := timedTable(4, nil)
	late := []endpointload.Sample{{Endpoint: "e1", Tokens: 500, TTFT: time.Second}, {Endpoint: "e1", Tokens: 500, TTFT: time.Second}}
	q := Query{Service: "s", Zone: "z", Tokens: 500, Target: 400 * time.Millisecond, Parts: []Part{{ID: "own", Tokens: 300}}}
	p.ObserveSamples(late)
	for range 12 {
		if got := p.Place(q, 1100*time.Millisecond).Endpoint.ID; got == "e1" {
			t.Error("a request is placed on the endpoint that answers late")
		}
	}
	if now := 6 * time.Second; p.endpoints["e1"].delay.At(now) > 1 {
		t.Errorf("a delay of %.0f ms is expected 5 s later", p.endpoints["e1"].delay.At(now))
	}
}
