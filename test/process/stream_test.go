package process_test

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestEngineFaultInMidStream brings each fault over the engine that generates.
// The caller gets one whole answer and notices nothing but a pause; the bill is
// the answer's, once.
func TestEngineFaultInMidStream(t *testing.T) {
	const tokens, at = 300, 100
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
				if n == at {
					faulty = f.awaitRunningEngine()
					c.fault(faulty)
				}
			}, "Idempotency-Key", "k")
			if got.text != expectedText(tokens) || !got.complete {
				t.Fatalf("whole %v, %d tokens, error %q", got.complete, len(got.tokenTimes), got.err)
			}
			f.awaitBilled(got.totalTokens)
			f.checkOtherEngines(faulty, c.moved, at, tokens)
		})
	}
}

// checkOthers wants the engines but one to have run nothing or, if the run has
// moved, only the rest of the answer.
func (f *fleet) checkOtherEngines(faulty *engine, rerouted bool, at, tokens int64) {
	f.t.Helper()
	for _, e := range f.engines {
		if e == faulty {
			continue
		}
		rows := e.runs(f.t)
		if rerouted != (len(rows) == 1) {
			f.t.Fatalf("moved %v, but the other engine ran %+v", rerouted, rows)
		}
		if rerouted && (rows[0].Prior < at || rows[0].Completion+rows[0].Prior != tokens) {
			f.t.Fatalf("the other engine ran %+v", rows[0])
		}
	}
}

// TestInstanceKilledInMidStream retries at another instance from the last
// event: no gap, no repeat, nothing generated anew, one bill.
func TestInstanceKilledInMidStream(t *testing.T) {
	const tokens, at = 600, 100
	f := startFleet(t, 2, 3)
	first := f.streamChat(f.instances[0], tokens, func(n int) {
		if n == at {
			f.instances[0].signal(syscall.SIGKILL)
		}
	}, "Idempotency-Key", "k")
	if first.complete || first.lastEventID == "" {
		t.Fatalf("the killed instance gave %d tokens, whole %v", len(first.tokenTimes), first.complete)
	}
	rest := f.streamChat(f.instances[1], tokens, nil, "Idempotency-Key", "k", "Last-Event-ID", first.lastEventID)
	if first.text+rest.text != expectedText(tokens) || !rest.complete || rest.runID != first.runID {
		t.Fatalf("%d tokens, then %d, whole %v, run %s then %s, error %q", len(first.tokenTimes), len(rest.tokenTimes), rest.complete, first.runID, rest.runID, rest.err)
	}
	var ran int64
	for _, e := range f.engines {
		for _, row := range e.runs(t) {
			ran += row.Completion
		}
	}
	if ran != tokens {
		t.Fatalf("%d tokens generated", ran)
	}
	billed := f.awaitBillOfDeadInstance(rest.totalTokens)
	// While the claim's shard has no holder, a request that may be repeated runs
	// again; once it has, the key stands for the first run. The bill is the same.
	eventually(t, "asked again, the key stands for the first run", func() bool {
		again := f.streamChat(f.instances[2], tokens, nil, "Idempotency-Key", "k")
		if again.text != expectedText(tokens) {
			t.Fatalf("asked again: %d tokens, error %q", len(again.tokenTimes), again.err)
		}
		return again.runID == first.runID
	})
	if now := f.awaitBillOfDeadInstance(rest.totalTokens); now != billed {
		t.Fatalf("billed %d, then %d", billed, now)
	}
}

// promptSlack is how much larger the worst case of chatBody's prompt is than
// what the engine counts.
const promptReservationMargin = 20

// auditDead waits for the bill of a run whose instance is gone: what the engine
// says that it used or, if the run still went on when it was billed, what was
// reserved for it.
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

// TestAnswersDelayedAndCrossed swaps the answers of two requests, then delays
// an answer past the moment at which it was asked for again.
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
			t.Fatalf("%d tokens asked, %d came, whole %v, error %q", n, len(got[i].tokenTimes), got[i].complete, got[i].err)
		}
		billed += got[i].totalTokens
	}
	f.engines[0].setFaults(t, map[string]any{"answer_delay_ms": 2500})
	time.AfterFunc(time.Second, func() { _ = call(http.MethodPut, f.engines[0].url+"/faults", "", map[string]any{}) })
	delayed := f.streamChat(f.instances[0], lengths[0], nil)
	if delayed.text != expectedText(lengths[0]) || !delayed.complete {
		t.Fatalf("delayed: %d tokens, whole %v, error %q", len(delayed.tokenTimes), delayed.complete, delayed.err)
	}
	f.awaitBilled(billed + delayed.totalTokens)
	if rows := f.engines[0].runs(t); len(rows) != 3 {
		t.Fatalf("%d runs for 3 requests", len(rows))
	}
}

// TestCallsThatMayNotBeRepeated kills the instance that sent one, loses an
// answer and masks one; the retry elsewhere never runs the call again.
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
			t.Errorf("%s: %s; the retry: %s", key, first.body, retry.body)
		}
	}
	faults(map[string]any{"slow_ms": 1500})
	sent := make(chan response, 1)
	go func() { sent <- setpoint(f.instances[0], "killed") }()
	eventually(t, "the call runs", func() bool { return len(f.callRuns()) == 3 })
	f.instances[0].signal(syscall.SIGKILL)
	<-sent
	if retry := setpoint(f.instances[1], "killed"); strings.Contains(retry.body, `"outcome":"not_run"`) || retry.status == http.StatusOK {
		t.Errorf("killed: the retry got %d %s", retry.status, retry.body)
	}
	faults(map[string]any{})
	first := setpoint(f.instances[1], "whole")
	if retry := setpoint(f.instances[2], "whole"); first.status != http.StatusOK || retry.body != first.body {
		t.Errorf("whole: %s; the retry: %s", first.body, retry.body)
	}
	runs := f.callRuns()
	for run, count := range runs {
		if count != 1 {
			t.Errorf("call %s ran %d times", run, count)
		}
	}
	if len(runs) != 4 {
		t.Errorf("%d runs for 4 calls", len(runs))
	}
}
