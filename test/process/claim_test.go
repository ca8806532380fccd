package process_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/record"
)

// callFixture is a deployment with a team that calls a service without the
// repeatable setting: no call may run more than once. Its methods send calls as
// callers do and compare what callers were told with what the service ran.
type callFixture struct {
	deployment
	t         *testing.T
	instances []*instance
	key       string
	session   string
}

// startCallFixture starts a deployment with one instance per name, all in one
// availability zone.
func startCallFixture(t *testing.T, names ...string) *callFixture {
	t.Helper()
	r := &callFixture{deployment: startDeployment(t), t: t}
	for _, name := range names {
		r.instances = append(r.instances, startInstance(t, name, "hall-a", r.platform, ""))
	}
	r.key = seedTeam(t, r.instances[0].operatorsURL, "dala", 1_000_000)
	r.openTeamSession(r.instances...)
	return r
}

// openTeamSession waits until the instances accept the team's key, and opens the
// session that later attempts use.
func (r *callFixture) openTeamSession(fleet ...*instance) {
	r.t.Helper()
	for _, in := range fleet {
		eventually(r.t, "credential in force", func() bool {
			return call(http.MethodPost, in.callersURL+"/v1/sessions", r.key, nil).status == http.StatusCreated
		})
	}
	r.session = openSession(r.t, fleet[0], r.key).Token
}

type openedSession struct {
	ID    string `json:"id"`
	Token string `json:"token"`
}

// openSession opens a session for the team that the API key belongs to.
func openSession(t *testing.T, in *instance, key string) openedSession {
	t.Helper()
	var s openedSession
	if err := json.Unmarshal([]byte(mustCall(t, http.MethodPost, in.callersURL+"/v1/sessions", key, nil).body), &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// sendAttempt sends one attempt of a call, and logs it if it is not answered. Each
// call has a path of its own, by which the service counts its runs.
func (r *callFixture) sendAttempt(in *instance, name string, body any, first bool) response {
	began := time.Now()
	got := call(http.MethodPost, in.callersURL+"/v1/services/rig/"+name, r.key, body,
		"Idempotency-Key", name, "X-Session", r.session, "X-First-Attempt", fmt.Sprint(first))
	if got.status != http.StatusOK {
		r.t.Logf("%s: attempt of %s at %s from %s on: status %d after %s, error %v, body %s",
			time.Now().Format(time.TimeOnly), name, in.callersURL, began.Format("15:04:05.000"), got.status, time.Since(began), got.err, got.body)
	}
	return got
}

// runCount returns how many times the service ran a call.
func (r *callFixture) runCount(name string) int {
	r.t.Helper()
	var paths map[string]int
	if err := json.Unmarshal([]byte(mustCall(r.t, http.MethodGet, r.service+"/paths", "", nil).body), &paths); err != nil {
		r.t.Fatal(err)
	}
	return paths["/call/"+name]
}

// reportedOutcome returns what an attempt's response tells the caller about the
// call: "answered", the outcome in the error body, or "unknown" without a
// response.
func reportedOutcome(a response) string {
	if a.err != nil {
		return "unknown"
	}
	if a.status == http.StatusOK {
		return "answered"
	}
	var body struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(a.body), &body)
	return body.Error.Outcome
}

// retryUntilAnswered retries a call at one instance after the other, starting at
// index from, until it is answered or all tries are used. It returns the last
// outcome.
func (r *callFixture) retryUntilAnswered(name string, from, tries int) string {
	last := ""
	for try := range tries {
		last = reportedOutcome(r.sendAttempt(r.instances[(from+try)%len(r.instances)], name, nil, try == 0))
		if last == "answered" {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last
}

// sendCallsDuringFault sends many overlapping calls, injects a fault while they
// run, and compares the service's run counts with the outcomes that callers were
// told.
func (r *callFixture) sendCallsDuringFault(prefix string, fault func()) {
	r.t.Helper()
	const calls, tries = 24, 12
	mustCall(r.t, http.MethodPut, r.service+"/faults", "", map[string]any{"slow_ms": 100})
	outcomes := make([]string, calls)
	var running sync.WaitGroup
	for n := range calls {
		running.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			outcomes[n] = r.retryUntilAnswered(fmt.Sprint(prefix, n), n, tries)
		})
	}
	time.Sleep(200 * time.Millisecond)
	fault()
	running.Wait()
	r.checkRunCounts(prefix, outcomes)
}

// checkRunCounts requires that no call ran more than once, that answered calls ran
// exactly once and that calls reported as not_run never ran.
func (r *callFixture) checkRunCounts(prefix string, outcomes []string) {
	r.t.Helper()
	count := map[string]int{}
	for n, outcome := range outcomes {
		count[outcome]++
		ran := r.runCount(fmt.Sprint(prefix, n))
		if ran > 1 || outcome == "answered" && ran != 1 || outcome == "not_run" && ran != 0 {
			r.t.Errorf("call %d: outcome %q, ran %d times", n, outcome, ran)
		}
	}
	r.t.Logf("%s: number of calls by outcome: %v", prefix, count)
	if count["answered"] == 0 {
		r.t.Error("no call was answered")
	}
}

// requireCallsAnswered sends enough calls to reach every claim shard, requires
// that the given instances answer each one before the timeout, and that each ran
// once.
func (r *callFixture) requireCallsAnswered(prefix string, fleet ...*instance) {
	r.t.Helper()
	for n := range 16 {
		name := fmt.Sprint(prefix, n)
		eventually(r.t, "call "+name+" answered", func() bool {
			return reportedOutcome(r.sendAttempt(fleet[n%len(fleet)], name, nil, true)) == "answered"
		})
		if ran := r.runCount(name); ran != 1 {
			r.t.Errorf("call %s ran %d times", name, ran)
		}
	}
}

func TestRetryElsewhereJoinsTheCall(t *testing.T) {
	r := startCallFixture(t, "a1", "a2", "a3")
	r.requireCallsAnswered("warm-", r.instances...)
	for n := range 6 {
		name := fmt.Sprint("call-", n)
		want := r.sendAttempt(r.instances[n%3], name, "body", true)
		if want.status != http.StatusOK {
			t.Fatalf("first attempt: status %d, body %s", want.status, want.body)
		}
		for _, in := range r.instances {
			if got := r.sendAttempt(in, name, "body", false); got.status != http.StatusOK || got.body != want.body {
				t.Fatalf("retry: status %d, body %s, want body %s", got.status, got.body, want.body)
			}
			if got := r.sendAttempt(in, name, "other body", false); got.status != http.StatusUnprocessableEntity {
				t.Fatalf("same idempotency key with another body: status %d, body %s, want status 422", got.status, got.body)
			}
		}
		if ran := r.runCount(name); ran != 1 {
			t.Fatalf("call ran %d times, want 1", ran)
		}
	}
}

func TestSessionEndsEverywhere(t *testing.T) {
	r := startCallFixture(t, "a1", "a2")
	s := openSession(t, r.instances[0], r.key)
	r.session = s.Token
	r.requireCallsAnswered("before-", r.instances...)
	other := seedTeam(t, r.instances[0].operatorsURL, "other", 1)
	eventually(t, "other team's credential in force", func() bool {
		return call(http.MethodDelete, r.instances[1].callersURL+"/v1/sessions/"+s.ID, other, nil).status == http.StatusNoContent
	})
	stolen := call(http.MethodPost, r.instances[1].callersURL+"/v1/services/rig/x", other, nil, "Idempotency-Key", "x", "X-Session", s.Token)
	if stolen.status != http.StatusForbidden {
		t.Fatalf("request with another team's session: status %d, want 403", stolen.status)
	}
	if got := r.sendAttempt(r.instances[1], "after-other", nil, true); got.status != http.StatusOK {
		t.Fatalf("session unusable after another team tried to end it: status %d, body %s", got.status, got.body)
	}
	listed := func(in *instance, key string) bool {
		return strings.Contains(mustCall(t, http.MethodGet, in.callersURL+"/v1/sessions", key, nil).body, s.ID)
	}
	for _, in := range r.instances {
		eventually(t, "session listed", func() bool { return listed(in, r.key) })
		if listed(in, other) {
			t.Fatal("another team sees the session")
		}
	}
	mustCall(t, http.MethodDelete, r.instances[1].callersURL+"/v1/sessions/"+s.ID, r.key, nil)
	for n, in := range r.instances {
		eventually(t, "session no longer listed", func() bool { return !listed(in, r.key) })
		eventually(t, "session ended", func() bool {
			return r.sendAttempt(in, fmt.Sprint("ended-", n), nil, true).status == http.StatusForbidden
		})
	}
}

func TestCallsRunOnceWhenAnInstanceIsKilled(t *testing.T) {
	r := startCallFixture(t, "a1", "a2", "a3")
	r.requireCallsAnswered("warm-", r.instances...)
	r.sendCallsDuringFault("kill-", r.instances[0].kill)
	r.requireCallsAnswered("after-", r.instances[1:]...)
}

// A draining instance hands its claims over to the others, so that callers lose
// no call.
func TestCallsGoOnWhenAnInstanceLeaves(t *testing.T) {
	r := startCallFixture(t, "a1", "a2", "a3")
	r.requireCallsAnswered("warm-", r.instances...)
	before := r.sendAttempt(r.instances[1], "before", nil, true)
	r.sendCallsDuringFault("leave-", func() { r.instances[0].signal(syscall.SIGTERM) })
	if code := r.instances[0].exitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	r.requireCallsAnswered("after-", r.instances[1:]...)
	if again := r.sendAttempt(r.instances[2], "before", nil, false); before.status != http.StatusOK || again.err != nil || r.runCount("before") != 1 {
		t.Errorf("first attempt: status %d; retry after the handover: status %d, error %v; ran %d times, want 1", before.status, again.status, again.err, r.runCount("before"))
	}
}

func TestCallsRunOnceWhenAnInstanceFreezes(t *testing.T) {
	r := startCallFixture(t, "a1", "a2", "a3")
	r.requireCallsAnswered("warm-", r.instances...)
	frozen := r.instances[0]
	r.sendCallsDuringFault("freeze-", func() {
		frozen.signal(syscall.SIGSTOP)
		responsive := *r
		responsive.instances = r.instances[1:]
		responsive.requireCallsAnswered("meanwhile-", responsive.instances...)
		frozen.signal(syscall.SIGCONT)
	})
	r.requireCallsAnswered("after-", r.instances...)
}

func TestCallsWhileThePlatformIsAway(t *testing.T) {
	r := startCallFixture(t, "a1", "a2", "a3")
	refusingKey := seedTeam(t, r.instances[0].operatorsURL, "careful", 1_000)
	mustCall(t, http.MethodPut, r.instances[0].operatorsURL+"/settings", operatorToken, record.Change{ID: "careful", By: "test", Ops: []record.ChangeOp{
		{Path: claim.WhenLogUnavailablePath("careful"), Value: claim.ModeRefuseValue},
	}})
	r.requireCallsAnswered("warm-", r.instances...)
	serving := r.session
	refusing := *r
	refusing.key = refusingKey
	refusing.openTeamSession(r.instances...)
	refusing.requireCallsAnswered("careful-warm-", r.instances...)
	r.session = serving
	mustCall(t, http.MethodPut, r.platform+"/faults", "", map[string]any{"outage": true})
	for n := range 8 {
		in := r.instances[n%3]
		if got := r.sendAttempt(in, fmt.Sprint("served-", n), nil, true); got.status != http.StatusOK {
			t.Errorf("team that serves during the outage: status %d, body %s", got.status, got.body)
		}
		name := fmt.Sprint("refused-", n)
		for _, first := range []bool{true, false} {
			got := refusing.sendAttempt(in, name, nil, first)
			if reportedOutcome(got) != "not_run" || got.header.Get("Retry-After") == "" || r.runCount(name) != 0 {
				t.Errorf("team that refuses during the outage: status %d, body %s, ran %d times", got.status, got.body, r.runCount(name))
			}
		}
	}
	mustCall(t, http.MethodPut, r.platform+"/faults", "", map[string]any{"outage": false})
	refusing.requireCallsAnswered("refused-", r.instances...)
	r.requireCallsAnswered("served-", r.instances...)
}

// With holder and witness of a claim shard killed together, no process knows
// which calls they had accepted. Calls of the shard are refused until an operator
// closes it, confirming that both are gone.
func TestShardsOfADeadPairWaitForTheOperator(t *testing.T) {
	r := startCallFixture(t, "a1", "a2")
	r.requireCallsAnswered("warm-", r.instances...)
	eventually(t, "all shards have a witness", func() bool {
		rows := claimShards(t, r.instances[0])
		return len(rows) >= 16 && !slices.ContainsFunc(rows, func(s shardRow) bool { return s.Witness == "" || s.Closed })
	})
	for _, in := range r.instances {
		in.kill()
	}
	next := startInstance(t, "a3", "hall-a", r.platform, "")
	r.openTeamSession(next)
	for n := range 2 {
		name := fmt.Sprint("refused-", n)
		first := reportedOutcome(r.sendAttempt(next, name, nil, true))
		retry := reportedOutcome(r.sendAttempt(next, name, nil, false))
		if first != "not_run" || retry != "unknown" || r.runCount(name) != 0 {
			t.Errorf("before the shard is closed: outcome %q, then %q on retry, ran %d times", first, retry, r.runCount(name))
		}
	}
	for _, s := range claimShards(t, next) {
		mustCall(t, http.MethodPost, next.operatorsURL+"/shards/"+s.Right+"/close", operatorToken, nil)
	}
	r.requireCallsAnswered("refused-", next)
}

// shardRow is one claim shard in the response to GET /state.
type shardRow struct {
	Right, Witness string
	Closed         bool
}

// claimShards returns the claim shards that an instance knows.
func claimShards(t *testing.T, in *instance) []shardRow {
	t.Helper()
	var state struct {
		Claims []shardRow `json:"claims"`
	}
	dump := mustCall(t, http.MethodGet, in.operatorsURL+"/state", operatorToken, nil).body
	if err := json.Unmarshal([]byte(dump), &state); err != nil {
		t.Fatal(err)
	}
	return state.Claims
}
