package decide

import (
	"fmt"
	"testing"
	"time"

	"guavapier/internal/record"
)

// BenchmarkTick measures a saturated Decider: each operation finishes one
// request, submits one and ticks, which starts one. The slots and the queue
// stay full.
func BenchmarkTick(b *testing.B) {
	for _, endpoints := range []int{22, 100, 640} {
		for _, queued := range []int{1_000, 10_000} {
			b.Run(fmt.Sprintf("endpoints=%d/queued=%d", endpoints, queued), func(b *testing.B) {
				benchTick(b, endpoints, queued)
			})
		}
	}
}

// saturatedDecider drives a Decider whose endpoints of eight slots are all
// busy and whose queue is full, with requests of twenty teams.
type saturatedDecider struct {
	d          *Decider
	now        Time
	lastID     RequestID
	running    []RequestID // In the order of their starts, from index nextFinish on.
	nextFinish int
	sessions   []record.SessionID
}

func newSaturated(endpoints int) *saturatedDecider {
	s := &saturatedDecider{d: New(Options{Seed: 1, Zone: "z0"})}
	var table []Endpoint
	for i := range endpoints {
		table = append(table, Endpoint{
			Name: fmt.Sprintf("e%03d", i), Zone: record.Zone(fmt.Sprintf("z%d", i%4)),
			Models: []string{"m"}, Slots: 8, Weight: float64(1 + i%4),
		})
	}
	s.d.SetEndpoints(table)
	for i := range 1 << 14 {
		s.sessions = append(s.sessions, record.SessionID(fmt.Sprintf("s%d", i)))
	}
	return s
}

var benchTeams = []record.Team{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s", "t"}

func (s *saturatedDecider) submit() {
	s.lastID++
	s.d.Submit(Request{
		ID: s.lastID, Team: benchTeams[int(s.lastID)%len(benchTeams)], Session: s.sessions[mix64(uint64(s.lastID))%uint64(len(s.sessions))],
		Model: "m", Priority: PriorityInteractive, Deadline: s.now + 24*time.Hour, PromptTokens: 4000, MaxTokens: 128,
	})
}

func (s *saturatedDecider) tick() int {
	s.now += time.Millisecond
	starts := 0
	for _, d := range s.d.Tick(s.now) {
		if d.Kind == Start {
			s.running = append(s.running, d.Request)
			starts++
		}
	}
	return starts
}

func (s *saturatedDecider) finish() {
	s.d.Finish(s.running[s.nextFinish], Result{FirstToken: 50 * time.Millisecond, Total: 2 * time.Second, Tokens: 128, Cached: 3500})
	s.nextFinish++
	if s.nextFinish == 1<<16 {
		s.running = append(s.running[:0], s.running[s.nextFinish:]...)
		s.nextFinish = 0
	}
}

func benchTick(b *testing.B, endpoints, queued int) {
	s := newSaturated(endpoints)
	for s.d.Queued() < queued || s.d.Running() < endpoints*8 {
		if s.d.Queued() < queued {
			s.submit()
		}
		if s.tick() == 0 && s.d.Queued() >= queued {
			break // The free slots are kept for the sessions of others.
		}
	}
	s.running = append(make([]RequestID, 0, 1<<18), s.running...)
	starts := 0
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s.finish()
		s.submit()
		starts += s.tick()
	}
	b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
	b.ReportMetric(float64(s.d.Queued()), "queued")
}

// BenchmarkIdleTick ticks a Decider without requests every two milliseconds
// of its time, the interval of package dispatch while requests wait.
func BenchmarkIdleTick(b *testing.B) {
	for _, endpoints := range []int{22, 100, 640} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			s := newSaturated(endpoints)
			b.ReportAllocs()
			for i := range b.N {
				s.d.Tick(Time(i) * 2 * time.Millisecond)
			}
		})
	}
}
