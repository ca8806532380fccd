package placement_test

import (
	"fmt"
	"testing"
	"time"

	"guavapier/internal/endpointload"
	"guavapier/internal/placement"
)

// BenchmarkPlace places requests whose prompts have shared parts, with a third of the
// endpoints cold.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{24, 140, 640} {
		b.Run(fmt.Sprintf("%d endpoints", n), func(b *testing.B) {
			p := newTable(n)
			p.SetWarmUps(map[string]placement.WarmUp{"s": {Duration: time.Hour, MaxPerSecond: maxColdRequests}})
			var names []string
			for i := range 59 {
				names = append(names, fmt.Sprint("instance-", i))
			}
			p.SetInstances("instance-0", names)
			p.SetCordons(map[string]bool{"z1": true}, 0)
			p.SetCordons(nil, time.Second)
			now := time.Minute
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 10 * time.Millisecond
				a := p.Place(placement.Query{Service: "s", Zone: "z0", Parts: sharedPrompt(fmt.Sprint(i % 200))}, now)
				a.OnSend(now)
				a.OnAnswerStart(now, true)
				a.Done(placement.Answered, now)
			}
		})
	}
}

// BenchmarkPlaceByTime places requests while the load of all instances is known.
func BenchmarkPlaceByTime(b *testing.B) {
	p := newTable(140)
	loads := map[string]endpointload.Load{}
	for i := range 140 {
		loads[fmt.Sprintf("e%d", i)] = endpointload.Load{Requests: i % 12, Waiting: i % 3, Prefill: time.Duration(i%5) * 40 * time.Millisecond, Tokens: 50_000}
	}
	now := time.Minute
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 10 * time.Millisecond
		if i%25 == 0 {
			p.SetOthersLoads(loads, now)
		}
		a := p.Place(placement.Query{Service: "s", Zone: "z0", Parts: sharedPrompt(fmt.Sprint(i % 200)), Tokens: 9000, Target: 400 * time.Millisecond}, now)
		a.OnSend(now)
		a.OnAnswerStart(now, true)
		a.Done(placement.Answered, now)
	}
}
