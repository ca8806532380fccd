package decide

import (
	"testing"
	"time"
)

// refusalCode submits a request for a model and returns the code of its
// refusal, or "" if it was not refused at once.
func refusalCode(d *Decider, id RequestID, model string) Code {
	d.Submit(Request{ID: id, Team: "t", Model: model, Priority: PriorityInteractive, Deadline: d.now + time.Minute})
	for _, decision := range d.Tick(d.now + time.Millisecond) {
		if decision.Request == id && decision.Kind == Refuse {
			return decision.Code
		}
	}
	return ""
}

// TestAnUnknownModelIsNotAnOutage checks that a model that no endpoint ever
// served gets CodeUnknownModel, and one whose endpoints are gone gets
// CodeNoEndpoint, after which a retry may help.
func TestAnUnknownModelIsNotAnOutage(t *testing.T) {
	d := New(Options{})
	if got := refusalCode(d, 1, "small"); got != CodeNoEndpoint {
		t.Errorf("before any endpoint is listed: code %q", got)
	}
	own := Endpoint{Name: "own", Models: []string{"tuned"}, Team: "t", Slots: 4, Weight: 1}
	other := Endpoint{Name: "other", Models: []string{"secret"}, Team: "u", Slots: 4, Weight: 1}
	shared := Endpoint{Name: "shared", Models: []string{"small"}, Slots: 4, Weight: 1}
	d.SetEndpoints([]Endpoint{own, other, shared})
	for id, model := range map[RequestID]string{2: "large", 3: "secret"} {
		if got := refusalCode(d, id, model); got != CodeUnknownModel {
			t.Errorf("model %s: code %q", model, got)
		}
	}
	for id, model := range map[RequestID]string{4: "small", 5: "tuned"} {
		if got := refusalCode(d, id, model); got != "" {
			t.Errorf("model %s: code %q", model, got)
		}
	}
	d.SetEndpoints([]Endpoint{other})
	if got := refusalCode(d, 6, "small"); got != CodeNoEndpoint {
		t.Errorf("after its endpoints are removed: code %q", got)
	}
}
