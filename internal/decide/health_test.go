package decide

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// submitAndTick submits one request and returns its decision from the next
// tick.
func submitAndTick(d *Decider, now Time, id RequestID, change func(*Request)) Decision {
	r := Request{ID: id, Model: "m", Priority: PriorityInteractive, Deadline: now + 10*time.Second, Repeatable: true}
	change(&r)
	d.Submit(r)
	for _, got := range d.Tick(now) {
		if got.Request == id {
			return got
		}
	}
	return Decision{}
}

// TestServiceComesBack checks that a failing endpoint of a plain service gets
// no calls, and that it gets them again later although none of them may be
// repeated and so none can be a probe.
func TestServiceComesBack(t *testing.T) {
	d := New(Options{Seed: 1})
	d.SetEndpoints([]Endpoint{{Name: "a", Service: "rig", Slots: 4, Weight: 1}, {Name: "b", Service: "rig", Slots: 4, Weight: 1}})
	counts := map[string]map[string]int{"early": {}, "out": {}, "late": {}}
	for i := range 3000 {
		now := Time(i) * 100 * time.Millisecond
		got := submitAndTick(d, now, RequestID(i+1), func(r *Request) { r.Service, r.Repeatable = "rig", false })
		if got.Kind != Start {
			t.Fatalf("%v: call not started: %+v", now, got)
		}
		failing := now < 20*time.Second && got.Endpoint == "a"
		d.Finish(got.Request, Result{Total: 5 * time.Millisecond, Failed: failing})
		switch {
		case now < 2*time.Second:
			counts["early"][got.Endpoint]++
		case now > 3*time.Second && now < 30*time.Second:
			counts["out"][got.Endpoint]++
		case now > 200*time.Second:
			counts["late"][got.Endpoint]++
		}
	}
	if counts["early"]["a"] < maxConsecutiveFailures || counts["out"]["a"] > 1 || counts["late"]["a"] < 200 {
		t.Fatalf("starts by time and endpoint: %v", counts)
	}
}

// TestRetryBudget checks that retries stay a small share of the first
// attempts, beyond a burst that covers the failure of one endpoint.
func TestRetryBudget(t *testing.T) {
	d := New(Options{Seed: 1})
	d.SetEndpoints([]Endpoint{{Name: "a", Models: []string{"m"}, Slots: 8, Weight: 1}, {Name: "b", Models: []string{"m"}, Slots: 8, Weight: 1}})
	allowed, last := 0, Decision{}
	for i := range 1000 {
		retry := i%2 == 1
		got := submitAndTick(d, Time(i)*time.Millisecond, RequestID(i+1), func(r *Request) {
			if retry {
				r.Avoid = []string{"b"}
			}
		})
		if retry && got.Kind == Start {
			allowed++
		}
		if retry {
			last = got
		}
		d.Finish(got.Request, Result{FirstToken: time.Millisecond, Total: 2 * time.Millisecond, Tokens: 1})
	}
	if allowed < 75 || allowed > 90 || last.Code != CodeRetryBudget {
		t.Fatalf("%d of 500 retries started, the last got %+v", allowed, last)
	}
}

// TestSeconds checks that a prediction too long for time.Duration does not
// overflow to a negative one.
func TestSeconds(t *testing.T) {
	for s, want := range map[float64]time.Duration{0: 0, 1.5: 1500 * time.Millisecond, 1e12: maxPrediction, math.Inf(1): maxPrediction, math.NaN(): maxPrediction} {
		if got := seconds(s); got != want {
			t.Errorf("seconds(%v) = %v, want %v", s, got, want)
		}
	}
}

// TestReturnsAreSpread checks that callers who are refused together get
// different times to retry, one after the other. With the same time they
// would be refused together again.
func TestReturnsAreSpread(t *testing.T) {
	d := New(Options{Seed: 1})
	d.SetEndpoints([]Endpoint{{Name: "a", Models: []string{"m"}, Slots: 2, Weight: 1}})
	for i := range 100 {
		d.Submit(Request{ID: RequestID(i + 1), Team: "t", Model: "m", Priority: PriorityInteractive, Deadline: 2 * time.Second})
	}
	var after []time.Duration
	for _, got := range d.Tick(0) {
		if got.Kind == Refuse {
			after = append(after, got.RetryAfter)
		}
	}
	slices.Sort(after)
	if len(after) < 90 || len(slices.Compact(slices.Clone(after))) != len(after) {
		t.Fatalf("%d requests refused at once, want 90 or more with different RetryAfter: %v", len(after), after)
	}
	if spread := after[len(after)-1] - after[0]; spread < 10*time.Second {
		t.Fatal(fmt.Sprint("all callers are to retry within ", spread))
	}
}
