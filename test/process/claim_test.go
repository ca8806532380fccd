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

// rig is a site with a team whose calls of the plain service may not be
// repeated.
type rig struct {
	site
	t       *testing.T
	fleet   []*instance
	key     string
	session string
}

func startRig(t *testing.T, names ...string) *rig {
	t.Helper()
	r := &rig{site: startSite(t), t: t}
	for _, name := range names {
		r.fleet = append(r.fleet, startInstance(t, name, "hall-a", r.platform, ""))
	}
	r.key = seedTeam(t, r.fleet[0].operators, "dala", 1_000_000)
	r.ready(r.fleet...)
	return r
}

// ready waits for the team's key and opens its session.
func (r *rig) ready(fleet ...*instance) {
	r.t.Helper()
	for _, in := range fleet {
		eventually(r.t, "credential in force", func() bool {
			return call(http.MethodPost, in.callers+"/v1/sessions", r.key, nil).status == http.StatusCreated
		})
	}
	r.session = openSession(r.t, fleet[0], r.key).Token
}

type openedSession struct {
	ID    string `json:"id"`
	Token string `json:"token"`
}

func openSession(t *testing.T, in *instance, key string) openedSession {
	t.Helper()
	var s openedSession
	if err := json.Unmarshal([]byte(mustCall(t, http.MethodPost, in.callers+"/v1/sessions", key, nil).body), &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// attempt is one attempt of a call; each call has a path of its own, so that
// the service counts its runs.
func (r *rig) attempt(in *instance, name string, body any, first bool) answer {
	return call(http.MethodPost, in.callers+"/v1/services/rig/"+name, r.key, body,
		"Idempotency-Key", name, "X-Session", r.session, "X-First-Attempt", fmt.Sprint(first))
}

// runs is how often each call ran at the service.
func (r *rig) runs(name string) int {
	r.t.Helper()
	var paths map[string]int
	if err := json.Unmarshal([]byte(mustCall(r.t, http.MethodGet, r.service+"/paths", "", nil).body), &paths); err != nil {
		r.t.Fatal(err)
	}
	return paths["/call/"+name]
}

// outcome is what an attempt's caller knows of the call.
func outcome(a answer) string {
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

// persist retries a call at one instance after the other, as a caller does,
// until it is answered or its tries are used up.
func (r *rig) persist(name string, from, tries int) string {
	last := ""
	for try := range tries {
		last = outcome(r.attempt(r.fleet[(from+try)%len(r.fleet)], name, nil, try == 0))
		if last == "answered" {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last
}

// storm sends many calls at once, causes a fault in their midst, and checks
// what the service ran against what the callers were told.
func (r *rig) storm(prefix string, fault func()) {
	r.t.Helper()
	const calls, tries = 24, 12
	mustCall(r.t, http.MethodPut, r.service+"/faults", "", map[string]any{"slow_ms": 100})
	told := make([]string, calls)
	var running sync.WaitGroup
	for n := range calls {
		running.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			told[n] = r.persist(fmt.Sprint(prefix, n), n, tries)
		})
	}
	time.Sleep(200 * time.Millisecond)
	fault()
	running.Wait()
	r.audit(prefix, told)
}

func (r *rig) audit(prefix string, told []string) {
	r.t.Helper()
	count := map[string]int{}
	for n, what := range told {
		count[what]++
		ran := r.runs(fmt.Sprint(prefix, n))
		if ran > 1 || what == "answered" && ran != 1 || what == "not_run" && ran != 0 {
			r.t.Errorf("call %d was told %q and ran %d times", n, what, ran)
		}
	}
	r.t.Logf("%s: told %v", prefix, count)
	if count["answered"] == 0 {
		r.t.Error("no call was answered")
	}
}

// recovers checks that calls of every claim shard are answered by the given
// instances in the end.
func (r *rig) recovers(prefix string, fleet ...*instance) {
	r.t.Helper()
	for n := range 16 {
		name := fmt.Sprint(prefix, n)
		eventually(r.t, "call "+name+" answered", func() bool {
			return outcome(r.attempt(fleet[n%len(fleet)], name, nil, true)) == "answered"
		})
		if ran := r.runs(name); ran != 1 {
			r.t.Errorf("call %s ran %d times", name, ran)
		}
	}
}

func TestRetryElsewhereJoinsTheCall(t *testing.T) {
	r := startRig(t, "a1", "a2", "a3")
	r.recovers("warm-", r.fleet...)
	for n := range 6 {
		name := fmt.Sprint("call-", n)
		want := r.attempt(r.fleet[n%3], name, "body", true)
		if want.status != http.StatusOK {
			t.Fatalf("first attempt: %d %s", want.status, want.body)
		}
		for _, in := range r.fleet {
			if got := r.attempt(in, name, "body", false); got.status != http.StatusOK || got.body != want.body {
				t.Fatalf("retry: %d %s, want %s", got.status, got.body, want.body)
			}
			if got := r.attempt(in, name, "other body", false); got.status != http.StatusUnprocessableEntity {
				t.Fatalf("another body: %d %s", got.status, got.body)
			}
		}
		if ran := r.runs(name); ran != 1 {
			t.Fatalf("ran %d times", ran)
		}
	}
}

func TestSessionEndsEverywhere(t *testing.T) {
	r := startRig(t, "a1", "a2")
	s := openSession(t, r.fleet[0], r.key)
	r.session = s.Token
	r.recovers("before-", r.fleet...)
	other := seedTeam(t, r.fleet[0].operators, "other", 1)
	eventually(t, "other team's credential in force", func() bool {
		return call(http.MethodDelete, r.fleet[1].callers+"/v1/sessions/"+s.ID, other, nil).status == http.StatusNoContent
	})
	stolen := call(http.MethodPost, r.fleet[1].callers+"/v1/services/rig/x", other, nil, "Idempotency-Key", "x", "X-Session", s.Token)
	if stolen.status != http.StatusForbidden {
		t.Fatalf("another team used the session: %d", stolen.status)
	}
	if got := r.attempt(r.fleet[1], "after-other", nil, true); got.status != http.StatusOK {
		t.Fatalf("another team ended the session: %d %s", got.status, got.body)
	}
	listed := func(in *instance, key string) bool {
		return strings.Contains(mustCall(t, http.MethodGet, in.callers+"/v1/sessions", key, nil).body, s.ID)
	}
	for _, in := range r.fleet {
		eventually(t, "session listed", func() bool { return listed(in, r.key) })
		if listed(in, other) {
			t.Fatal("another team sees the session")
		}
	}
	mustCall(t, http.MethodDelete, r.fleet[1].callers+"/v1/sessions/"+s.ID, r.key, nil)
	for n, in := range r.fleet {
		eventually(t, "session off the list", func() bool { return !listed(in, r.key) })
		eventually(t, "session ended", func() bool {
			return r.attempt(in, fmt.Sprint("ended-", n), nil, true).status == http.StatusForbidden
		})
	}
}

func TestCallsRunOnceWhenAnInstanceIsKilled(t *testing.T) {
	r := startRig(t, "a1", "a2", "a3")
	r.recovers("warm-", r.fleet...)
	r.storm("kill-", r.fleet[0].kill)
	r.recovers("after-", r.fleet[1:]...)
}

// A drained instance hands its claims over: no call is lost to its callers.
func TestCallsGoOnWhenAnInstanceLeaves(t *testing.T) {
	r := startRig(t, "a1", "a2", "a3")
	r.recovers("warm-", r.fleet...)
	before := r.attempt(r.fleet[1], "before", nil, true)
	r.storm("leave-", func() { r.fleet[0].signal(syscall.SIGTERM) })
	if code := r.fleet[0].exitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	r.recovers("after-", r.fleet[1:]...)
	if again := r.attempt(r.fleet[2], "before", nil, false); before.status != http.StatusOK || again.err != nil || r.runs("before") != 1 {
		t.Errorf("retry after the handover: %d, then %d %v, ran %d times", before.status, again.status, again.err, r.runs("before"))
	}
}

func TestCallsRunOnceWhenAnInstanceFreezes(t *testing.T) {
	r := startRig(t, "a1", "a2", "a3")
	r.recovers("warm-", r.fleet...)
	frozen := r.fleet[0]
	r.storm("freeze-", func() {
		frozen.signal(syscall.SIGSTOP)
		awake := *r
		awake.fleet = r.fleet[1:]
		awake.recovers("meanwhile-", awake.fleet...)
		frozen.signal(syscall.SIGCONT)
	})
	r.recovers("after-", r.fleet...)
}

func TestCallsWhileThePlatformIsAway(t *testing.T) {
	r := startRig(t, "a1", "a2", "a3")
	careful := seedTeam(t, r.fleet[0].operators, "careful", 1_000)
	mustCall(t, http.MethodPut, r.fleet[0].operators+"/settings", operatorToken, record.Change{ID: "careful", By: "test", Ops: []record.ChangeOp{
		{Path: claim.WhenLogUnavailablePath("careful"), Value: claim.ModeRefuseValue},
	}})
	r.recovers("warm-", r.fleet...)
	serving := r.session
	refusing := *r
	refusing.key = careful
	refusing.ready(r.fleet...)
	refusing.recovers("careful-warm-", r.fleet...)
	r.session = serving
	mustCall(t, http.MethodPut, r.platform+"/faults", "", map[string]any{"outage": true})
	for n := range 8 {
		in := r.fleet[n%3]
		if got := r.attempt(in, fmt.Sprint("served-", n), nil, true); got.status != http.StatusOK {
			t.Errorf("serve: %d %s", got.status, got.body)
		}
		name := fmt.Sprint("refused-", n)
		for _, first := range []bool{true, false} {
			got := refusing.attempt(in, name, nil, first)
			if outcome(got) != "not_run" || got.header.Get("Retry-After") == "" || r.runs(name) != 0 {
				t.Errorf("refuse: %d %s, ran %d times", got.status, got.body, r.runs(name))
			}
		}
	}
	mustCall(t, http.MethodPut, r.platform+"/faults", "", map[string]any{"outage": false})
	refusing.recovers("refused-", r.fleet...)
	r.recovers("served-", r.fleet...)
}

// Holder and witness die at once: nobody left can say what they counted, so
// calls are refused until an operator says that both are gone.
func TestShardsOfADeadPairWaitForTheOperator(t *testing.T) {
	r := startRig(t, "a1", "a2")
	r.recovers("warm-", r.fleet...)
	eventually(t, "all shards have a witness", func() bool {
		rows := shards(t, r.fleet[0])
		return len(rows) >= 16 && !slices.ContainsFunc(rows, func(s shardRow) bool { return s.Witness == "" || s.Closed })
	})
	for _, in := range r.fleet {
		in.kill()
	}
	next := startInstance(t, "a3", "hall-a", r.platform, "")
	r.ready(next)
	for n := range 2 {
		name := fmt.Sprint("refused-", n)
		first := outcome(r.attempt(next, name, nil, true))
		retry := outcome(r.attempt(next, name, nil, false))
		if first != "not_run" || retry != "unknown" || r.runs(name) != 0 {
			t.Errorf("before the close: told %q, then %q, ran %d times", first, retry, r.runs(name))
		}
	}
	for _, s := range shards(t, next) {
		mustCall(t, http.MethodPost, next.operators+"/shards/"+s.Right+"/close", operatorToken, nil)
	}
	r.recovers("refused-", next)
}

// shardRow is one claim shard of a state dump.
type shardRow struct {
	Right, Witness string
	Closed         bool
}

func shards(t *testing.T, in *instance) []shardRow {
	t.Helper()
	var state struct {
		Claims []shardRow `json:"claims"`
	}
	dump := mustCall(t, http.MethodGet, in.operators+"/state", operatorToken, nil).body
	if err := json.Unmarshal([]byte(dump), &state); err != nil {
		t.Fatal(err)
	}
	return state.Claims
}
