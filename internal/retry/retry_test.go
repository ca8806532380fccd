package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/retry"
)

// Whatever the instances' loads and moments, no window holds more repeats than
// the fleet's budget.
func TestNoWindowExceedsTheFleetsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.Budget{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
		n := rapid.IntRange(1, 10).Draw(t, "instances")
		var keepers []*retry.Keeper
		for range n {
			keepers = append(keepers, retry.NewKeeper(budget, n))
		}
		type moment struct {
			at              time.Duration
			requests, again int
		}
		var moments []moment
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			m := moment{at: now}
			k := keepers[rapid.IntRange(0, n-1).Draw(t, "instance")]
			for range rapid.IntRange(0, 60).Draw(t, "requests") {
				k.Request("s", now)
				m.requests++
			}
			for range rapid.IntRange(0, 60).Draw(t, "repeats wanted") {
				if k.Allow("s", now) {
					m.again++
				}
			}
			moments = append(moments, m)
		}
		for i := range moments {
			again, requests := 0, 0
			for j := range moments {
				if age := moments[j].at - moments[i].at; age >= 0 && age < budget.Window {
					again += moments[j].again
				}
				// Requests may have come up to a window earlier.
				if age := moments[j].at - moments[i].at; age >= -budget.Window && age < budget.Window {
					requests += moments[j].requests
				}
			}
			if most := budget.Ratio*float64(requests) + budget.Extra; float64(again) > most {
				t.Fatalf("%d repeats in the window from %s, at most %g", again, moments[i].at, most)
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
