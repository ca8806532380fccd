package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/retry"
)

// moment is what one instance did at one time.
type moment struct {
	at              time.Duration
	requests, again int
}

// drawMoments plays the load of n instances.
func drawMoments(t *rapid.T, budget retry.Budget, n int) []moment {
	var keepers []*retry.Keeper
	for range n {
		keepers = append(keepers, retry.NewKeeper(budget, n))
	}
	var moments []moment
	now := time.Duration(0)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
		k := keepers[rapid.IntRange(0, n-1).Draw(t, "instance")]
		m := moment{at: now, requests: rapid.IntRange(0, 60).Draw(t, "requests")}
		for range m.requests {
			k.Request("s", now)
		}
		for range rapid.IntRange(0, 60).Draw(t, "repeats wanted") {
			if k.Allow("s", now) {
				m.again++
			}
		}
		moments = append(moments, m)
	}
	return moments
}

// windowFrom sums the repeats of a window, and the requests of it and of the
// window before it, which may have earned them.
func windowFrom(moments []moment, from, length time.Duration) (again, requests int) {
	for _, m := range moments {
		age := m.at - from
		if age >= 0 && age < length {
			again += m.again
		}
		if age >= -length && age < length {
			requests += m.requests
		}
	}
	return again, requests
}

// Whatever the instances' loads and moments, no window holds more repeats than
// the fleet's budget.
func TestNoWindowExceedsTheFleetsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.Budget{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
		moments := drawMoments(t, budget, rapid.IntRange(1, 10).Draw(t, "instances"))
		for _, m := range moments {
			again, requests := windowFrom(moments, m.at, budget.Window)
			if most := budget.Ratio*float64(requests) + budget.Extra; float64(again) > most {
				t.Fatalf("%d repeats in the window from %s, at most %g", again, m.at, most)
			}
		}
	})
}

func TestAnInstanceAloneHasTheWholeBudget(t *testing.T) {
	k := retry.NewKeeper(retry.Budget{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, 16)
	k.SetInstances(1)
	allowed := 0
	for range 100 {
		if k.Allow("s", 0) {
			allowed++
		}
	}
	if allowed < 15 {
		t.Errorf("%d repeats at once", allowed)
	}
	if !k.Allow("other", 0) {
		t.Error("each service has a budget of its own")
	}
}
