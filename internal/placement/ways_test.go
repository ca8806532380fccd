package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"guavapier/internal/endpointload"
	"guavapier/internal/placement"
)

// A replay plays a load on a fleet of instances and endpoints in each way of placing: by what each
// instance sends itself (own), by the load of all (time), and by what endpoints hold as well (held).
// testdata/ways has the outcomes side by side. No more answers may be late by time than by own
// requests.
func TestWaysOfPlacing(t *testing.T) { testWays(t, "testdata/ways") }

// Guards against placing by time that moves prompts in full saturation, where they are read again
// without being in time.
func TestWaysOfPlacingInSaturation(t *testing.T) { testWays(t, "testdata/ways_in_saturation") }

// testWays replays the loads of a file.
func testWays(t *testing.T, file string) {
	datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
		l := load{instances: 12, endpoints: 24, longPerSecond: 16, shortPerSecond: 40, subjects: 60, length: 20, memory: 200_000}
		d.MaybeScanArgs(t, "long", &l.longPerSecond)
		d.MaybeScanArgs(t, "short", &l.shortPerSecond)
		d.MaybeScanArgs(t, "subjects", &l.subjects)
		d.MaybeScanArgs(t, "hot", &l.hotPercent)
		d.MaybeScanArgs(t, "burst", &l.burstPercent)
		d.MaybeScanArgs(t, "memory", &l.memory)
		d.MaybeScanArgs(t, "slow", &l.slowEndpoints)
		d.MaybeScanArgs(t, "seconds", &l.length)
		var out strings.Builder
		own, timed, held := l.replay("own"), l.replay("time"), l.replay("held")
		for _, o := range []outcome{own, timed, held} {
			fmt.Fprintln(&out, o)
		}
		if timed.late() > own.late() {
			t.Errorf("%s: %d late by time, %d without", d.Pos, timed.late(), own.late())
		}
		return out.String()
	})
}

// load is a load of long prompts, whose answers are due in 800 ms, and short ones, due in 400 ms.
type load struct {
	instances, endpoints          int
	longPerSecond, shortPerSecond int
	subjects                      int // Of each kind; prompts of a subject share parts.
	hotPercent                    int // Of the prompts that are of one subject.
	burstPercent                  int // By which the load rises from 8 to 12 s.
	slowEndpoints                 int // That read at a third of the speed from 5 s on.
	memory                        int // Tokens that an endpoint can hold.
	length                        int // In seconds.
}

// outcome is what callers got.
type outcome struct {
	way                            string
	long, short, lateLong, lateSht int
	readAgain                      int     // Shared tokens read although an endpoint held them.
	busiest                        float64 // Time of the busiest endpoint's places by the mean.
}

func (o outcome) late() int { return o.lateLong + o.lateSht }

func (o outcome) String() string {
	return fmt.Sprintf("%-4s late: long %d of %d, short %d of %d; read again %dk tokens; busiest %.1f", o.way, o.lateLong, o.long, o.lateSht, o.short, o.readAgain/1000, o.busiest)
}

// modelEndpoint reads one prompt after the other, runs 12 requests at a time and holds the parts
// that it has read last.
type modelEndpoint struct {
	tokensPerMS float64
	idleAt      time.Duration   // When it will have read all prompts.
	ends        []time.Duration // Of its requests, in order.
	used        map[string]int  // Value of read at the last use of a part.
	read        int
	held        time.Duration // Time of all its places.
}

const modelSlots = 12

// run takes a request and returns when its answer begins and ends.
func (e *modelEndpoint) run(parts []placement.Part, fetched bool, memory int, stream, now time.Duration) (first, end time.Duration, read int) {
	e.ends = slices.DeleteFunc(e.ends, func(t time.Duration) bool { return t <= now })
	start := max(now, e.idleAt)
	if full := len(e.ends) - modelSlots; full >= 0 {
		start = max(start, e.ends[full])
	}
	inPrefix := true
	for _, p := range parts {
		at, found := e.used[p.ID]
		inPrefix = inPrefix && found && e.read-at < memory
		if !inPrefix && (!fetched || p.ID == parts[len(parts)-1].ID) {
			read += int(p.Tokens)
		}
	}
	e.read += read
	for _, p := range parts {
		e.used[p.ID] = e.read
	}
	ms := float64(read)/e.tokensPerMS + float64(read)*float64(read)*2.7e-7*66/e.tokensPerMS
	e.idleAt = start + time.Duration(ms*float64(time.Millisecond))
	first = e.idleAt + 20*time.Millisecond
	end = first + stream
	at, _ := slices.BinarySearch(e.ends, end)
	e.ends = slices.Insert(e.ends, at, end)
	e.held += end - now
	return first, end, read
}

// event is what happens at a time, beside arrivals.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any          { e := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return e }

// replay plays the load. All ways get the same requests.
func (l load) replay(way string) outcome {
	rng := rand.New(rand.NewPCG(11, 12))
	tables, endpoints := make([]*placement.Table, l.instances), map[string]*modelEndpoint{}
	for i := range tables {
		tables[i] = newTable(l.endpoints)
		for _, row := range tables[i].View(0) {
			row.Slots = modelSlots
			tables[i].Put(row.Endpoint, 0)
		}
		if way == "held" {
			tables[i].WeighHeldPrompts()
		}
	}
	for i := range l.endpoints {
		endpoints[fmt.Sprintf("e%d", i)] = &modelEndpoint{tokensPerMS: 66 * []float64{0.7, 0.7, 1.7}[i%3], used: map[string]int{}}
	}
	out, events := outcome{way: way}, &eventQueue{}
	for at := 250 * time.Millisecond; at < time.Duration(l.length)*time.Second; at += 250 * time.Millisecond {
		heap.Push(events, event{at, func() { exchange(tables, endpoints, way, l.memory, at) }})
	}
	for now := time.Duration(0); now < time.Duration(l.length)*time.Second; {
		rate := float64(l.longPerSecond + l.shortPerSecond)
		if now > 8*time.Second && now < 12*time.Second {
			rate *= 1 + float64(l.burstPercent)/100
		}
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		for events.Len() > 0 && (*events)[0].at <= now {
			heap.Pop(events).(event).do()
		}
		for i := range l.slowEndpoints {
			if now > 5*time.Second {
				endpoints[fmt.Sprintf("e%d", i)].tokensPerMS = 15
			}
		}
		l.send(rng, tables, endpoints, &out, events, now)
	}
	sum, most := time.Duration(0), time.Duration(0)
	for _, e := range endpoints {
		sum, most = sum+e.held, max(most, e.held)
	}
	out.busiest = float64(most) * float64(len(endpoints)) / float64(sum)
	return out
}

// send places and runs one request.
func (l load) send(rng *rand.Rand, tables []*placement.Table, endpoints map[string]*modelEndpoint, out *outcome, events *eventQueue, now time.Duration) {
	isLong := rng.IntN(l.longPerSecond+l.shortPerSecond) < l.longPerSecond
	subject, tokens, draw := rng.IntN(l.subjects), rng.ExpFloat64(), rng.ExpFloat64()
	if rng.IntN(100) < l.hotPercent {
		subject = 0
	}
	i := rng.IntN(len(tables))
	p := tables[i]
	own := placement.Part{ID: fmt.Sprint("own", now), Tokens: int64(50 + 600*tokens)}
	parts := []placement.Part{{ID: "short", Tokens: 120}, {ID: fmt.Sprint("short", subject), Tokens: 80}, own}
	target, stream := 400*time.Millisecond, time.Duration(900*draw)*time.Millisecond
	if isLong {
		own.Tokens = int64(200 + min(6500*tokens, 50_000))
		parts = []placement.Part{{ID: "long", Tokens: 500}, {ID: fmt.Sprint("long", subject), Tokens: 4800}, own}
		target, stream = 800*time.Millisecond, time.Duration(1500*draw)*time.Millisecond
	}
	total := parts[0].Tokens + parts[1].Tokens + own.Tokens
	a := p.Place(placement.Query{Service: "s", Zone: fmt.Sprintf("z%d", i%2), Parts: parts, Tokens: total + 500, Target: target}, now)
	a.OnSend(now)
	heldSomewhere := false
	for _, e := range endpoints {
		at, found := e.used[parts[1].ID]
		heldSomewhere = heldSomewhere || found && e.read-at < l.memory
	}
	fetched := false
	if source := endpoints[strings.TrimSuffix(a.FetchFrom, ":1")]; source != nil {
		at, found := source.used[parts[1].ID]
		fetched = found && source.read-at < l.memory
	}
	first, end, read := endpoints[a.Endpoint.ID].run(parts, fetched, l.memory, stream, now)
	if heldSomewhere {
		out.readAgain += max(0, read-int(own.Tokens))
	}
	isLate := first-now > target
	switch {
	case isLong:
		out.long++
		out.lateLong += count(isLate)
	default:
		out.short++
		out.lateSht += count(isLate)
	}
	heap.Push(events, event{first, func() { a.OnAnswerStart(first, true) }})
	heap.Push(events, event{end, func() { a.Done(placement.Answered, end) }})
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// exchange tells all instances what the others have under way and what endpoints report.
func exchange(tables []*placement.Table, endpoints map[string]*modelEndpoint, way string, memory int, now time.Duration) {
	loads := make([]map[string]endpointload.Load, len(tables))
	samples := make([][]endpointload.Sample, len(tables))
	for i, p := range tables {
		p.Sweep(now)
		loads[i], samples[i] = p.OwnLoads(now), p.TakeSamples()
	}
	if way == "own" {
		return
	}
	for i, p := range tables {
		others := map[string]endpointload.Load{}
		for j := range tables {
			if j == i {
				continue
			}
			for id, l := range loads[j] {
				sum := others[id]
				sum.Add(l)
				others[id] = sum
			}
			p.ObserveSamples(samples[j])
		}
		p.SetOthersLoads(others, now)
		reports := map[string]endpointload.Report{}
		for id := range endpoints {
			reports[id] = endpointload.Report{TotalTokens: int64(memory), Age: 100 * time.Millisecond}
		}
		p.SetReports(reports, now)
	}
}
