package placement_test

import (
	"fmt"
	"testing"
	"time"

	"guavapier/internal/discovery"
	"guavapier/internal/placement"
)

func newTable(n int) *placement.Table {
	t := placement.New(1)
	for i := range n {
		t.Put(discovery.Endpoint{ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("e%d:1", i), Service: "s", Zone: fmt.Sprintf("z%d", i%2), Born: 1})
	}
	return t
}

func promptParts(id string) []placement.Part {
	return []placement.Part{{ID: "shared", Tokens: 512}, {ID: id, Tokens: 4870}}
}

func TestLeavingOrExcludedEndpointsAndOtherServicesAreNotChosen(t *testing.T) {
	p := placement.New(1)
	p.Put(discovery.Endpoint{ID: "leaving", Service: "s", Leaving: true})
	p.Put(discovery.Endpoint{ID: "other", Service: "t"})
	p.Put(discovery.Endpoint{ID: "tried", Service: "s"})
	if got := p.Place(placement.Query{Service: "s", Exclude: []string{"tried"}}, 0); got != nil {
		t.Errorf("placed on %s", got.Endpoint.ID)
	}
	p.Remove("tried")
	if got := p.Place(placement.Query{Service: "s"}, 0); got != nil {
		t.Errorf("placed on %s", got.Endpoint.ID)
	}
}

// One session after the other comes back to where its prompt was read.
func TestPromptsComeBackToWhereTheyWereRead(t *testing.T) {
	p := newTable(6)
	firstEndpoint := map[string]string{}
	for round := range 4 {
		for s := range 6 {
			id := fmt.Sprintf("session%d", s)
			a := p.Place(placement.Query{Service: "s", Zone: "z0", Parts: promptParts(id)}, time.Duration(round)*time.Second)
			if round > 0 && a.Endpoint.ID != firstEndpoint[id] {
				t.Errorf("%s went from %s to %s", id, firstEndpoint[id], a.Endpoint.ID)
			}
			firstEndpoint[id] = a.Endpoint.ID
			a.Done(placement.Answered, time.Duration(round)*time.Second)
		}
	}
}

// Eight instances that never talk send a prompt to one endpoint, so that it is
// read about once. By own sends alone each had it read at an endpoint of its own.
func TestInstancesAgreeOnAPromptsPreferredEndpoint(t *testing.T) {
	const instances, sessions = 8, 30
	prefills := map[string]int{}
	for i := range instances {
		p := newTable(12)
		for s := range sessions {
			id := fmt.Sprintf("session%d", s)
			a := p.Place(placement.Query{Service: "s", Zone: fmt.Sprintf("z%d", i%2), Parts: append(promptParts(id), placement.Part{ID: "own", Tokens: 900})}, 0)
			prefills[id+"@"+a.Endpoint.ID] = 1
			a.Done(placement.Answered, 0)
		}
	}
	if got := len(prefills); got > 2*sessions {
		t.Errorf("%d prompts were read at %d endpoints in all", sessions, got)
	}
}

// Behind a cut that takes a third of the endpoints away, the instances that can't
// reach them send the prompts whose homes these were to one other endpoint each.
// When each instance chose for itself, 30 prompts were read at 62 endpoints.
func TestInstancesAgreeOnAnotherPreferredEndpointBehindACut(t *testing.T) {
	const instances, sessions = 8, 30
	prefills := map[string]bool{}
	for i := range instances {
		p := newTable(12)
		for unreachable := range 4 {
			var others []string
			for e := range 12 {
				if e != unreachable {
					others = append(others, fmt.Sprintf("e%d", e))
				}
			}
			p.Place(placement.Query{Service: "s", Exclude: others}, 0).Done(placement.Unreachable, 0)
		}
		for s := range sessions {
			id := fmt.Sprintf("session%d", s)
			a := p.Place(placement.Query{Service: "s", Zone: fmt.Sprintf("z%d", i%2), Parts: append(promptParts(id), placement.Part{ID: "own", Tokens: 900})}, 0)
			prefills[id+"@"+a.Endpoint.ID] = true
			a.Done(placement.Answered, 0)
		}
	}
	if got := len(prefills); got > sessions*11/10 {
		t.Errorf("%d prompts were read at %d endpoints in all", sessions, got)
	}
}

// A burst on one prompt spreads before its queue costs more than reading the
// prompt again: under plain affinity all 60 would queue at one endpoint.
func TestABurstOnOnePromptSpreads(t *testing.T) {
	p := newTable(6)
	requestsAt := map[string]int{}
	for range 60 {
		requestsAt[p.Place(placement.Query{Service: "s", Zone: "z0", Parts: promptParts("hot")}, 0).Endpoint.ID]++
	}
	for id, n := range requestsAt {
		if n > 20 {
			t.Errorf("%d of 60 on %s", n, id)
		}
	}
	if len(requestsAt) < 4 {
		t.Errorf("only %d endpoints share the burst", len(requestsAt))
	}
}

// Long prompts in a mix must not push short calls to a queue: load counts in
// requests, and each request goes to the least loaded of its zone.
func TestRequestsSpreadEvenlyOverEqualEndpoints(t *testing.T) {
	p := newTable(4)
	at := map[string]int{}
	for i := range 40 {
		a := p.Place(placement.Query{Service: "s", Zone: fmt.Sprintf("z%d", i%2)}, 0)
		at[a.Endpoint.ID]++
	}
	for id, n := range at {
		if n < 8 || n > 12 {
			t.Errorf("%d of 40 on %s", n, id)
		}
	}
}

func TestTheOwnZoneGoesFirstUntilItQueues(t *testing.T) {
	p := newTable(2)
	for i := range 2 {
		if a := p.Place(placement.Query{Service: "s", Zone: "z0"}, 0); a.Endpoint.Zone != "z0" {
			t.Errorf("request %d left its zone", i)
		}
	}
	otherZone := 0
	for range 6 {
		if a := p.Place(placement.Query{Service: "s", Zone: "z0"}, 0); a.Endpoint.Zone != "z0" {
			otherZone++
		}
	}
	if otherZone == 0 {
		t.Error("a queue in the own zone sends nothing away")
	}
}

// A dark endpoint takes requests and answers none: after half a second it costs
// more than the others. Least loaded alone would give it a fifth of all.
func TestASilentEndpointGetsFewRequests(t *testing.T) {
	p := newTable(5)
	toSilent := 0
	for ms := 0; ms < 5000; ms += 10 {
		now := time.Duration(ms) * time.Millisecond
		a := p.Place(placement.Query{Service: "s", Zone: "z0"}, now)
		if a.Endpoint.ID == "e0" {
			toSilent++
			continue
		}
		a.OnAnswerStart(now, true)
		a.Done(placement.Answered, now)
	}
	if toSilent > 20 {
		t.Errorf("%d of 500 requests went to the dark endpoint", toSilent)
	}
}

// A question must not queue behind a report of 60,000 tokens that another
// instance has just sent: until it is read, 1.3 s, the endpoint costs more.
func TestQuestionsAvoidAnEndpointThatReadsALongPrompt(t *testing.T) {
	long := []placement.Part{{ID: "system", Tokens: 500}, {ID: "dossier", Tokens: 5000}, {ID: "own", Tokens: 54_500}}
	question := []placement.Part{{ID: "system", Tokens: 500}, {ID: "own question", Tokens: 100}}
	sender, receiver := newTable(4), newTable(4)
	a := sender.Place(placement.Query{Service: "s", Zone: "z0", Parts: long}, 0)
	if a.PrefillTime < time.Second || a.PrefillTime > 2*time.Second {
		t.Errorf("reading takes %s", a.PrefillTime)
	}
	receiver.RecordRemotePrefill(a.Endpoint.ID, a.PrefillTime, 0)
	behind := 0
	for range 40 {
		if got := receiver.Place(placement.Query{Service: "s", Zone: "z0", Parts: question}, 100*time.Millisecond); got.Endpoint.ID == a.Endpoint.ID {
			behind++
		}
	}
	if behind > 0 {
		t.Errorf("%d of 40 questions wait behind the report", behind)
	}
	if got := receiver.Place(placement.Query{Service: "s", Zone: a.Endpoint.Zone, Parts: question}, 3*time.Second); got.Endpoint.ID != a.Endpoint.ID {
		t.Errorf("the report has been read, and %s gets the question with %d in flight", got.Endpoint.ID, got.InFlight)
	}
}

func TestAnEndpointThatFailsIsAvoidedForATime(t *testing.T) {
	p := newTable(2)
	fail := func(now time.Duration) {
		for range 2 {
			a := p.Place(placement.Query{Service: "s", Zone: "z0", Exclude: []string{"e1"}}, now)
			a.Done(placement.Failed, now)
		}
	}
	fail(0)
	for range 5 {
		if a := p.Place(placement.Query{Service: "s", Zone: "z0"}, time.Millisecond); a.Endpoint.ID == "e0" {
			t.Error("placed on the failing endpoint")
		}
	}
	if a := p.Place(placement.Query{Service: "s", Zone: "z0", Exclude: []string{"e1"}}, time.Millisecond); a == nil {
		t.Error("with no other endpoint the failing one is worth a try")
	}
	if a := p.Place(placement.Query{Service: "s", Zone: "z0"}, 5*time.Second); a.Endpoint.ID != "e0" {
		t.Error("avoided for longer than its pause")
	}
}

// Behind a cut of 10 s one request finds out that an endpoint can't be reached,
// and none that it still can't. With pauses that double it were 5, and as many
// again for each instance.
func TestAnUnreachableEndpointCostsOneAttempt(t *testing.T) {
	p := newTable(3)
	failedAttempts := 0
	for ms := 0; ms < 10_000; ms += 10 {
		now := time.Duration(ms) * time.Millisecond
		a := p.Place(placement.Query{Service: "s", Zone: "z0"}, now)
		if a.Endpoint.ID == "e0" {
			failedAttempts++
			a.Done(placement.Unreachable, now)
			continue
		}
		a.OnAnswerStart(now, true)
		a.Done(placement.Answered, now)
	}
	if failedAttempts != 1 {
		t.Errorf("%d requests met the unreachable endpoint", failedAttempts)
	}
	if got := p.Unreachable(); len(got) != 1 || got[0].ID != "e0" {
		t.Fatalf("unreachable are %v", got)
	}
	p.MarkReachable("e0")
	if got := p.Unreachable(); len(got) != 0 {
		t.Errorf("still unreachable are %v", got)
	}
	if a := p.Place(placement.Query{Service: "s", Zone: "z0", Exclude: []string{"e1", "e2"}}, 10*time.Second); a == nil || a.Endpoint.ID != "e0" {
		t.Error("not used again")
	}
}

// Where all are unreachable one of them is still worth a try.
func TestUnreachableEndpointsAreTriedIfThereAreNoOthers(t *testing.T) {
	p := newTable(1)
	p.Place(placement.Query{Service: "s"}, 0).Done(placement.Unreachable, 0)
	if a := p.Place(placement.Query{Service: "s"}, time.Second); a == nil {
		t.Error("nothing tried")
	}
}

func TestARestartedEndpointHasNoCachedParts(t *testing.T) {
	p := newTable(2)
	a := p.Place(placement.Query{Service: "s", Zone: "z0", Parts: promptParts("a")}, 0)
	a.Done(placement.Answered, 0)
	p.Put(discovery.Endpoint{ID: a.Endpoint.ID, Service: "s", Zone: a.Endpoint.Zone, Born: 2})
	for _, row := range p.View() {
		if row.Parts != 0 {
			t.Errorf("%s remembers %d parts", row.ID, row.Parts)
		}
	}
}

func BenchmarkPlace140Endpoints12Parts(b *testing.B) {
	p := newTable(140)
	var parts []placement.Part
	for i := range 12 {
		parts = append(parts, placement.Part{ID: fmt.Sprintf("p%d", i), Tokens: 400})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * time.Millisecond
		a := p.Place(placement.Query{Service: "s", Zone: "z0", Parts: parts}, now)
		a.OnAnswerStart(now, true)
		a.Done(placement.Answered, now)
	}
}
