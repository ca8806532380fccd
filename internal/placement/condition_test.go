package placement_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"guavapier/internal/discovery"
	"guavapier/internal/placement"
)

// sharedPrompt is a prompt with a shared part that is large enough to be fetched.
func sharedPrompt(id string) []placement.Part {
	return append(promptParts(id), placement.Part{ID: "own", Tokens: 900})
}

func TestNothingIsPlacedInACordonedZone(t *testing.T) {
	p := newTable(8)
	for s := range 20 { // The endpoints of both zones have prompts cached.
		a := p.Place(placement.Query{Service: "s", Zone: fmt.Sprintf("z%d", s%2), Parts: sharedPrompt(fmt.Sprint(s))}, time.Second)
		a.OnAnswerStart(time.Second, true)
		a.Done(placement.Answered, time.Second)
	}
	p.SetCordons(map[string]bool{"z1": true}, time.Second)
	p.Put(discovery.Endpoint{ID: "later", Service: "s", Zone: "z1"}, 0)
	for s := range 20 {
		a := p.Place(placement.Query{Service: "s", Zone: "z1", Parts: sharedPrompt(fmt.Sprint(s))}, time.Second)
		if a.Endpoint.Zone != "z0" {
			t.Errorf("placed on %s in the cordoned zone", a.Endpoint.ID)
		}
		for _, row := range p.View(time.Second) {
			if a.FetchFrom != "" && row.Address == a.FetchFrom && row.Zone == "z1" {
				t.Errorf("%s of the cordoned zone is to be fetched from", row.ID)
			}
		}
	}
	want := map[placement.Reason]int{placement.ReasonCordoned: 5}
	if got := p.Obstacles("s", time.Second); !maps.Equal(got, want) {
		t.Errorf("obstacles %v, want %v", got, want)
	}
	p.SetCordons(map[string]bool{"z0": true, "z1": true}, time.Second)
	if a := p.Place(placement.Query{Service: "s"}, time.Second); a != nil {
		t.Errorf("placed on %s although all zones are cordoned", a.Endpoint.ID)
	}
}

// A cordoned endpoint isn't probed: nothing new is sent there.
func TestACordonedEndpointIsNotProbed(t *testing.T) {
	p := newTable(1)
	p.Place(placement.Query{Service: "s"}, 0).Done(placement.Unreachable, 0)
	p.SetCordons(map[string]bool{"z0": true}, time.Second)
	if got := p.Unreachable(); len(got) > 0 {
		t.Errorf("%v is to be probed in a cordoned zone", got)
	}
	p.SetCordons(nil, time.Second)
	if got := p.Unreachable(); len(got) != 1 {
		t.Errorf("%v is to be probed after the cordon, want e0", got)
	}
}

// Guards against requests that try one unreachable endpoint after the other although probes
// have just failed.
func TestRequestsDoNotTryWhatAProbeFoundUnreachable(t *testing.T) {
	p := newTable(1)
	p.Place(placement.Query{Service: "s"}, 0).Done(placement.Unreachable, 0)
	a := p.Place(placement.Query{Service: "s"}, 0)
	if a == nil {
		t.Fatal("not placed on the only endpoint, which no probe has found unreachable")
	}
	a.Done(placement.Unreachable, 0)
	p.RecordProbeFailure("e0")
	if a := p.Place(placement.Query{Service: "s"}, time.Second); a != nil {
		t.Errorf("placed on %s, which a probe found unreachable", a.Endpoint.ID)
	}
	p.MarkReachable("e0", 2*time.Second)
	if a := p.Place(placement.Query{Service: "s"}, 2*time.Second); a == nil {
		t.Error("not placed on an endpoint that is reachable again")
	}
}
