package process_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// shortLoad asks for short answers from some callers at once until stop, and
// collects what was not answered whole.
type backgroundLoad struct {
	stop        chan struct{}
	workers     sync.WaitGroup
	mu          sync.Mutex
	failures    []string
	totalTokens atomic.Int64
	completed   atomic.Int64
}

func (f *fleet) startLoad(callers, tokens int) *backgroundLoad {
	l := &backgroundLoad{stop: make(chan struct{})}
	for n := range callers {
		l.workers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				got := f.streamChat(f.instances[(n+i)%len(f.instances)], tokens, nil)
				if got.text != expectedText(tokens) || !got.complete {
					l.mu.Lock()
					l.failures = append(l.failures, fmt.Sprintf("caller %d: %d tokens, whole %v, error %q", n, len(got.tokenTimes), got.complete, got.err))
					l.mu.Unlock()
					continue
				}
				l.totalTokens.Add(got.totalTokens)
				l.completed.Add(1)
			}
		})
	}
	return l
}

func (l *backgroundLoad) stopAndCheck(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.workers.Wait()
	if len(l.failures) > 0 || l.completed.Load() == 0 {
		t.Fatalf("%d whole answers; not whole: %s", l.completed.Load(), strings.Join(l.failures, "; "))
	}
}

// leavesWithin is the brief's "a few seconds".
const leaveTimeout = 3 * time.Second

// TestEndpointLeavingUnderLoad lets an engine leave by its own word and by the
// instance list. After three seconds no order reaches it, a long run there goes
// on to its end, and no caller notices.
func TestEndpointLeavingUnderLoad(t *testing.T) {
	for _, by := range []string{"own word", "list"} {
		t.Run(by, func(t *testing.T) {
			f := startFleet(t, 3, 2)
			const longTokens = 1500
			longAnswer := make(chan streamResult, 1)
			go func() { longAnswer <- f.streamChat(f.instances[0], longTokens, nil, "Idempotency-Key", "report") }()
			leavingEngine := f.awaitRunningEngine()
			l := f.startLoad(6, 20)
			eventually(t, "the load runs", func() bool { return l.completed.Load() > 20 })
			if by == "list" {
				for n, e := range f.engines {
					if e == leavingEngine {
						f.listEndpoints(fmt.Sprintf("engine-%d", n+1))
					}
				}
			} else {
				leavingEngine.setFaults(t, map[string]any{"leaving": true})
			}
			time.Sleep(leaveTimeout)
			requestCount := func() int { return len(leavingEngine.runs(t)) + leavingEngine.refusalCount(t) }
			countThen, answersThen := requestCount(), l.completed.Load()
			eventually(t, "the load goes on", func() bool { return l.completed.Load() > answersThen+50 })
			if now := requestCount(); now != countThen {
				t.Errorf("%d orders reached the engine later than %v after it began to leave", now-countThen, leaveTimeout)
			}
			l.stopAndCheck(t)
			got := <-longAnswer
			if got.text != expectedText(longTokens) || !got.complete {
				t.Errorf("the long run at the leaving engine gave %d tokens, error %q", len(got.tokenTimes), got.err)
			}
			f.awaitBilled(l.totalTokens.Load() + got.totalTokens)
		})
	}
}

func (e *engine) refusalCount(t *testing.T) int {
	t.Helper()
	body := mustCall(t, http.MethodGet, e.url+"/refusals", "", nil).body
	var count int
	if _, err := fmt.Sscanf(body, `{"count":%d`, &count); err != nil {
		t.Fatalf("%v: %s", err, body)
	}
	return count
}

// TestDrainCutsOffNothing stops an instance with a long report, a whole answer
// and a service call in flight.
func TestDrainCutsOffNothing(t *testing.T) {
	f := startFleet(t, 2, 2)
	in := f.instances[0]
	f.setServiceFaults(map[string]any{"slow_ms": 2000})
	const longTokens, shortTokens = 1500, 300
	longAnswer, nonStreaming, setpoint := make(chan streamResult, 1), make(chan response, 1), make(chan response, 1)
	go func() { longAnswer <- f.streamChat(in, longTokens, nil) }()
	go func() {
		nonStreaming <- call(http.MethodPost, in.callersURL+"/v1/chat/completions", f.key, chatBody(shortTokens, false))
	}()
	go func() {
		setpoint <- call(http.MethodPost, in.callersURL+"/v1/services/rig/setpoint", f.key, map[string]any{"g": 1}, "Idempotency-Key", "c")
	}()
	eventually(t, "all run", func() bool {
		runs := 0
		for _, e := range f.engines {
			runs += len(e.runs(t))
		}
		return runs == 2 && len(f.callRuns()) == 1
	})
	in.signal(syscall.SIGTERM)
	if got := <-longAnswer; got.text != expectedText(longTokens) || !got.complete {
		t.Errorf("report: %d tokens, error %q", len(got.tokenTimes), got.err)
	}
	if got := <-nonStreaming; got.status != http.StatusOK || !strings.Contains(got.body, expectedText(shortTokens)) {
		t.Errorf("whole answer: %d %v", got.status, got.err)
	}
	if got := <-setpoint; got.status != http.StatusOK {
		t.Errorf("service call: %d %s", got.status, got.body)
	}
	if code := in.exitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if got := call(http.MethodGet, in.callersURL+"/readyz", "", nil); got.err == nil {
		t.Errorf("a stopped instance answers %d", got.status)
	}
	// Its grants are back and its bills are on the log.
	eventually(t, "billed", func() bool {
		return readBudget(t, f.instances[1].operatorsURL, "dala").Billed >= longTokens+shortTokens
	})
}

// TestEngineKilledDuringAPlatformOutage pairs two faults: the run moves, the
// caller has its whole answer, and the bill comes when the log is back.
func TestEngineKilledDuringAPlatformOutage(t *testing.T) {
	f := startFleet(t, 2, 2)
	const tokens, at = 300, 100
	faults := func(v map[string]any) { mustCall(t, http.MethodPut, f.platform+"/faults", "", v) }
	got := f.streamChat(f.instances[0], tokens, func(n int) {
		if n == at {
			faults(map[string]any{"outage": true})
			f.awaitRunningEngine().signal(syscall.SIGKILL)
		}
	}, "Idempotency-Key", "k")
	if got.text != expectedText(tokens) || !got.complete {
		t.Fatalf("%d tokens, whole %v, error %q", len(got.tokenTimes), got.complete, got.err)
	}
	faults(map[string]any{})
	f.awaitBilled(got.totalTokens)
}
