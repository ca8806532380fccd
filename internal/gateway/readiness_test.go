package gateway

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// newTestReadiness returns a readiness of these conditions, and its log.
func newTestReadiness(conditions ...readyCondition) (*readiness, *bytes.Buffer) {
	start, lines := time.Now(), &bytes.Buffer{}
	log := zerolog.New(lines)
	clock := func() time.Duration { return time.Since(start) }
	return &readiness{conditions: conditions, clock: clock, log: log, sampledLog: log}, lines
}

func TestReadinessTellsWhatIsLacking(t *testing.T) {
	met := map[string]bool{}
	r, lines := newTestReadiness(readyCondition{"a", func() bool { return met["a"] }}, readyCondition{"b", func() bool { return met["b"] }})
	for _, c := range []struct {
		a, b, want bool
		line       string
	}{
		{false, false, false, `"lacking":"a, b"`},
		{true, false, false, `"lacking":"b"`},
		{true, true, true, `"ready":true,"lacking":""`},
		{true, true, true, ""},
		{false, true, false, `"ready":false,"lacking":"a"`},
	} {
		lines.Reset()
		met["a"], met["b"] = c.a, c.b
		if got := r.isReady(); got != c.want {
			t.Errorf("ready %v with a %v and b %v, want %v", got, c.a, c.b, c.want)
		}
		if line := lines.String(); !strings.Contains(line, c.line) || c.line == "" && line != "" {
			t.Errorf("logged %q with a %v and b %v, want %q", line, c.a, c.b, c.line)
		}
	}
}

// Guards against probes without an answer while something long holds a lock that readiness needs.
func TestReadinessAnswersWhileAConditionWaitsForALock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lock := make(chan struct{}, 1)
		r, lines := newTestReadiness(readyCondition{"budgets", func() bool { lock <- struct{}{}; <-lock; return true }})
		if !r.isReady() {
			t.Fatal("not ready although the condition is met")
		}
		lock <- struct{}{} // Taken by something else.
		for start := time.Now(); time.Since(start) < 2*maxReadinessAge; time.Sleep(readinessTimeout) {
			asked := time.Now()
			ready := r.isReady()
			if took := time.Since(asked); took > readinessTimeout {
				t.Fatalf("a probe took %s, want at most %s", took, readinessTimeout)
			}
			if want := time.Since(start) < maxReadinessAge; ready != want {
				t.Fatalf("ready %v after %s, want %v", ready, time.Since(start), want)
			}
		}
		if !strings.Contains(lines.String(), `"condition":"budgets"`) {
			t.Errorf("the log does not name the condition: %s", lines)
		}
		<-lock
		synctest.Wait()
		if !r.isReady() {
			t.Error("not ready after the lock was released")
		}
	})
}
