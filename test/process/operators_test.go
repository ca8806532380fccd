package process_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"reflect"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/operator"
	"guavapier/internal/record"
)

const (
	contendedPaths     = 4
	changesPerOperator = 100
	// maxApplyDelay bounds the time from a change's acceptance until every
	// instance has applied it. Slower changes are counted and logged, but don't
	// fail the test: faults that it injects itself occasionally last longer.
	maxApplyDelay = 9 * time.Second
)

// changeOutcomes collects the outcomes of settings changes as the operators were
// told them.
type changeOutcomes struct {
	mu             sync.Mutex
	accepted       []fold.ChangeResult
	rejected       int
	unknownAnswers int
	applyDelays    []time.Duration
}

func (l *changeOutcomes) add(f func(*changeOutcomes)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// makeConcurrentChanges makes changes through random instances, each based on the
// version that it read before. Changes with an unknown outcome are retried with the
// same change ID.
func makeConcurrentChanges(t *testing.T, who string, fleet []*instance, outcomes *changeOutcomes, applyWaits *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(7, uint64(len(who))))
	for n := range changesPerOperator {
		path := conservatismPath(random.IntN(contendedPaths))
		var base uint64
		in := fleet[random.IntN(len(fleet)-1)]
		if got := call(http.MethodGet, in.operatorsURL+"/settings?prefix="+path, operatorToken, nil); got.status == http.StatusOK {
			var rows []fold.Value
			if json.Unmarshal([]byte(got.body), &rows) == nil && len(rows) == 1 {
				base = rows[0].Version
			}
		}
		id := fmt.Sprint(who, "-", n)
		op := record.ChangeOp{Path: path, Base: base, Value: fmt.Sprintf("0.%s%03d", strings.Repeat("1", len(who)), n)}
		result, ok := retryUntilDecided(t, random, fleet, id, op, outcomes)
		if !ok {
			outcomes.add(func(l *changeOutcomes) { l.rejected++ })
			continue
		}
		accepted := time.Now()
		outcomes.add(func(l *changeOutcomes) { l.accepted = append(l.accepted, result) })
		applyWaits.Go(func() {
			delay := awaitApplied(t, fleet, result.Offset, accepted)
			outcomes.add(func(l *changeOutcomes) { l.applyDelays = append(l.applyDelays, delay) })
		})
	}
}

// earlyAbortTimeout is short enough that some changes are still in progress when
// the client gives up.
const earlyAbortTimeout = 30 * time.Millisecond

// putAbortingEarly stops waiting for the response after earlyAbortTimeout and then
// reports status 503. The change may still be applied.
func putAbortingEarly(operators, id string, op record.ChangeOp) response {
	got := make(chan response, 1)
	go func() { got <- putChange(operators, id, op) }()
	select {
	case a := <-got:
		return a
	case <-time.After(earlyAbortTimeout):
		return response{status: http.StatusServiceUnavailable}
	}
}

// retryUntilDecided sends a change to random instances until its outcome is known.
// It returns the result and true for an accepted change, and false for one that lost
// to a concurrent change or failed.
func retryUntilDecided(t *testing.T, random *rand.Rand, fleet []*instance, id string, op record.ChangeOp, outcomes *changeOutcomes) (fold.ChangeResult, bool) {
	put := putChange
	if random.IntN(2) == 0 {
		put = putAbortingEarly
	}
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); put = putChange {
		in := fleet[random.IntN(len(fleet)-1)] // The last one is suspended at times.
		got := put(in.operatorsURL, id, op)
		switch got.status {
		case http.StatusOK:
			var result fold.ChangeResult
			if err := json.Unmarshal([]byte(got.body), &result); err != nil {
				t.Error(err)
			}
			return result, true
		case http.StatusConflict:
			var p operator.Problem
			if err := json.Unmarshal([]byte(got.body), &p); err != nil || p.Error.Result == nil || p.Error.Result.Lost[0].By == "" {
				t.Errorf("change %s was rejected without naming the change that won: %s", id, got.body)
			}
			return fold.ChangeResult{}, false
		case http.StatusServiceUnavailable:
			outcomes.add(func(l *changeOutcomes) { l.unknownAnswers++ })
		default:
			t.Errorf("change %s: status %d, error %v, body %s", id, got.status, got.err, got.body)
			return fold.ChangeResult{}, false
		}
	}
	t.Errorf("the outcome of change %s was not known before the timeout", id)
	return fold.ChangeResult{}, false
}

// awaitApplied waits until every instance has applied an offset of the
// configuration stream, and returns the time passed since the given one.
func awaitApplied(t *testing.T, fleet []*instance, offset uint64, since time.Time) time.Duration {
	for _, in := range fleet {
		for {
			var row operator.AppliedRow
			got := call(http.MethodGet, in.operatorsURL+"/applied", operatorToken, nil)
			if got.status == http.StatusOK && json.Unmarshal([]byte(got.body), &row) == nil && row.Next > offset {
				break
			}
			if time.Since(since) > waitTimeout {
				t.Errorf("offset %d is not in force on %s", offset, in.operatorsURL)
				return waitTimeout
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(since)
}

// injectFaults cycles through lost answers, outages and slowness of the log, and
// suspends one instance during each outage, until stop is closed. It then clears all
// faults.
func injectFaults(t *testing.T, platform string, paused *instance, stop <-chan struct{}) {
	faults := []map[string]any{
		{"lose_answers": 3}, {}, {"outage": true}, {"lose_answers": 2, "slow_ms": 50}, {},
	}
	for n := 0; ; n++ {
		mustCall(t, http.MethodPut, platform+"/faults", "", faults[n%len(faults)])
		if n%len(faults) == 2 {
			paused.signal(syscall.SIGSTOP)
		} else {
			paused.signal(syscall.SIGCONT)
		}
		select {
		case <-time.After(400 * time.Millisecond):
		case <-stop:
			paused.signal(syscall.SIGCONT)
			mustCall(t, http.MethodPut, platform+"/faults", "", map[string]any{})
			return
		}
	}
}

func TestOperatorsRaceOverOutagesAndLostAnswers(t *testing.T) {
	_, platform := startStandin(t, "platform", "-lag", listLag)
	var fleet []*instance
	for n, zone := range []string{"hall-a", "hall-a", "hall-b", "hall-b", "server-room", "server-room", "annex", "annex"} {
		fleet = append(fleet, startInstance(t, fmt.Sprint("i", n), zone, platform, ""))
	}
	outcomes := &changeOutcomes{}
	stop := make(chan struct{})
	var faults, operators, applyWaits sync.WaitGroup
	faults.Go(func() { injectFaults(t, platform, fleet[7], stop) })
	operators.Go(func() { makeConcurrentChanges(t, "a", fleet, outcomes, &applyWaits) })
	operators.Go(func() { makeConcurrentChanges(t, "bb", fleet, outcomes, &applyWaits) })
	operators.Wait()
	close(stop)
	faults.Wait()
	applyWaits.Wait()
	if len(outcomes.accepted)+outcomes.rejected != 2*changesPerOperator || len(outcomes.accepted) == 0 || outcomes.unknownAnswers == 0 {
		t.Fatalf("%d accepted, %d rejected, %d unknown answers for %d changes", len(outcomes.accepted), outcomes.rejected, outcomes.unknownAnswers, 2*changesPerOperator)
	}
	want := lastAccepted(t, outcomes.accepted)
	for _, in := range fleet {
		got := readSettings(t, in.operatorsURL)
		for path, result := range want {
			if v := got[path]; v.Change != result.ID || v.Version != result.Offset+1 || v.Value != result.Ops[0].Value {
				t.Errorf("%s: %s is %+v, the last accepted change was %+v", in.operatorsURL, path, v, result)
			}
		}
		if !reflect.DeepEqual(got, readSettings(t, fleet[0].operatorsURL)) {
			t.Errorf("settings at %s differ from those at the first instance", in.operatorsURL)
		}
	}
	slices.Sort(outcomes.applyDelays)
	at := func(q float64) time.Duration {
		return outcomes.applyDelays[int(q*float64(len(outcomes.applyDelays)-1))].Round(time.Millisecond)
	}
	late := 0
	for _, d := range outcomes.applyDelays {
		if d > maxApplyDelay {
			late++
		}
	}
	t.Logf("%d accepted, %d rejected, %d unknown answers; in force on %d instances after median %s, p99 %s, max %s; %d later than %s",
		len(outcomes.accepted), outcomes.rejected, outcomes.unknownAnswers, len(fleet), at(0.5), at(0.99), at(1), late, maxApplyDelay)
}

// lastAccepted returns the last accepted change of each path. It requires that no
// change was accepted twice and that each is based on the version of the one
// before.
func lastAccepted(t *testing.T, accepted []fold.ChangeResult) map[string]fold.ChangeResult {
	t.Helper()
	slices.SortFunc(accepted, func(a, b fold.ChangeResult) int { return int(a.Offset) - int(b.Offset) })
	last := map[string]fold.ChangeResult{}
	seen := map[string]bool{}
	for _, r := range accepted {
		if seen[r.ID] {
			t.Errorf("%s was accepted twice", r.ID)
		}
		seen[r.ID] = true
		path := r.Ops[0].Path
		before, had := last[path]
		if had && r.Ops[0].Base != before.Offset+1 || !had && r.Ops[0].Base != 0 {
			t.Errorf("%s was accepted on version %d after %+v: an accepted change was lost", r.ID, r.Ops[0].Base, before)
		}
		last[path] = r
	}
	return last
}

// "settings wait" waits until a change is in force on all instances, and on timeout
// names the instances that haven't applied it.
func TestSettingsWaitNamesWhoIsBehind(t *testing.T) {
	_, platform := startStandin(t, "platform", "-lag", listLag)
	in := startInstance(t, "a1", "hall-a", platform, "")
	behind := startInstance(t, "b1", "hall-b", platform, "")
	run := func(args ...string) (string, error) {
		cmd := exec.Command(binary, args...)
		cmd.Env = append(os.Environ(), "GUAVAPIER_TOKEN="+operatorToken, "GUAVAPIER_ADDR="+strings.TrimPrefix(in.operatorsURL, "http://"))
		out, err := cmd.CombinedOutput()
		return string(out), err
	}
	eventually(t, "both instances are listed", func() bool {
		var rows []json.RawMessage
		got := call(http.MethodGet, in.operatorsURL+"/instances", operatorToken, nil)
		return json.Unmarshal([]byte(got.body), &rows) == nil && len(rows) == 2
	})
	if out, err := run("settings", "put", "-yes", "-id", "c1", conservatismPath(0), "0.1"); err != nil {
		t.Fatal(err, out)
	}
	if out, err := run("settings", "wait", "c1"); err != nil || !strings.Contains(out, "in force on 2 instances") {
		t.Fatal(err, out)
	}
	behind.signal(syscall.SIGSTOP)
	if out, err := run("settings", "put", "-yes", "-id", "c2", conservatismPath(0), "0.2"); err != nil {
		t.Fatal(err, out)
	}
	out, err := run("settings", "wait", "-timeout", "1s", "c2")
	if err == nil || !strings.Contains(out, "not in force on b1.") || strings.Contains(out, "a1.") {
		t.Fatal(err, out)
	}
}
