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
type shortLoad struct {
	stop    chan struct{}
	callers sync.WaitGroup
	mu      sync.Mutex
	broken  []string
	billed  atomic.Int64
	answers atomic.Int64
}

func (f *fleet) load(callers, tokens int) *shortLoad {
	l := &shortLoad{stop: make(chan struct{})}
	for n := range callers {
		l.callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				got := f.ask(f.instances[(n+i)%len(f.instances)], tokens, nil)
				if got.text != wholeText(tokens) || !got.whole {
					l.mu.Lock()
					l.broken = append(l.broken, fmt.Sprintf("caller %d: %d tokens, whole %v, error %q", n, len(got.at), got.whole, got.err))
					l.mu.Unlock()
					continue
				}
				l.billed.Add(got.total)
				l.answers.Add(1)
			}
		})
	}
	return l
}

func (l *shortLoad) end(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.callers.Wait()
	if len(l.broken) > 0 || l.answers.Load() == 0 {
		t.Fatalf("%d whole answers; not whole: %s", l.answers.Load(), strings.Join(l.broken, "; "))
	}
}

// leavesWithin is the brief's "a few seconds".
const leavesWithin = 3 * time.Second

// TestEndpointLeavingUnderLoad lets an engine leave by its own word and by the
// instance list. After three seconds no order reaches it, a long run there goes
// on to its end, and no caller notices.
func TestEndpointLeavingUnderLoad(t *testing.T) {
	for _, by := range []string{"own word", "list"} {
		t.Run(by, func(t *testing.T) {
			f := startFleet(t, 3, 2)
			const long = 1500
			report := make(chan answered, 1)
			go func() { report <- f.ask(f.instances[0], long, nil, "Idempotency-Key", "report") }()
			leaver := f.running()
			l := f.load(6, 20)
			eventually(t, "the load runs", func() bool { return l.answers.Load() > 20 })
			if by == "list" {
				for n, e := range f.engines {
					if e == leaver {
						f.list(fmt.Sprintf("engine-%d", n+1))
					}
				}
			} else {
				leaver.fault(t, map[string]any{"leaving": true})
			}
			time.Sleep(leavesWithin)
			orders := func() int { return len(leaver.runs(t)) + leaver.refused(t) }
			at, answersThen := orders(), l.answers.Load()
			eventually(t, "the load goes on", func() bool { return l.answers.Load() > answersThen+50 })
			if now := orders(); now != at {
				t.Errorf("%d orders reached the engine later than %v after it began to leave", now-at, leavesWithin)
			}
			l.end(t)
			got := <-report
			if got.text != wholeText(long) || !got.whole {
				t.Errorf("the long run at the leaving engine gave %d tokens, error %q", len(got.at), got.err)
			}
			f.audit(l.billed.Load() + got.total)
		})
	}
}

func (e *engine) refused(t *testing.T) int {
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
	f.serviceFaults(map[string]any{"slow_ms": 2000})
	const long, short = 1500, 300
	report, whole, setpoint := make(chan answered, 1), make(chan answer, 1), make(chan answer, 1)
	go func() { report <- f.ask(in, long, nil) }()
	go func() {
		whole <- call(http.MethodPost, in.callers+"/v1/chat/completions", f.key, chatBody(short, false))
	}()
	go func() {
		setpoint <- call(http.MethodPost, in.callers+"/v1/services/rig/setpoint", f.key, map[string]any{"g": 1}, "Idempotency-Key", "c")
	}()
	eventually(t, "all run", func() bool {
		runs := 0
		for _, e := range f.engines {
			runs += len(e.runs(t))
		}
		return runs == 2 && len(f.calls()) == 1
	})
	in.signal(syscall.SIGTERM)
	if got := <-report; got.text != wholeText(long) || !got.whole {
		t.Errorf("report: %d tokens, error %q", len(got.at), got.err)
	}
	if got := <-whole; got.status != http.StatusOK || !strings.Contains(got.body, wholeText(short)) {
		t.Errorf("whole answer: %d %v", got.status, got.err)
	}
	if got := <-setpoint; got.status != http.StatusOK {
		t.Errorf("service call: %d %s", got.status, got.body)
	}
	if code := in.exitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if got := call(http.MethodGet, in.callers+"/readyz", "", nil); got.err == nil {
		t.Errorf("a stopped instance answers %d", got.status)
	}
	// Its grants are back and its bills are on the log.
	eventually(t, "billed", func() bool { return budget(t, f.instances[1].operators, "dala").Billed >= long+short })
}

// TestEngineKilledDuringAPlatformOutage pairs two faults: the run moves, the
// caller has its whole answer, and the bill comes when the log is back.
func TestEngineKilledDuringAPlatformOutage(t *testing.T) {
	f := startFleet(t, 2, 2)
	const tokens, at = 300, 100
	faults := func(v map[string]any) { mustCall(t, http.MethodPut, f.platform+"/faults", "", v) }
	got := f.ask(f.instances[0], tokens, func(n int) {
		if n == at {
			faults(map[string]any{"outage": true})
			f.running().signal(syscall.SIGKILL)
		}
	}, "Idempotency-Key", "k")
	if got.text != wholeText(tokens) || !got.whole {
		t.Fatalf("%d tokens, whole %v, error %q", len(got.at), got.whole, got.err)
	}
	faults(map[string]any{})
	f.audit(got.total)
}
