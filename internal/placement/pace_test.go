package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"guavapier/internal/placement"
)

// simulatedEndpoint is an endpoint that processes one prompt after the other.
type simulatedEndpoint struct {
	tokensPerMS float64
	idleAt      time.Duration // When it will have processed all prompts.
	totalTokens float64       // Of all prompts.
}

// pendingAnswer is an answer that starts at a known time.
type pendingAnswer struct {
	at         time.Duration
	assignment *placement.Assignment
	ttft       time.Duration
}

// simulateRequests sends prompts of widely varying lengths for a minute and returns the
// times to first token (TTFT) of the second half.
func simulateRequests(p *placement.Table, endpoints map[string]*simulatedEndpoint, requestsPerSecond float64) []time.Duration {
	rng := rand.New(rand.NewPCG(5, 6))
	var waiting []pendingAnswer
	var ttft []time.Duration
	completeAnswers := func(now time.Duration) {
		slices.SortFunc(waiting, func(a, b pendingAnswer) int { return int(a.at - b.at) })
		for len(waiting) > 0 && waiting[0].at <= now {
			next := waiting[0]
			waiting = waiting[1:]
			next.assignment.OnAnswerStart(next.at, true)
			next.assignment.Done(placement.Answered, next.at)
			if next.at > 30*time.Second {
				ttft = append(ttft, next.ttft)
			}
		}
	}
	lastSweep := time.Duration(0)
	for now := time.Duration(0); now < time.Minute; now += time.Duration(rng.ExpFloat64() / requestsPerSecond * float64(time.Second)) {
		completeAnswers(now)
		if now-lastSweep > 250*time.Millisecond {
			p.Sweep(now)
			lastSweep = now
		}
		tokens := int64(500 + 2500*rng.ExpFloat64())
		zone := fmt.Sprintf("z%d", rng.IntN(2))
		a := p.Place(placement.Query{Service: "s", Zone: zone, Parts: []placement.Part{{ID: fmt.Sprint(now), Tokens: tokens}}}, now)
		e := endpoints[a.Endpoint.ID]
		e.idleAt = max(now, e.idleAt) + time.Duration(float64(tokens)/e.tokensPerMS*float64(time.Millisecond))
		e.totalTokens += float64(tokens)
		startsAt := e.idleAt + 30*time.Millisecond
		waiting = append(waiting, pendingAnswer{at: startsAt, assignment: a, ttft: startsAt - now})
	}
	return ttft
}

func quantile(list []time.Duration, share float64) time.Duration {
	slices.Sort(list)
	return list[int(share*float64(len(list)-1))]
}

func newSimulatedEndpoints(tokensPerMS ...float64) (*placement.Table, map[string]*simulatedEndpoint) {
	endpoints := map[string]*simulatedEndpoint{}
	for i, speed := range tokensPerMS {
		endpoints[fmt.Sprintf("e%d", i)] = &simulatedEndpoint{tokensPerMS: speed}
	}
	return newTable(len(tokensPerMS)), endpoints
}

// One of four endpoints is a quarter as fast as the others and gets about a quarter of
// the tokens of another one. With the same speed assumed for all it gets half, and the
// 90th percentile of the TTFT is 190 ms instead of 117 ms.
func TestASlowEndpointGetsLessToRead(t *testing.T) {
	p, endpoints := newSimulatedEndpoints(92, 92, 92, 23)
	ttft := simulateRequests(p, endpoints, 45)
	share := endpoints["e3"].totalTokens / endpoints["e0"].totalTokens
	t.Logf("TTFT p50 %s, p90 %s; the slow endpoint gets %.2f of the tokens of a fast one", quantile(ttft, 0.5), quantile(ttft, 0.9), share)
	if share > 0.35 {
		t.Errorf("the slow endpoint gets %.2f of the tokens of a fast one, want at most 0.35", share)
	}
}

// Tokens spread evenly over identical endpoints, whatever their speed.
func TestEqualEndpointsOfAnySpeedShareEvenly(t *testing.T) {
	for _, tokensPerMS := range []float64{46, 92, 184} {
		p, endpoints := newSimulatedEndpoints(tokensPerMS, tokensPerMS, tokensPerMS, tokensPerMS)
		simulateRequests(p, endpoints, 45*tokensPerMS/92)
		for id, e := range endpoints {
			if share := e.totalTokens / endpoints["e0"].totalTokens; share < 0.75 || share > 1.33 {
				t.Errorf("at %.0f tokens/ms %s gets %.2f of the tokens of e0, want 0.75 to 1.33", tokensPerMS, id, share)
			}
		}
	}
}
