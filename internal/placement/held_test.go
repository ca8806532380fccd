package placement

import (
	"slices"
	"testing"
	"time"

	"guavapier/internal/discovery"
	"guavapier/internal/endpointload"
)

// A subject comes back after 20 s to an endpoint with room for all that it has read since. Its parts
// count as held where the room is weighed, and not where a time is assumed, others are silent, the
// endpoint has started anew, or has read more than it has room for.
func TestPartsCountAsHeldWhileThereIsRoom(t *testing.T) {
	q := Query{Service: "s", Zone: "z", Tokens: 9000, Target: 800 * time.Millisecond, Parts: []Part{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 4500}, {ID: "own", Tokens: 3000}}}
	const later = 21 * time.Second
	told := func(p *Table) { p.SetOthersLoads(nil, later) }
	for name, c := range map[string]struct {
		weighs bool
		before func(*Table)
		held   float64
	}{
		"weighed":       {true, told, 5000},
		"assumed":       {false, told, preferredCacheProbability * 5000}, // By the only endpoint's hash.
		"others silent": {true, func(*Table) {}, preferredCacheProbability * 5000},
		"started anew": {true, func(p *Table) {
			p.Put(discovery.Endpoint{ID: "e0", Address: "e0:1", Service: "s", Zone: "z", Slots: 12, Born: 2}, later)
			told(p)
		}, preferredCacheProbability * 5000},
		"read over": {true, func(p *Table) {
			for range 30 {
				p.ObserveSamples([]endpointload.Sample{{Endpoint: "e0", Tokens: 10_000, TTFT: time.Second}})
			}
			told(p)
		}, preferredCacheProbability * 5000},
	} {
		t.Run(name, func(t *testing.T) {
			p := timedTable(1, nil)
			if c.weighs {
				p.WeighHeldPrompts()
			}
			p.SetReports(map[string]endpointload.Report{"e0": {TotalTokens: 200_000}}, time.Second)
			first := p.Place(q, time.Second)
			if first.Held.Age >= 0 {
				t.Errorf("parts were last sent %s ago before the first send", first.Held.Age)
			}
			first.Done(Answered, 2*time.Second)
			c.before(p)
			p.Sweep(later)
			next := q
			next.Parts = append(slices.Clone(q.Parts[:2]), Part{ID: "next", Tokens: 3000})
			again := p.Place(next, later)
			if again.Held.Tokens < c.held-1 || again.Held.Tokens > c.held+1 || again.Held.Saved <= 0 {
				t.Errorf("%.0f tokens held, saving %s; want %.0f", again.Held.Tokens, again.Held.Saved, c.held)
			}
		})
	}
}
