package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/retry"
)

// step is what one instance did at one time: the callers' requests and the
// repeats allowed.
type step struct {
	at                time.Duration
	requests, repeats int
}

// drawSteps applies a random load to n instances.
func drawSteps(t *rapid.T, budget retry.Budget, n int) []step {
	var limiters []*retry.Limiter
	for range n {
		limiters = append(limiters, retry.NewLimiter(budget, n))
	}
	var steps []step
	now := time.Duration(0)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
		l := limiters[rapid.IntRange(0, n-1).Draw(t, "instance")]
		m := step{at: now, requests: rapid.IntRange(0, 60).Draw(t, "requests")}
		for range m.requests {
			l.CountRequest("s", now)
		}
		for range rapid.IntRange(0, 60).Draw(t, "repeats wanted") {
			if l.Allow("s", now) {
				m.repeats++
			}
		}
		steps = append(steps, m)
	}
	return steps
}

// sumWindow sums the repeats in a window, and the requests in it and in the
// window before it, which may have earned them.
func sumWindow(steps []step, from, length time.Duration) (repeats, requests int) {
	for _, m := range steps {
		age := m.at - from
		if age >= 0 && age < length {
			repeats += m.repeats
		}
		if age >= -length && age < length {
			requests += m.requests
		}
	}
	return repeats, requests
}

// TestNoWindowExceedsTheFleetsBudget checks that no window holds more repeats
// than the fleet's budget, for any load and timing of the instances.
func TestNoWindowExceedsTheFleetsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.Budget{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
		steps := drawSteps(t, budget, rapid.IntRange(1, 10).Draw(t, "instances"))
		for _, m := range steps {
			repeats, requests := sumWindow(steps, m.at, budget.Window)
			if maxRepeats := budget.Ratio*float64(requests) + budget.Extra; float64(repeats) > maxRepeats {
				t.Fatalf("%d repeats in the window from %s, want at most %g", repeats, m.at, maxRepeats)
			}
		}
	})
}

func TestAnInstanceAloneHasTheWholeBudget(t *testing.T) {
	l := retry.NewLimiter(retry.Budget{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, 16)
	l.SetInstances(1)
	allowed := 0
	for range 100 {
		if l.Allow("s", 0) {
			allowed++
		}
	}
	if allowed < 15 {
		t.Errorf("%d repeats allowed at once, want at least 15", allowed)
	}
	if !l.Allow("other", 0) {
		t.Error("the repeats of one service used up the budget of another")
	}
}
