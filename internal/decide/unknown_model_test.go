package decide

import (
	"testing"
	"time"
)

// refusalCode submits a request for a model and returns its refusal's code, or "".
func refusalCode(d *Decider, id RequestID, model string) Code {
	d.Submit(Request{ID: id, Team: "t", Model: model, Priority: PriorityInteractive, Deadline: d.now + time.Minute})
	for _, decision := range d.Tick(d.now + time.Millisecond) {
		if decision.Request == id && decision.Kind == Refuse {
			return decision.Code
		}
	}
	return ""
}

// A model that nobody serves is no outage; one whose endpoints are gone is.
func TestAnUnknownModelIsNotAnOutage(t *testing.T) {
	d := New(Options{})
	if got := refusalCode(d, 1, "small"); got != CodeNoEndpoint {
		t.Errorf("with nothing known: %q", got)
	}
	own := Endpoint{Name: "own", Models: []string{"tuned"}, Team: "t", Slots: 4, Weight: 1}
	other := Endpoint{Name: "other", Models: []string{"secret"}, Team: "u", Slots: 4, Weight: 1}
	shared := Endpoint{Name: "shared", Models: []string{"small"}, Slots: 4, Weight: 1}
	d.SetEndpoints([]Endpoint{own, other, shared})
	for id, model := range map[RequestID]string{2: "large", 3: "secret"} {
		if got := refusalCode(d, id, model); got != CodeUnknownModel {
			t.Errorf("%s: %q", model, got)
		}
	}
	for id, model := range map[RequestID]string{4: "small", 5: "tuned"} {
		if got := refusalCode(d, id, model); got != "" {
			t.Errorf("%s: %q", model, got)
		}
	}
	d.SetEndpoints([]Endpoint{other})
	if got := refusalCode(d, 6, "small"); got != CodeNoEndpoint {
		t.Errorf("with its endpoints gone: %q", got)
	}
}
