package decide

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/record"
)

// harness drives two Deciders of the same seed with the same random input and
// checks that they agree and that each request gets exactly one decision.
type harness struct {
	d, twin   *Decider
	now       Time
	table     []Endpoint
	leaving   map[string]bool
	undecided map[RequestID]Request // Submitted, without a decision and not cancelled.
	started   map[RequestID]string  // Endpoints of the started requests.
	inFlight  map[string]int
	lastID    RequestID
}

func (m *harness) onBoth(do func(*Decider)) {
	do(m.d)
	do(m.twin)
}

func (m *harness) row(name string) *Endpoint {
	for i := range m.table {
		if m.table[i].Name == name {
			return &m.table[i]
		}
	}
	return nil
}

// drawTable lists a random subset of eight endpoints whose configuration
// never changes.
func (m *harness) drawTable(t *rapid.T) {
	m.table = nil
	for i := range 8 {
		if !rapid.Bool().Draw(t, "listed") {
			delete(m.leaving, fmt.Sprintf("e%d", i)) // A removed endpoint that is listed again starts with no announcement.
			continue
		}
		e := Endpoint{Name: fmt.Sprintf("e%d", i), Slots: 1 + i%3, Weight: float64(1 + i%2), Zone: record.Zone(fmt.Sprintf("z%d", i%2))}
		e.Models = []string{"m", "n"}[:1+i%2]
		if i == 6 {
			e.Team = "a"
		}
		if i == 7 {
			e.Service, e.Models = "rig", nil
		}
		e.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
		m.table = append(m.table, e)
	}
	m.onBoth(func(d *Decider) { d.SetEndpoints(m.table) })
}

func (m *harness) submit(t *rapid.T) {
	m.lastID++
	r := Request{
		ID: m.lastID, Team: record.Team(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")),
		Session: record.SessionID(rapid.SampledFrom([]string{"", "s", "t", "u"}).Draw(t, "session")),
		Model:   rapid.SampledFrom([]string{"m", "n", "unknown"}).Draw(t, "model"),
		Service: rapid.SampledFrom([]string{"", "", "rig"}).Draw(t, "service"), Priority: Priority(rapid.IntRange(0, 4).Draw(t, "priority")),
		Deadline:     m.now + time.Duration(rapid.IntRange(-1, 5000).Draw(t, "wait"))*time.Millisecond,
		PromptTokens: rapid.IntRange(0, 9000).Draw(t, "prompt"), MaxTokens: rapid.IntRange(0, 900).Draw(t, "max"),
		Repeatable: rapid.Bool().Draw(t, "repeatable"), Attempt: rapid.IntRange(0, 2).Draw(t, "attempt"),
	}
	if rapid.IntRange(0, 3).Draw(t, "avoids") == 0 {
		r.Avoid = []string{fmt.Sprintf("e%d", rapid.IntRange(0, 7).Draw(t, "avoid"))}
	}
	m.undecided[r.ID] = r
	m.onBoth(func(d *Decider) { d.Submit(r) })
}

func (m *harness) tick(t *rapid.T) {
	got, other := slices.Clone(m.d.Tick(m.now)), m.twin.Tick(m.now)
	if len(got)+len(other) > 0 && !reflect.DeepEqual(got, other) {
		t.Fatalf("different decisions for the same input: %v and %v", got, other)
	}
	for _, d := range got {
		r, ok := m.undecided[d.Request]
		if !ok {
			t.Fatalf("decision on a request that was decided before or never submitted: %+v", d)
		}
		delete(m.undecided, d.Request)
		if d.Kind == Refuse {
			if d.RetryAfter < minRetryAfter || d.RetryAfter > 2*maxRetryAfter {
				t.Fatalf("RetryAfter %v is out of bounds", d.RetryAfter)
			}
			continue
		}
		m.checkStart(t, r, d.Endpoint)
	}
}

// checkStart checks that the endpoint is listed, serves the request and has a
// free slot, and that the deadline is not over.
func (m *harness) checkStart(t *rapid.T, r Request, name string) {
	e := m.row(name)
	switch {
	case e == nil || e.Leaving || m.leaving[name]:
		t.Fatalf("%v: start at %s, which is not listed or leaves", m.now, name)
	case slices.Contains(r.Avoid, name) || e.Service != r.Service || e.Team != "" && e.Team != r.Team:
		t.Fatalf("request %+v started at an endpoint that it avoids or that does not serve it: %+v", r, *e)
	case r.Service == "" && !slices.Contains(e.Models, r.Model):
		t.Fatalf("request for model %s started at %+v, which does not serve it", r.Model, *e)
	case m.now >= r.Deadline:
		t.Fatalf("request %+v started at %v, after its deadline", r, m.now)
	}
	m.started[r.ID] = name
	m.inFlight[name]++
	if m.inFlight[name] > e.Slots {
		t.Fatalf("%s runs %d requests in %d slots", name, m.inFlight[name], e.Slots)
	}
}

func (m *harness) finish(t *rapid.T) {
	if len(m.started) == 0 {
		return
	}
	ids := make([]RequestID, 0, len(m.started))
	for id := range m.started {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "finished")
	r := Result{
		Total: time.Duration(rapid.IntRange(0, 9000).Draw(t, "total")) * time.Millisecond, Tokens: rapid.IntRange(0, 500).Draw(t, "tokens"),
		Failed: rapid.IntRange(0, 2).Draw(t, "failed") == 0, Stalled: rapid.Bool().Draw(t, "silent"),
	}
	r.FirstToken = r.Total / 2
	m.inFlight[m.started[id]]--
	delete(m.started, id)
	m.onBoth(func(d *Decider) { d.Finish(id, r) })
}

func (m *harness) cancel(t *rapid.T) {
	id := RequestID(rapid.Uint64Range(0, uint64(m.lastID)).Draw(t, "cancelled"))
	delete(m.undecided, id)
	m.onBoth(func(d *Decider) { d.Cancel(id) })
}

func (m *harness) report(t *rapid.T) {
	name := fmt.Sprintf("e%d", rapid.IntRange(0, 7).Draw(t, "endpoint"))
	if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
		m.leaving[name] = m.row(name) != nil
		m.onBoth(func(d *Decider) { d.SetLeaving(name) })
		return
	}
	r := LoadReport{Running: rapid.IntRange(0, 5).Draw(t, "running"), Queued: rapid.IntRange(0, 7).Draw(t, "queued"), At: m.now}
	m.onBoth(func(d *Decider) { d.SetLoadReport(name, r); d.SetCached(name, "s", r.Running) })
}

// TestAnyInput checks for any input that the same seed and input give the
// same decisions; that each request is decided exactly once; that none starts
// at an endpoint that may not take it or after its deadline; and that an
// endpoint never runs more requests than it has slots.
func TestAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := Options{Seed: rapid.Uint64().Draw(t, "seed"), Zone: "z0"}
		m := &harness{
			d: New(opts), twin: New(opts), leaving: map[string]bool{}, undecided: map[RequestID]Request{},
			started: map[RequestID]string{}, inFlight: map[string]int{},
		}
		m.drawTable(t)
		steps := []func(*rapid.T){m.submit, m.submit, m.submit, m.tick, m.tick, m.finish, m.finish, m.cancel, m.report, m.report}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if n := rapid.IntRange(0, len(steps)).Draw(t, "step"); n < len(steps) {
				steps[n](t)
			} else if m.now < selfLeavingTTL {
				m.drawTable(t)
			}
		}
		m.now += 10 * time.Second
		m.tick(t)
		if len(m.undecided) > 0 || m.d.Queued() > 0 {
			t.Fatalf("%d requests without a decision, %d queued", len(m.undecided), m.d.Queued())
		}
		if m.d.Running() != len(m.started) {
			t.Fatalf("the Decider counts %d running requests, the test %d", m.d.Running(), len(m.started))
		}
	})
}
