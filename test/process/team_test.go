package process_test

import (
	"net/http"
	"testing"

	"guavapier/internal/record"
)

// An endpoint that is configured under a team's settings path serves requests of
// that team and of no other.
func TestTeamEndpointServesItsTeamAlone(t *testing.T) {
	s := startDeployment(t)
	in := startInstance(t, "a1", "hall-a", s.platform, "")
	dala := seedTeam(t, in.operatorsURL, "dala", 1_000_000)
	agenda := seedTeam(t, in.operatorsURL, "agenda", 1_000_000)
	_, url := startStandin(t, "engine", "-model", "tuned")
	mustCall(t, http.MethodPut, in.operatorsURL+"/settings", operatorToken, record.Change{ID: "own", Ops: []record.ChangeOp{
		{Path: "/teams/dala/endpoints/own/url", Value: url},
		{Path: "/teams/dala/endpoints/own/model", Value: "tuned"},
	}})
	body := chatBody(3, false)
	body["model"] = "tuned"
	eventually(t, "the team's own endpoint serves", func() bool {
		return call(http.MethodPost, in.callersURL+"/v1/chat/completions", dala, body).status == http.StatusOK
	})
	if got := call(http.MethodPost, in.callersURL+"/v1/chat/completions", agenda, body); got.status < 400 {
		t.Fatalf("request of another team: status %d, body %s", got.status, got.body)
	}
	if n := generatedTokens(t, []string{url}); n != 3 {
		t.Fatalf("the endpoint generated %d tokens, want 3", n)
	}
}
