package placement_test

import (
	"testing"
	"time"

	"guavapier/internal/endpointload"
	"guavapier/internal/placement"
)

// An instance tells what it has under way at an endpoint, until it has ended, and its sample of
// the endpoint's speed once.
func TestAnInstanceTellsWhatItHasUnderWay(t *testing.T) {
	p := newTable(1)
	query := placement.Query{Service: "s", Zone: "z0", Tokens: 700, Parts: []placement.Part{{ID: "own", Tokens: 9200}}}
	a := p.Place(query, 0)
	a.OnSend(0)
	want := endpointload.Load{Requests: 1, Waiting: 1, Prefill: a.PrefillTime, Tokens: 700}
	if got := p.OwnLoads(0)[a.Endpoint.ID]; got != want {
		t.Errorf("load %+v after the send, want %+v", got, want)
	}
	a.OnAnswerStart(time.Second, true)
	if got := p.OwnLoads(time.Second)[a.Endpoint.ID]; got != (endpointload.Load{Requests: 1, Tokens: 700}) {
		t.Errorf("load %+v once the answer has begun", got)
	}
	a.Done(placement.Answered, time.Second)
	if got := p.OwnLoads(time.Second); len(got) != 0 {
		t.Errorf("loads %+v once the request has ended, want none", got)
	}
	if got := p.TakeSamples(); len(got) != 1 || got[0].TTFT != time.Second || got[0].Tokens != 9200 {
		t.Errorf("samples %+v, want the one of the answer", got)
	}
	if got := p.TakeSamples(); len(got) != 0 {
		t.Errorf("samples %+v told twice", got)
	}
}
