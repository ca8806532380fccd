package decide

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"guavapier/internal/record"
)

// router is a policy under simulation: a Decider or a baseline.
type router interface {
	SetEndpoints([]Endpoint)
	SetLoadReport(string, LoadReport)
	SetLeaving(string)
	Submit(Request)
	Cancel(RequestID)
	Finish(RequestID, Result)
	Tick(Time) []Decision
}

// call is one request of a caller, including its retries after refusals.
type call struct {
	Request
	wait     time.Duration // How long the caller waits for each attempt.
	sentAt   Time          // Of the last attempt.
	attempts int
	job      *job
	instance int
	done     func(answered bool) // Called after the answer or the last attempt.
	settled  bool
	inWindow bool // First sent within the window.
	served   bool // It has had a first token.
}

type event struct {
	at  Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// tally counts the outcomes for the callers of one class, within the window.
type tally struct {
	calls, served int // Calls first sent in the window, and those of them that were answered in the end.
	// Events in the window. refusedLate counts refusals after more than
	// promptRefusal, unanswered callers who left with neither an answer nor a
	// refusal, and gaveUp those refused maxCallAttempts times.
	answered, refused, refusedLate, unanswered, gaveUp int
	firstTokens                                        []float64 // Seconds to the first token of each answer.
	prompt, cached                                     int       // Tokens.
	completed, slowCompleted                           int       // Complete answers, and those with too much time between tokens.
}

// sim is a discrete event simulation of a few routers in front of a few
// engines.
type sim struct {
	now          Time
	seq          int
	events       eventHeap
	seed         uint64
	fleetRNG     *rand.Rand // Of the load balancer and the lost reports.
	workloadRNG  *rand.Rand // The same sequence under every policy.
	sessionCount int        // Sessions started.
	openCalls    int        // Calls that are not settled.
	routers      []router
	engines      []*engineModel
	byName       map[string]*engineModel
	calls        []map[RequestID]*call // Of each router, those without an outcome.
	lastID       RequestID
	windowStart  Time // Outcomes count from here on.
	windowEnd    Time // Answers count up to here; later ones are under no load any more.

	classes    [classCount]tally
	teams      map[record.Team]int
	violations []string
	trace      []Decision // The decisions, if keepTrace is set.
	keepTrace  bool
}

const (
	tickInterval    = 10 * time.Millisecond
	reportDelay     = 200 * time.Millisecond
	reportLossRate  = 0.1
	promptRefusal   = 20 * time.Millisecond // A refusal within it counts as immediate.
	maxCallAttempts = 3
	slowTokenGap    = 38 * time.Millisecond // The users' limit for the average time between tokens.
	tailWindow      = 20 * time.Second      // At the end of the window; see engineModel.tailAnswers.
)

// reportInterval is the time between two load reports of an endpoint.
// BenchmarkPolicies may change it before its runs.
var reportInterval = 100 * time.Millisecond

func newSim(seed uint64, gpus []int, instances int, build func(i int) router) *sim {
	s := &sim{
		seed: seed, fleetRNG: rand.New(rand.NewPCG(seed, 1)), workloadRNG: rand.New(rand.NewPCG(seed, 2)),
		byName: map[string]*engineModel{}, teams: map[record.Team]int{},
	}
	for i, n := range gpus {
		e := &engineModel{name: fmt.Sprintf("e%02d", i), gpus: n, sim: s, cache: map[string]int{}}
		s.engines = append(s.engines, e)
		s.byName[e.name] = e
	}
	for i := range instances {
		s.routers = append(s.routers, build(i))
		s.calls = append(s.calls, map[RequestID]*call{})
	}
	s.publishEndpoints(func(e *engineModel) float64 { return float64(e.gpus) })
	s.every(reportInterval, s.sendReports)
	s.every(tickInterval, func() {
		for i := range s.routers {
			s.tick(i)
		}
	})
	return s
}

// publishEndpoints gives every router the endpoint table with the weights.
func (s *sim) publishEndpoints(weight func(*engineModel) float64) {
	var table []Endpoint
	for _, e := range s.engines {
		table = append(table, Endpoint{
			Name: e.name, Zone: record.Zone(s.zone(e)), Models: []string{"m"},
			Slots: e.slots(), Weight: weight(e), Leaving: e.leaving,
		})
	}
	for _, r := range s.routers {
		r.SetEndpoints(table)
	}
}

// zone spreads the engines over four zones.
func (s *sim) zone(e *engineModel) string { return fmt.Sprintf("z%d", slices.Index(s.engines, e)%4) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) every(d time.Duration, run func()) {
	s.after(d, func() {
		run()
		s.every(d, run)
	})
}

func (s *sim) run(until Time) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// sendReports sends the load of each engine to each instance, with a delay;
// some reports are lost.
func (s *sim) sendReports() {
	for _, e := range s.engines {
		r := e.report(s.now)
		for i := range s.routers {
			if s.fleetRNG.Float64() < reportLossRate || e.unreachable {
				continue
			}
			s.after(reportDelay, func() { s.routers[i].SetLoadReport(e.name, r) })
		}
	}
}

// send submits a call to a random instance, as the load balancer does.
func (s *sim) send(c *call) {
	s.lastID++
	c.ID, c.sentAt, c.Deadline = s.lastID, s.now, s.now+c.wait
	if c.attempts++; c.attempts == 1 {
		s.openCalls++
	}
	c.instance = s.fleetRNG.IntN(len(s.routers))
	c.job = nil
	s.calls[c.instance][c.ID] = c
	if s.now >= s.windowStart && c.attempts == 1 {
		c.inWindow = true
		s.classes[c.Priority].calls++
	}
	s.routers[c.instance].Submit(c.Request)
	id := c.ID
	s.after(c.wait, func() { s.onDeadline(c, id) })
	s.tick(c.instance)
}

// tick ticks the router of one instance and carries out its decisions.
func (s *sim) tick(i int) {
	for _, d := range append([]Decision(nil), s.routers[i].Tick(s.now)...) {
		if s.keepTrace {
			s.trace = append(s.trace, d)
		}
		c, ok := s.calls[i][d.Request]
		if !ok || c.ID != d.Request || c.job != nil {
			s.addViolation("%v: decision on a request that is unknown or was decided before: %+v", s.now, d)
			continue
		}
		if d.Kind == Refuse {
			delete(s.calls[i], d.Request)
			s.onRefusal(c, d)
			continue
		}
		s.start(c, s.byName[d.Endpoint])
	}
}

func (s *sim) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *sim) start(c *call, e *engineModel) {
	c.job = &job{call: c, id: c.ID, instance: c.instance, engine: e, started: s.now}
	if e.leaving {
		s.addViolation("%v: start at %s, which leaves", s.now, e.name)
	}
	if e.unreachable {
		j := c.job
		s.after(time.Second, func() { s.fail(j) })
		return
	}
	e.addJob(c.job)
}

// fail ends an attempt at an unreachable endpoint; the instance retries the
// call elsewhere.
func (s *sim) fail(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	delete(s.calls[j.instance], j.id)
	s.routers[j.instance].Finish(j.id, Result{Failed: true, Total: s.now - j.started})
	c := j.call
	c.Avoid = append(c.Avoid, j.engine.name)
	s.lastID++
	c.ID, c.job = s.lastID, nil
	s.calls[c.instance][c.ID] = c
	s.routers[c.instance].Submit(c.Request)
	id := c.ID
	s.after(c.Deadline-s.now, func() { s.onDeadline(c, id) })
	s.tick(c.instance)
}

// onRefusal retries a refused call after RetryAfter, or gives it up after
// maxCallAttempts.
func (s *sim) onRefusal(c *call, d Decision) {
	t := &s.classes[c.Priority]
	if s.now >= s.windowStart {
		t.refused++
		if s.now-c.sentAt > promptRefusal {
			t.refusedLate++
		}
	}
	if c.attempts >= maxCallAttempts {
		s.settle(c, false)
		if s.now >= s.windowStart {
			t.gaveUp++
		}
		return
	}
	c.Avoid = nil
	if d.RetryAfter < 0 {
		s.addViolation("%v: negative RetryAfter %v", s.now, d.RetryAfter)
	}
	s.after(max(0, d.RetryAfter), func() { s.send(c) })
}

// settle ends a call.
func (s *sim) settle(c *call, answered bool) {
	if c.settled {
		s.addViolation("%v: call settled twice", s.now)
	}
	c.settled = true
	s.openCalls--
	c.done(answered)
}

// onDeadline ends a call without a first token when its caller stops waiting.
func (s *sim) onDeadline(c *call, id RequestID) {
	if c.ID != id || s.calls[c.instance][id] != c || c.job != nil && c.job.tokens > 0 {
		return
	}
	delete(s.calls[c.instance], id)
	if s.now >= s.windowStart {
		s.classes[c.Priority].unanswered++
	}
	if j := c.job; j != nil {
		j.engine.removeJob(j)
		s.routers[c.instance].Finish(id, Result{Failed: true, Abandoned: true, Total: s.now - j.started})
	} else {
		s.routers[c.instance].Cancel(id)
	}
	s.settle(c, false)
}

func (s *sim) onFirstToken(j *job) {
	if d, ok := s.routers[j.instance].(*Decider); ok {
		d.ObserveFirstToken(j.id, s.now-j.started)
	}
	t := &s.classes[j.Priority]
	if j.inWindow && !j.served {
		t.served++
	}
	j.served = true
	if s.now < s.windowStart || s.now > s.windowEnd {
		return
	}
	t.answered++
	t.firstTokens = append(t.firstTokens, (s.now - j.sentAt).Seconds())
	t.prompt += j.PromptTokens
	t.cached += j.cached
	s.teams[j.Team]++
}

func (s *sim) onFinish(j *job, r Result) {
	j.ended = true
	delete(s.calls[j.instance], j.id)
	s.routers[j.instance].Finish(j.id, r)
	if s.now >= s.windowStart {
		s.classes[j.Priority].completed++
		if r.Total-r.FirstToken > slowTokenGap*time.Duration(r.Tokens) {
			s.classes[j.Priority].slowCompleted++
		}
	}
	if s.now >= s.windowEnd-tailWindow && s.now <= s.windowEnd {
		j.engine.tailAnswers++
	}
	s.settle(j.call, true)
	s.tick(j.instance)
}
