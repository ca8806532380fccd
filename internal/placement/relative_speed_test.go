package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"guavapier/internal/placement"
)

// simulatedEndpoint is an endpoint that reads one prompt after the other.
type simulatedEndpoint struct {
	tokensPerMS float64
	idleAt      time.Duration // When it has read all that was sent.
	totalTokens float64
}

// pendingAnswer is one that will begin.
type pendingAnswer struct {
	at         time.Duration
	assignment *placement.Assignment
	ttft       time.Duration
}

// simulateRequests sends prompts of very different lengths for a minute and returns
// the times to the first token of its second half.
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

// Of four endpoints one reads a quarter as fast as the others: it gets about a
// quarter to read at most. When all were taken for equal it got half, and nine in
// ten first tokens came within 190 ms; now within 117 ms.
func TestASlowEndpointGetsLessToRead(t *testing.T) {
	p, endpoints := newSimulatedEndpoints(92, 92, 92, 23)
	ttft := simulateRequests(p, endpoints, 45)
	share := endpoints["e3"].totalTokens / endpoints["e0"].totalTokens
	t.Logf("p50 %s, p90 %s, the slow one reads %.2f of another one", quantile(ttft, 0.5), quantile(ttft, 0.9), share)
	if share > 0.35 {
		t.Errorf("the slow endpoint reads %.2f of what a fast one does", share)
	}
}

// Fleets of equal endpoints of any speed are used evenly.
func TestEqualEndpointsOfAnySpeedShareEvenly(t *testing.T) {
	for _, tokensPerMS := range []float64{46, 92, 184} {
		p, endpoints := newSimulatedEndpoints(tokensPerMS, tokensPerMS, tokensPerMS, tokensPerMS)
		simulateRequests(p, endpoints, 45*tokensPerMS/92)
		for id, e := range endpoints {
			if share := e.totalTokens / endpoints["e0"].totalTokens; share < 0.75 || share > 1.33 {
				t.Errorf("at %.0f tokens a ms %s reads %.2f of what e0 does", tokensPerMS, id, share)
			}
		}
	}
}
