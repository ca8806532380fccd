package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"guavapier/internal/claim"
	"guavapier/internal/config"
	"guavapier/internal/fold"
	"guavapier/internal/ledger"
	"guavapier/internal/logstore"
	"guavapier/internal/metrics"
	"guavapier/internal/operator"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/state"
)

const (
	fleetToken        = "fleet-secret"
	dalaToken         = "dala:operator"
	otherToken        = "agenda:operator"
	expiredToken      = "dala:expired"
	expiredFleetToken = "fleet-expired"
	confirmTimeout    = 50 * time.Millisecond
)

// fakeLog applies each append to its replicas at once. If unconfirmed is set, an append
// blocks until its context ends and has no effect. If lateEffect is set, an append takes
// effect but returns an error.
type fakeLog struct {
	config                  *replica.Replica[*fold.Config]
	ledger                  *replica.Replica[*fold.Ledger]
	seq                     uint64
	unconfirmed, lateEffect bool
}

func (l *fakeLog) Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error) {
	if l.unconfirmed {
		<-ctx.Done()
		return 0, logstore.ErrUnavailable
	}
	l.seq++
	batch := record.Batch{Writer: "w", Seq: l.seq}
	envelopes, err := record.EncodeAll(records...)
	if err != nil {
		return 0, err
	}
	batch.Records = envelopes
	data, err := record.EncodeBatch(batch)
	if err != nil {
		return 0, err
	}
	entry := logstore.Entry{Offset: l.seq, Data: data}
	if stream == record.ConfigStream {
		err = l.config.Apply(entry)
	} else {
		err = l.ledger.Apply(entry)
	}
	if l.lateEffect {
		return 0, logstore.ErrUnavailable
	}
	return entry.Offset, err
}

// newTestAPI returns an API with a key for an operator of each of the teams dala and agenda,
// an expired key of dala, an expired fleet key, and a budget of dala.
func newTestAPI(t *testing.T) (http.Handler, *fakeLog) {
	t.Helper()
	log := &fakeLog{
		config: replica.New(record.ConfigStream, fold.NewConfig()),
		ledger: replica.New(record.LedgerStream(0), fold.NewLedger()),
	}
	past := time.Now().Add(-time.Minute).Format(time.RFC3339)
	seed := record.Change{ID: "seed", By: "test"}
	for path, value := range map[string]string{
		config.OperatorKeyPath("dala", dalaToken):                         "ana",
		config.OperatorKeyPath("agenda", otherToken):                      "luz",
		config.OperatorKeyPath("dala", expiredToken):                      "old",
		config.ExpiresPath(config.OperatorKeyPath("dala", expiredToken)):  past,
		config.OperatorKeyPath("", expiredFleetToken):                     "old",
		config.ExpiresPath(config.OperatorKeyPath("", expiredFleetToken)): past,
		config.DefaultBudgetPath("dala"):                                  "main",
	} {
		seed.Ops = append(seed.Ops, record.ChangeOp{Path: path, Value: value})
	}
	if _, err := log.Append(t.Context(), record.ConfigStream, seed); err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), record.LedgerStream(0), record.TopUp{Budget: record.BudgetID{Team: "dala", Name: "main"}, ID: "1", Tokens: 5}); err != nil {
		t.Fatal(err)
	}
	api := &operator.API{
		FleetToken: fleetToken, Log: log, Config: log.config, Ledgers: []*replica.Replica[*fold.Ledger]{log.ledger},
		State: state.New(), Metrics: metrics.New(), Instances: func() []logstore.Instance { return nil }, ConfirmTimeout: confirmTimeout,
		CloseGrant: func(context.Context, record.RightID) (fold.Grant, error) { return fold.Grant{}, ledger.ErrNoGrant },
		CloseShard: func(context.Context, record.RightID) (fold.Shard, error) { return fold.Shard{}, claim.ErrNoShard },
	}
	return api.Handler(), log
}

// request sends a request with a bearer token and body as JSON. An empty token sends no
// Authorization header.
func request(h http.Handler, method, url, token string, body any) *httptest.ResponseRecorder {
	data, _ := json.Marshal(body)
	r := httptest.NewRequest(method, url, bytes.NewReader(data))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// newChange returns the body of a settings change.
func newChange(id string, ops ...record.ChangeOp) operator.ChangeRequest {
	return operator.ChangeRequest{ID: id, By: "test", Ops: ops}
}

// Each row is a request about the team dala, with the status that the team's own operator,
// another team's operator and a fleet operator get. Invalid and expired tokens always get
// 401. A route without a row fails the test.
func TestEveryRouteChecksTheCredential(t *testing.T) {
	conservatism := record.ChangeOp{Path: "/teams/dala/budgets/main/lean", Value: "0.5"}
	weight := record.ChangeOp{Path: "/teams/dala/weight", Value: "3"}
	newOperatorKey := record.ChangeOp{Path: config.OperatorKeyPath("dala", "dala:more"), Value: "more"}
	topUp := operator.TopUpRequest{Team: "dala", Budget: "main", Tokens: 7, ID: "2"}
	rows := []struct {
		route, url                           string
		body                                 any
		teamStatus, otherStatus, fleetStatus int
	}{
		{"GET /state", "/state", nil, 403, 403, 200},
		{"GET /metrics", "/metrics", nil, 403, 403, 200},
		{"GET /teams", "/teams", nil, 403, 403, 200},
		{"POST /topups", "/topups", topUp, 403, 403, 200},
		{"POST /grants/{id}/close", "/grants/g1/close", nil, 403, 403, 404},
		{"POST /shards/{id}/close", "/shards/s1/close", nil, 403, 403, 404},
		{"GET /budgets/{team}", "/budgets/dala", nil, 200, 403, 200},
		{"GET /budgets/{team}/{name}", "/budgets/dala/main", nil, 200, 403, 200},
		{"PUT /settings", "/settings", newChange("c1", conservatism), 200, 422, 200},
		{"PUT /settings", "/settings", newChange("c2", weight), 422, 422, 200},
		{"PUT /settings", "/settings", newChange("c3", newOperatorKey), 422, 422, 200},
		{"PUT /settings", "/settings", newChange("c4", record.ChangeOp{Path: "/fleet/services/rig/repeatable", Value: "GET /calendar"}), 422, 422, 200},
		{"GET /settings", "/settings?prefix=/teams/dala", nil, 200, 403, 200},
		{"GET /settings", "/settings", nil, 403, 403, 200},
		{"GET /history", "/history?prefix=/teams/dala", nil, 200, 403, 200},
		{"GET /changes/{id}", "/changes/c1", nil, 200, 404, 200},
		{"GET /changes/{id}", "/changes/seed", nil, 404, 404, 200}, // It touches both teams.
		{"GET /applied", "/applied", nil, 200, 200, 200},
		{"GET /instances", "/instances", nil, 200, 200, 200},
	}
	h, _ := newTestAPI(t)
	covered := map[string]bool{}
	for _, row := range rows {
		covered[row.route] = true
		method, _, _ := strings.Cut(row.route, " ")
		for who, want := range map[string]int{"": 401, "forged": 401, "dala:forged": 401, expiredToken: 401, expiredFleetToken: 401, otherToken: row.otherStatus} {
			if got := request(h, method, row.url, who, row.body); got.Code != want {
				t.Errorf("%s with token %q: got status %d, want %d: %s", row.route, who, got.Code, want, got.Body)
			}
		}
		if got := request(h, method, row.url, dalaToken, row.body); got.Code != row.teamStatus {
			t.Errorf("%s %s as operator of the team: got status %d, want %d: %s", method, row.url, got.Code, row.teamStatus, got.Body)
		}
		if got := request(h, method, row.url, fleetToken, row.body); got.Code != row.fleetStatus {
			t.Errorf("%s as fleet operator: got status %d, want %d: %s", row.route, got.Code, row.fleetStatus, got.Body)
		}
	}
	err := chi.Walk(h.(chi.Routes), func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		if !covered[method+" "+route] {
			t.Errorf("route %s %s has no row in this test", method, route)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// decode unmarshals a JSON response.
func decode[T any](t *testing.T, w *httptest.ResponseRecorder) T {
	t.Helper()
	var out T
	if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil {
		t.Fatalf("unmarshal response: %v: %s", err, w.Body)
	}
	return out
}

// Of two conflicting changes the second is refused with the one that came first. A retry
// under the same ID returns the first result without another append, and reuse of the ID
// for another change is refused.
func TestLoserIsToldWhoWonAndARetryAppliesOnce(t *testing.T) {
	h, log := newTestAPI(t)
	const path = "/teams/dala/budgets/main/lean"
	first := newChange("first", record.ChangeOp{Path: path, Value: "0.1"})
	accepted := decode[fold.ChangeResult](t, request(h, http.MethodPut, "/settings", dalaToken, first))
	lost := request(h, http.MethodPut, "/settings", fleetToken, newChange("second", record.ChangeOp{Path: path, Value: "0.9"}))
	if lost.Code != http.StatusConflict {
		t.Fatalf("second change: got status %d, want 409: %s", lost.Code, lost.Body)
	}
	winner := decode[operator.Problem](t, lost).Error.Result.Lost[0]
	if winner.Value != "0.1" || winner.Change != "first" || !strings.Contains(winner.By, "team dala: ana") {
		t.Errorf("second change was refused with %+v, want the first change", winner)
	}
	appended := log.seq
	if again := decode[fold.ChangeResult](t, request(h, http.MethodPut, "/settings", dalaToken, first)); again.Offset != accepted.Offset || !again.Accepted {
		t.Errorf("retry returned %+v, first request %+v", again, accepted)
	}
	if log.seq != appended {
		t.Error("a retry with a known result was appended again")
	}
	reused := request(h, http.MethodPut, "/settings", dalaToken, newChange("first", record.ChangeOp{Path: path, Value: "0.2"}))
	if reused.Code != http.StatusUnprocessableEntity {
		t.Errorf("another change under the same ID: got status %d, want 422: %s", reused.Code, reused.Body)
	}
}

// An invalid change isn't appended to the log, and the answer lists all of its problems, so
// that the operator needn't correct them one by one.
func TestAllFindingsOfAChangeAreReported(t *testing.T) {
	h, log := newTestAPI(t)
	appended := log.seq
	got := request(h, http.MethodPut, "/settings", dalaToken, newChange("bad id",
		record.ChangeOp{Path: "/teams/dala/budgets/main/lean", Value: "2"},
		record.ChangeOp{Path: "/teams/dala/colour", Value: "green"},
		record.ChangeOp{Path: "/teams/agenda/default_budget", Value: "main"},
		record.ChangeOp{Path: "/teams/dala/default_budget", Value: "a"},
		record.ChangeOp{Path: "/teams/dala/default_budget", Value: "b"},
	))
	const want = 5 // Range, unknown path, other team's path, path twice, id.
	if findings := decode[operator.Problem](t, got).Error.Findings; got.Code != http.StatusUnprocessableEntity || len(findings) != want {
		t.Errorf("got status %d and %d findings, want 422 and %d: %+v", got.Code, len(findings), want, findings)
	}
	if log.seq != appended {
		t.Error("an invalid change was appended")
	}
}

// A change that the log doesn't confirm must be reported neither as accepted nor as refused,
// since it may still take effect; its outcome can be looked up later.
func TestUnknownOutcomeCanBeAskedFor(t *testing.T) {
	h, log := newTestAPI(t)
	op := record.ChangeOp{Path: "/teams/dala/budgets/main/lean", Value: "0.3"}
	log.unconfirmed = true
	unconfirmed := request(h, http.MethodPut, "/settings", dalaToken, newChange("c-down", op))
	p := decode[operator.Problem](t, unconfirmed).Error
	if unconfirmed.Code != http.StatusServiceUnavailable || p.Code != "outcome_unknown" || p.ID != "c-down" {
		t.Fatalf("unconfirmed change: got status %d and error %+v", unconfirmed.Code, p)
	}
	if got := request(h, http.MethodGet, p.StatusPath, dalaToken, nil); got.Code != http.StatusNotFound {
		t.Errorf("lookup of a change that is not on the log: got status %d, want 404", got.Code)
	}
	log.unconfirmed, log.lateEffect = false, true
	late := request(h, http.MethodPut, "/settings", dalaToken, newChange("c-late", op))
	if late.Code != http.StatusServiceUnavailable {
		t.Fatalf("change that took effect unconfirmed: got status %d, want 503", late.Code)
	}
	got := request(h, http.MethodGet, "/changes/c-late", dalaToken, nil)
	if result := decode[fold.ChangeResult](t, got); !result.Accepted {
		t.Errorf("lookup returned %+v, want accepted", result)
	}
}
