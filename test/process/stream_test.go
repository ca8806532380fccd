package process_test

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestEngineFaultInMidStream injects each fault into the engine that generates a
// stream, or into its connection. The caller gets one complete answer, with a pause
// at most, and is billed for it once.
func TestEngineFaultInMidStream(t *testing.T) {
	const tokens, faultAfterTokens = 300, 100
	for name, c := range map[string]struct {
		fault func(e *engine)
		moved bool
	}{
		"SIGKILL":               {func(e *engine) { e.signal(syscall.SIGKILL) }, true},
		"SIGSTOP":               {func(e *engine) { e.signal(syscall.SIGSTOP) }, true},
		"silent to the router":  {func(e *engine) { e.relay.setDropped(false, true) }, false},
		"silent to the engine":  {func(e *engine) { e.relay.setDropped(true, false) }, false},
		"silent in both ways":   {func(e *engine) { e.relay.setDropped(true, true) }, false},
		"heartbeats, no tokens": {func(e *engine) { e.setFaults(t, map[string]any{"hang": true}) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2, 1)
			var faulty *engine
			got := f.streamChat(f.instances[0], tokens, func(n int) {
				if n == faultAfterTokens {
					faulty = f.awaitRunningEngine()
					c.fault(faulty)
				}
			}, "Idempotency-Key", "k")
			if got.text != expectedText(tokens) || !got.complete {
				t.Fatalf("complete %v, %d tokens, error %q", got.complete, len(got.tokenTimes), got.err)
			}
			f.awaitBilled(got.totalTokens)
			f.checkOtherEngines(faulty, c.moved, faultAfterTokens, tokens)
		})
	}
}

// checkOtherEngines requires that the engines other than the faulty one ran nothing
// or, if the run was rerouted, only the rest of the answer after the first
// faultAfterTokens tokens.
func (f *fleet) checkOtherEngines(faulty *engine, rerouted bool, faultAfterTokens, tokens int64) {
	f.t.Helper()
	for _, e := range f.engines {
		if e == faulty {
			continue
		}
		rows := e.runs(f.t)
		if rerouted != (len(rows) == 1) {
			f.t.Fatalf("rerouted %v, but the other engine ran %+v", rerouted, rows)
		}
		if rerouted && (rows[0].Prior < faultAfterTokens || rows[0].Completion+rows[0].Prior != tokens) {
			f.t.Fatalf("the other engine ran %+v, want only the rest of the answer", rows[0])
		}
	}
}

// TestInstanceKilledInMidStream kills the instance that serves a stream and
// resumes at another one from the last received event. The answer has no gap and no
// duplicate, no token is generated twice, and it is billed once.
func TestInstanceKilledInMidStream(t *testing.T) {
	const tokens, killAfterTokens = 600, 100
	f := startFleet(t, 2, 3)
	first := f.streamChat(f.instances[0], tokens, func(n int) {
		if n == killAfterTokens {
			f.instances[0].signal(syscall.SIGKILL)
		}
	}, "Idempotency-Key", "k")
	if first.complete || first.lastEventID == "" {
		t.Fatalf("the killed instance delivered %d tokens, complete %v", len(first.tokenTimes), first.complete)
	}
	rest := f.streamChat(f.instances[1], tokens, nil, "Idempotency-Key", "k", "Last-Event-ID", first.lastEventID)
	if first.text+rest.text != expectedText(tokens) || !rest.complete || rest.runID != first.runID {
		t.Fatalf("%d tokens, then %d, complete %v, run %s then %s, error %q", len(first.tokenTimes), len(rest.tokenTimes), rest.complete, first.runID, rest.runID, rest.err)
	}
	var ran int64
	for _, e := range f.engines {
		for _, row := range e.runs(t) {
			ran += row.Completion
		}
	}
	if ran != tokens {
		t.Fatalf("%d tokens generated over all engines, want each token generated once", ran)
	}
	billed := f.awaitBillOfDeadInstance(rest.totalTokens)
	// While the claim's shard has no holder, a repeatable request runs again. Once
	// it has one, the idempotency key refers to the first run. The bill doesn't
	// change.
	eventually(t, "a repeated request returns the first run", func() bool {
		again := f.streamChat(f.instances[2], tokens, nil, "Idempotency-Key", "k")
		if again.text != expectedText(tokens) {
			t.Fatalf("repeated request: %d tokens, error %q", len(again.tokenTimes), again.err)
		}
		return again.runID == first.runID
	})
	if now := f.awaitBillOfDeadInstance(rest.totalTokens); now != billed {
		t.Fatalf("billed %d tokens, then %d after the repeated request", billed, now)
	}
}

// promptReservationMargin bounds by how many tokens the amount reserved for
// chatBody's prompt exceeds what the engine counts.
const promptReservationMargin = 20

// awaitBillOfDeadInstance waits for the bill of a run whose instance was killed and
// returns the billed tokens. The bill is what the engine reports as used or, if the
// run was still in progress at the time of billing, what was reserved for it.
func (f *fleet) awaitBillOfDeadInstance(used int64) (billed int64) {
	f.t.Helper()
	in := f.instances[len(f.instances)-1]
	eventually(f.t, "a bill for the dead instance's run", func() bool { return readBudget(f.t, in.operatorsURL, "dala").Billed > 0 })
	row := readBudget(f.t, in.operatorsURL, "dala")
	if row.Billed < used || row.Billed > used+promptReservationMargin || row.Committed > row.Prepaid {
		f.t.Fatalf("billed %d for %d used; committed %d of %d", row.Billed, used, row.Committed, row.Prepaid)
	}
	return row.Billed
}

// TestAnswersDelayedAndCrossed lets an engine swap the answers of two requests, and
// then delay an answer until after the instance has requested it again. Each caller
// gets its own answer, and each request is run and billed once.
func TestAnswersDelayedAndCrossed(t *testing.T) {
	f := startFleet(t, 1, 1)
	f.engines[0].setFaults(t, map[string]any{"crossed": 1})
	lengths := []int{40, 80}
	got := make([]streamResult, len(lengths))
	var wg sync.WaitGroup
	for i, n := range lengths {
		wg.Go(func() { got[i] = f.streamChat(f.instances[0], n, nil) })
	}
	wg.Wait()
	var billed int64
	for i, n := range lengths {
		if got[i].text != expectedText(n) || !got[i].complete {
			t.Fatalf("%d tokens requested, %d received, complete %v, error %q", n, len(got[i].tokenTimes), got[i].complete, got[i].err)
		}
		billed += got[i].totalTokens
	}
	f.engines[0].setFaults(t, map[string]any{"answer_delay_ms": 2500})
	time.AfterFunc(time.Second, func() { _ = call(http.MethodPut, f.engines[0].url+"/faults", "", map[string]any{}) })
	delayed := f.streamChat(f.instances[0], lengths[0], nil)
	if delayed.text != expectedText(lengths[0]) || !delayed.complete {
		t.Fatalf("delayed answer: %d tokens, complete %v, error %q", len(delayed.tokenTimes), delayed.complete, delayed.err)
	}
	f.awaitBilled(billed + delayed.totalTokens)
	if rows := f.engines[0].runs(t); len(rows) != 3 {
		t.Fatalf("%d runs for 3 requests", len(rows))
	}
}

// TestCallsThatMayNotBeRepeated retries non-repeatable calls at another instance
// after the response was lost, after it was masked, and after the instance that
// sent the call was killed. The retry never runs the call again.
func TestCallsThatMayNotBeRepeated(t *testing.T) {
	f := startFleet(t, 1, 3)
	setpoint := func(in *instance, key string) response {
		return call(http.MethodPost, in.callersURL+"/v1/services/rig/setpoint", f.key, map[string]any{"g": 0.5}, "Idempotency-Key", key)
	}
	faults := f.setServiceFaults
	for key, fault := range map[string]map[string]any{"lost": {"lose": 1}, "masked": {"masked": true}} {
		faults(fault)
		first := setpoint(f.instances[1], key)
		retry := setpoint(f.instances[2], key)
		if !strings.Contains(first.body, `"outcome":"unknown"`) || !strings.Contains(retry.body, `"outcome":"unknown"`) {
			t.Errorf("fault %q: first response %s, retry %s, want outcome unknown in both", key, first.body, retry.body)
		}
	}
	faults(map[string]any{"slow_ms": 1500})
	sent := make(chan response, 1)
	go func() { sent <- setpoint(f.instances[0], "killed") }()
	eventually(t, "the call runs", func() bool { return len(f.callRuns()) == 3 })
	f.instances[0].signal(syscall.SIGKILL)
	<-sent
	if retry := setpoint(f.instances[1], "killed"); strings.Contains(retry.body, `"outcome":"not_run"`) || retry.status == http.StatusOK {
		t.Errorf("retry after the instance was killed: status %d, body %s", retry.status, retry.body)
	}
	faults(map[string]any{})
	first := setpoint(f.instances[1], "whole")
	if retry := setpoint(f.instances[2], "whole"); first.status != http.StatusOK || retry.body != first.body {
		t.Errorf("without faults: first response %s, retry %s", first.body, retry.body)
	}
	runs := f.callRuns()
	for run, count := range runs {
		if count != 1 {
			t.Errorf("call %s ran %d times, want 1", run, count)
		}
	}
	if len(runs) != 4 {
		t.Errorf("%d runs for 4 calls", len(runs))
	}
}
