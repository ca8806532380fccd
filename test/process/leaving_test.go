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

// backgroundLoad sends short streaming requests from several concurrent callers
// until it is stopped, and collects those that weren't answered completely.
type backgroundLoad struct {
	stop        chan struct{}
	workers     sync.WaitGroup
	mu          sync.Mutex
	failures    []string
	totalTokens atomic.Int64
	completed   atomic.Int64
}

// startLoad starts the given number of callers, each of which streams answers of
// the given number of tokens, one after the other and from all instances in turn.
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
					l.failures = append(l.failures, fmt.Sprintf("caller %d: %d tokens, complete %v, error %q", n, len(got.tokenTimes), got.complete, got.err))
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

// stopAndCheck waits for the requests in flight, and fails the test if an answer was
// incomplete or none was received.
func (l *backgroundLoad) stopAndCheck(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.workers.Wait()
	if len(l.failures) > 0 || l.completed.Load() == 0 {
		t.Fatalf("%d complete answers; failed: %s", l.completed.Load(), strings.Join(l.failures, "; "))
	}
}

// leaveTimeout bounds how long requests may still reach an engine after it began
// to leave.
const leaveTimeout = 3 * time.Second

// TestEndpointLeavingUnderLoad lets an engine leave under load, once announced by
// the engine itself and once by the endpoint list. After leaveTimeout no new
// request reaches it, a long run on it is completed, and every caller gets its
// complete answer.
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
				t.Errorf("%d requests reached the engine more than %v after it began to leave, want 0", now-countThen, leaveTimeout)
			}
			l.stopAndCheck(t)
			got := <-longAnswer
			if got.text != expectedText(longTokens) || !got.complete {
				t.Errorf("the long run on the leaving engine delivered %d tokens, error %q", len(got.tokenTimes), got.err)
			}
			f.awaitBilled(l.totalTokens.Load() + got.totalTokens)
		})
	}
}

// refusalCount returns how many requests the engine refused because it was leaving.
func (e *engine) refusalCount(t *testing.T) int {
	t.Helper()
	body := mustCall(t, http.MethodGet, e.url+"/refusals", "", nil).body
	var count int
	if _, err := fmt.Sscanf(body, `{"count":%d`, &count); err != nil {
		t.Fatalf("parse the engine's refusals: %v: %s", err, body)
	}
	return count
}

// TestDrainCutsOffNothing drains an instance with a long stream, a non-streaming
// answer and a service call in flight. All three are completed, and then the
// instance exits with code 0.
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
	eventually(t, "all three requests are running", func() bool {
		runs := 0
		for _, e := range f.engines {
			runs += len(e.runs(t))
		}
		return runs == 2 && len(f.callRuns()) == 1
	})
	in.signal(syscall.SIGTERM)
	if got := <-longAnswer; got.text != expectedText(longTokens) || !got.complete {
		t.Errorf("long stream: %d tokens, error %q", len(got.tokenTimes), got.err)
	}
	if got := <-nonStreaming; got.status != http.StatusOK || !strings.Contains(got.body, expectedText(shortTokens)) {
		t.Errorf("non-streaming answer: status %d, error %v", got.status, got.err)
	}
	if got := <-setpoint; got.status != http.StatusOK {
		t.Errorf("service call: status %d, body %s", got.status, got.body)
	}
	if code := in.exitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if got := call(http.MethodGet, in.callersURL+"/readyz", "", nil); got.err == nil {
		t.Errorf("readiness probe of an exited instance got status %d, want a connection error", got.status)
	}
	// The drained instance has written its bills to the log.
	eventually(t, "both answers billed", func() bool {
		return readBudget(t, f.instances[1].operatorsURL, "dala").Billed >= longTokens+shortTokens
	})
}

// TestEngineKilledDuringAPlatformOutage combines two faults: the run continues on
// another engine, the caller gets its complete answer, and the answer is billed
// once the log is available again.
func TestEngineKilledDuringAPlatformOutage(t *testing.T) {
	f := startFleet(t, 2, 2)
	const tokens, faultAfterTokens = 300, 100
	faults := func(v map[string]any) { mustCall(t, http.MethodPut, f.platform+"/faults", "", v) }
	got := f.streamChat(f.instances[0], tokens, func(n int) {
		if n == faultAfterTokens {
			faults(map[string]any{"outage": true})
			f.awaitRunningEngine().signal(syscall.SIGKILL)
		}
	}, "Idempotency-Key", "k")
	if got.text != expectedText(tokens) || !got.complete {
		t.Fatalf("%d tokens, complete %v, error %q", len(got.tokenTimes), got.complete, got.err)
	}
	faults(map[string]any{})
	f.awaitBilled(got.totalTokens)
}
