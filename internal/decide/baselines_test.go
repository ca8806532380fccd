package decide

import "math/rand/v2"

// baseline is a simple policy for comparison. It decides on each request as
// it comes, by one rule, and starts it at an endpoint with room: fewer
// requests than its slots and a short queue, as far as this instance knows.
// If no endpoint has room, it refuses.
type baseline struct {
	pick      func(b *baseline, r *Request) int
	rng       *rand.Rand
	endpoints []Endpoint
	inFlight  map[string]int
	reports   map[string]LoadReport
	running   map[RequestID]string
	decisions []Decision
	nextIndex int
}

func newBaseline(seed uint64, pick func(*baseline, *Request) int) *baseline {
	return &baseline{
		pick: pick, rng: rand.New(rand.NewPCG(seed, 2)), inFlight: map[string]int{},
		reports: map[string]LoadReport{}, running: map[RequestID]string{},
	}
}

func (b *baseline) SetEndpoints(e []Endpoint)                   { b.endpoints = e }
func (b *baseline) SetLoadReport(endpoint string, r LoadReport) { b.reports[endpoint] = r }
func (b *baseline) SetLeaving(string)                           {}
func (b *baseline) Cancel(RequestID)                            {}
func (b *baseline) Finish(id RequestID, _ Result)               { b.inFlight[b.running[id]]--; delete(b.running, id) }

// load returns the requests at an endpoint as a multiple of its slots.
func (b *baseline) load(i int) float64 {
	e := b.endpoints[i]
	r := b.reports[e.Name]
	return float64(max(b.inFlight[e.Name], r.Running+r.Queued)) / float64(e.Slots)
}

func (b *baseline) hasRoom(i int, r *Request) bool {
	e := b.endpoints[i]
	avoided := false
	for _, a := range r.Avoid {
		avoided = avoided || a == e.Name
	}
	rep := b.reports[e.Name]
	return !avoided && !e.Leaving && max(b.inFlight[e.Name], rep.Running+rep.Queued) < e.Slots+defaultMaxQueued
}

func (b *baseline) Submit(r Request) {
	i := b.pick(b, &r)
	if i < 0 {
		b.decisions = append(b.decisions, Decision{Kind: Refuse, Request: r.ID, Code: CodeOverloaded, RetryAfter: seconds(0.5 + b.rng.Float64())})
		return
	}
	name := b.endpoints[i].Name
	b.inFlight[name]++
	b.running[r.ID] = name
	b.decisions = append(b.decisions, Decision{Kind: Start, Request: r.ID, Endpoint: name})
}

func (b *baseline) Tick(Time) []Decision {
	out := b.decisions
	b.decisions = nil
	return out
}

// lowestEndpoint returns the index of the endpoint with room that has the
// lowest value, or -1.
func (b *baseline) lowestEndpoint(r *Request, value func(i int) float64) int {
	best, bestValue := -1, 0.0
	for i := range b.endpoints {
		if !b.hasRoom(i, r) {
			continue
		}
		if v := value(i); best < 0 || v < bestValue {
			best, bestValue = i, v
		}
	}
	return best
}

func roundRobin(b *baseline, r *Request) int {
	b.nextIndex++
	return b.lowestEndpoint(r, func(i int) float64 {
		return float64((i - b.nextIndex%len(b.endpoints) + len(b.endpoints)) % len(b.endpoints))
	})
}

func leastInFlight(b *baseline, r *Request) int { return b.lowestEndpoint(r, b.load) }

func powerOfTwo(b *baseline, r *Request) int {
	one, two := b.rng.IntN(len(b.endpoints)), b.rng.IntN(len(b.endpoints))
	return b.lowestEndpoint(r, func(i int) float64 {
		if i == one || i == two {
			return b.load(i)
		}
		return 1e3 // Only if neither of the two has room.
	})
}

func plainAffinity(b *baseline, r *Request) int {
	key := hashString(string(r.Session))
	return b.lowestEndpoint(r, func(i int) float64 { return -rendezvous(key, hashString(b.endpoints[i].Name), 1) })
}

func weightedAffinity(b *baseline, r *Request) int {
	key := hashString(string(r.Session))
	return b.lowestEndpoint(r, func(i int) float64 {
		return -rendezvous(key, hashString(b.endpoints[i].Name), b.endpoints[i].Weight)
	})
}
