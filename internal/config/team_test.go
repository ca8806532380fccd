package config_test

import (
	"testing"

	"guavapier/internal/config"
	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// newConfigWith returns a fold that has accepted a change with the given value at
// each path.
func newConfigWith(t *testing.T, values map[string]string) *fold.Config {
	t.Helper()
	change := record.Change{ID: "1", By: "test"}
	for path, value := range values {
		change.Ops = append(change.Ops, record.ChangeOp{Path: path, Value: value})
	}
	if findings := config.Validate(change.Ops, ""); len(findings) > 0 {
		t.Fatal(findings)
	}
	env, err := record.Encode(change)
	if err != nil {
		t.Fatal(err)
	}
	c := fold.NewConfig()
	if err := c.Apply(0, record.Batch{Writer: "w", Seq: 1, Records: []record.Envelope{env}}); err != nil {
		t.Fatal(err)
	}
	return c
}

func TestTeamWeightsAndEndpointsAreReadForPlacement(t *testing.T) {
	c := newConfigWith(t, map[string]string{
		"/teams/dala/weight":                  "3",
		"/teams/dala/endpoints/own/url":       "http://127.0.0.1:9300",
		"/teams/dala/endpoints/own/model":     "tuned",
		"/teams/dala/endpoints/own/slots":     "4",
		"/teams/agenda/endpoints/half/weight": "2", // Without a url this defines no endpoint.
	})
	placement := config.ReadPlacementSettings(c)
	if len(placement.Weights) != 1 || placement.Weights["dala"] != 3 {
		t.Errorf("team weights %v, want dala: 3 alone", placement.Weights)
	}
	want := config.TeamEndpoint{
		EndpointCapacity: config.EndpointCapacity{Slots: 4}, Team: "dala", Name: "dala/own", URL: "http://127.0.0.1:9300", Model: "tuned",
	}
	if len(placement.Endpoints) != 1 || placement.Endpoints[0] != want {
		t.Errorf("endpoints %+v, want the endpoint dala/own alone", placement.Endpoints)
	}
}

func TestTeamPriorities(t *testing.T) {
	key := "dala:secret"
	c := newConfigWith(t, map[string]string{
		config.APIKeyPath("dala", key):   "note",
		"/teams/dala/priorities/max":     "interactive",
		"/teams/dala/priorities/default": "batch",
	})
	team, ok := config.Authenticate(c, key)
	if !ok || team.Priority != config.PriorityBatch || team.MaxPriority != config.PriorityInteractive {
		t.Errorf("team %+v, authenticated: %t", team, ok)
	}
}
