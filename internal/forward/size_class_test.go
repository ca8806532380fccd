package forward

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// prompt is a request in the queue of an endpoint that reads one prompt at a time.
type prompt struct {
	arrival, readTime time.Duration
	urgency           int
}

// queueResult counts prompts by when their first token came, relative to the latency target
// and the callers' timeout.
type queueResult struct{ inTime, late, lost, longLost, long int }

// simulateQueue simulates an endpoint that reads prompts by urgency and then by arrival. It
// counts the first tokens within the target, the later ones, and the callers that timed out.
func simulateQueue(prompts []prompt, target, patience time.Duration) (out queueResult) {
	var waiting []prompt
	now := time.Duration(0)
	for next := 0; next < len(prompts) || len(waiting) > 0; {
		for next < len(prompts) && (prompts[next].arrival <= now || len(waiting) == 0) {
			now = max(now, prompts[next].arrival)
			waiting = append(waiting, prompts[next])
			next++
		}
		best := 0
		for i, p := range waiting {
			if p.urgency < waiting[best].urgency {
				best = i
			}
		}
		p := waiting[best]
		waiting = append(waiting[:best], waiting[best+1:]...)
		now += p.readTime
		out.count(p, now-p.arrival, target, patience)
	}
	return out
}

func (o *queueResult) count(p prompt, took, target, patience time.Duration) {
	long := promptSizeClass(p.readTime, target) > 0
	if long {
		o.long++
	}
	switch {
	case took <= target:
		o.inTime++
	case took <= patience:
		o.late++
	default:
		o.lost++
		if long {
			o.longLost++
		}
	}
}

// mixedPrompts returns random prompts with exponential inter-arrival times and log-normal
// read times, as document lengths are distributed. The endpoint is busy for the share of
// the time that load gives.
func mixedPrompts(count int, load float64) []prompt {
	const mean, spread = float64(25 * time.Millisecond), 1.0
	rng := rand.New(rand.NewPCG(1, 2))
	arrival := 0.0
	prompts := make([]prompt, count)
	for i := range prompts {
		arrival += rng.ExpFloat64() * mean / load
		readTime := mean * math.Exp(spread*rng.NormFloat64()-spread*spread/2)
		prompts[i] = prompt{arrival: time.Duration(arrival), readTime: time.Duration(readTime)}
	}
	return prompts
}

// At 70 % and 85 % load, serving prompts by size class gives more first tokens within the
// target than serving them by arrival: of 20,000, 2,583 and 7,083 are late by arrival, and
// 1,067 and 1,721 by size class. Long prompts must not starve: only they may time out, and
// at most one of a hundred.
func TestShortPromptsFirstBringsMoreInTime(t *testing.T) {
	const target, patience = 250 * time.Millisecond, 5 * time.Second
	for _, load := range []float64{0.7, 0.85} {
		prompts := mixedPrompts(20_000, load)
		before := simulateQueue(prompts, target, patience)
		for i := range prompts {
			prompts[i].urgency = promptSizeClass(prompts[i].readTime, target)
		}
		after := simulateQueue(prompts, target, patience)
		t.Logf("at %.0f %% load: by arrival %+v, by size class %+v", 100*load, before, after)
		if after.inTime <= before.inTime {
			t.Errorf("at %.0f %% load: %d first tokens in time by size class, %d by arrival", 100*load, after.inTime, before.inTime)
		}
		if after.lost != after.longLost || 100*after.longLost > after.long {
			t.Errorf("at %.0f %% load: %d prompts timed out, among them %d of %d long ones; want only long ones, at most 1 %%", 100*load, after.lost, after.longLost, after.long)
		}
	}
}

// Guards against starvation of long prompts: in a burst of 5 s at 130 % load all of them
// are read before their callers time out.
func TestLongPromptsAreNotShutOut(t *testing.T) {
	const target, patience = 250 * time.Millisecond, 5 * time.Second
	prompts := mixedPrompts(260, 1.3)
	for i := range prompts {
		prompts[i].urgency = promptSizeClass(prompts[i].readTime, target)
	}
	if got := simulateQueue(prompts, target, patience); got.longLost > 0 {
		t.Errorf("%d of %d long prompts timed out: %+v", got.longLost, got.long, got)
	}
}

func TestSizesFollowTheTarget(t *testing.T) {
	for _, c := range []struct {
		work, target time.Duration
		want         int
	}{
		{0, 0, 0},
		{time.Second, 0, 0}, // A route without a target.
		{40 * time.Millisecond, 200 * time.Millisecond, 0},
		{41 * time.Millisecond, 200 * time.Millisecond, 1},
		{41 * time.Millisecond, 800 * time.Millisecond, 0},
		{150 * time.Millisecond, 200 * time.Millisecond, 2},
	} {
		if got := promptSizeClass(c.work, c.target); got != c.want {
			t.Errorf("size class of a prompt read in %s with target %s is %d, want %d", c.work, c.target, got, c.want)
		}
	}
}
