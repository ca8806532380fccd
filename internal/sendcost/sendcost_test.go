package sendcost

import (
	"testing"

	"pgregory.net/rapid"
)

func drawEndpoint(t *rapid.T) Endpoint {
	requests := rapid.IntRange(0, 40).Draw(t, "requests")
	return Endpoint{
		Slots: rapid.IntRange(0, 48).Draw(t, "slots"), Requests: requests, Waiting: rapid.IntRange(0, requests).Draw(t, "waiting"),
		QueueMS: rapid.Float64Range(0, 3000).Draw(t, "queue"), HoldMS: rapid.Float64Range(10, 3000).Draw(t, "hold"),
		UsedTokens: rapid.Int64Range(0, 500_000).Draw(t, "used"), TotalTokens: 400_000, MSPerToken: rapid.Float64Range(0.001, 0.1).Draw(t, "speed"),
	}
}

// More load, a longer prefill and less time left never make an endpoint cheaper.
func TestMoreLoadNeverCostsLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEndpoint(t)
		r := Request{BaseMS: 20, PrefillMS: rapid.Float64Range(0, 2000).Draw(t, "prefill"), TargetMS: 400, Tokens: 1000}
		cost := Of(r, e).Total()
		for name, change := range map[string]func(*Request, *Endpoint){
			"queue":    func(_ *Request, e *Endpoint) { e.QueueMS += 50 },
			"requests": func(_ *Request, e *Endpoint) { e.Requests++ },
			"waiting":  func(_ *Request, e *Endpoint) { e.Requests++; e.Waiting++ },
			"memory":   func(_ *Request, e *Endpoint) { e.UsedTokens += 10_000 },
			"prefill":  func(r *Request, _ *Endpoint) { r.PrefillMS += 50 },
			"shared":   func(r *Request, _ *Endpoint) { r.SharedMS += 50 },
		} {
			moreRequest, moreLoad := r, e
			change(&moreRequest, &moreLoad)
			if got := Of(moreRequest, moreLoad).Total(); got < cost-1e-9 {
				t.Fatalf("more of %s costs %.1f instead of %.1f ms", name, got, cost)
			}
		}
	})
}

// A long prompt goes to the fast endpoint, whose answer begins in time, even if its queue is
// longer, and a request with little time doesn't go behind it.
func TestTheTargetDecidesWhoWaits(t *testing.T) {
	slow := Endpoint{Slots: 12, Requests: 2, HoldMS: 1000, MSPerToken: 1.0 / 46}
	fast := Endpoint{Slots: 12, Requests: 4, Waiting: 1, QueueMS: 150, HoldMS: 1000, MSPerToken: 1.0 / 112}
	long := func(e Endpoint) Cost {
		return Of(Request{BaseMS: 20, PrefillMS: 25_000 * e.MSPerToken, TargetMS: 800, Tokens: 26_000}, e)
	}
	if s, f := long(slow), long(fast); f.Total() >= s.Total() || s.LateMS <= f.LateMS {
		t.Errorf("the long prompt costs %+v at the fast endpoint, %+v at the slow one", f, s)
	}
	fast.QueueMS += 25_000 * fast.MSPerToken
	fast.Requests++
	fast.Waiting++
	short := Request{BaseMS: 20, PrefillMS: 10, TargetMS: 400, Tokens: 800}
	if s, f := Of(short, slow), Of(short, fast); s.Total() >= f.Total() {
		t.Errorf("the short prompt costs %+v behind the long one, %+v elsewhere", f, s)
	}
}

// A request that would displace others costs the time for reading them again, and one that an
// endpoint can't hold costs more than any load.
func TestMemoryCosts(t *testing.T) {
	e := Endpoint{Slots: 12, Requests: 3, HoldMS: 1000, UsedTokens: 390_000, TotalTokens: 400_000, MSPerToken: 0.02}
	if got := Of(Request{Tokens: 15_000}, e).MemoryMS; got != 100 {
		t.Errorf("5,000 tokens too many cost %.0f ms, want 100", got)
	}
	if got := Of(Request{Tokens: 10_000}, e).MemoryMS; got != 0 {
		t.Errorf("a request that fits costs %.0f ms", got)
	}
	if got := Of(Request{Tokens: 400_001}, e).MemoryMS; got != TooLargeMS {
		t.Errorf("a request that can never fit costs %.0f ms", got)
	}
	e.TotalTokens = 0
	if got := Of(Request{Tokens: 400_001}, e).MemoryMS; got != 0 {
		t.Errorf("an endpoint of unknown memory costs %.0f ms", got)
	}
}

// With no place left a request waits for the next ones that end.
func TestAFullEndpointMakesWait(t *testing.T) {
	e := Endpoint{Slots: 12, Requests: 12, HoldMS: 1200}
	if got := e.WaitMS(); got != 100 {
		t.Errorf("the wait for the first of 12 places is %.0f ms, want 100", got)
	}
	e.Requests = 14
	if got := e.WaitMS(); got != 300 {
		t.Errorf("the wait behind two others is %.0f ms, want 300", got)
	}
}
