package decide

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const defaultRetryAfter = time.Second

type endpointRow struct {
	Endpoint
	inFlight int
	report   Report
}

type requestRow struct {
	Request
	endpoint string // Set while it runs.
}

// Decider holds the tables and runs the systems over them. It is not safe for
// concurrent use.
type Decider struct {
	endpoints map[string]*endpointRow
	queue     []*requestRow
	running   map[RequestID]*requestRow
}

// New returns a Decider with empty tables.
func New() *Decider {
	return &Decider{
		endpoints: map[string]*endpointRow{},
		running:   map[RequestID]*requestRow{},
	}
}

// SetEndpoints replaces the endpoint table. Rows that stay keep their state.
func (d *Decider) SetEndpoints(endpoints []Endpoint) {
	next := make(map[string]*endpointRow, len(endpoints))
	for _, e := range endpoints {
		row, ok := d.endpoints[e.Name]
		if !ok {
			row = &endpointRow{}
		}
		row.Endpoint = e
		next[e.Name] = row
	}
	d.endpoints = next
}

// SetReport takes an endpoint's load report.
func (d *Decider) SetReport(endpoint string, r Report) {
	if row, ok := d.endpoints[endpoint]; ok {
		row.report = r
	}
}

// SetLeaving takes an endpoint out of placement on its own word.
func (d *Decider) SetLeaving(endpoint string) {
	if row, ok := d.endpoints[endpoint]; ok {
		row.Leaving = true
	}
}

// Submit queues a request. Its decision comes from a later Tick.
func (d *Decider) Submit(r Request) {
	d.queue = append(d.queue, &requestRow{Request: r})
}

// Cancel forgets a request whose caller is gone. It has no effect on one that
// was started; that one ends with Finish.
func (d *Decider) Cancel(id RequestID) {
	d.queue = slices.DeleteFunc(d.queue, func(r *requestRow) bool { return r.ID == id })
}

// Finish ends a started request.
func (d *Decider) Finish(id RequestID, _ Result) {
	row, ok := d.running[id]
	if !ok {
		return
	}
	delete(d.running, id)
	if e, ok := d.endpoints[row.endpoint]; ok {
		e.inFlight--
	}
}

// Tick runs all systems once and returns their decisions.
func (d *Decider) Tick(now Time) []Decision {
	var out []Decision
	kept := d.queue[:0]
	for _, r := range d.queue {
		decision, decided := d.decide(now, r)
		if !decided {
			kept = append(kept, r)
			continue
		}
		out = append(out, decision)
	}
	d.queue = kept
	return out
}

func (d *Decider) decide(now Time, r *requestRow) (Decision, bool) {
	if now >= r.Deadline {
		return Decision{Kind: Refuse, Request: r.ID, Code: CodeDeadline, RetryAfter: defaultRetryAfter}, true
	}
	e, any := d.place(r)
	if !any {
		return Decision{Kind: Refuse, Request: r.ID, Code: CodeNoEndpoint, RetryAfter: defaultRetryAfter}, true
	}
	if e == nil {
		return Decision{}, false
	}
	e.inFlight++
	r.endpoint = e.Name
	d.running[r.ID] = r
	return Decision{Kind: Start, Request: r.ID, Endpoint: e.Name}, true
}

// place returns the free endpoint with the highest weighted rendezvous score
// for the session, and whether any endpoint can serve the request at all.
func (d *Decider) place(r *requestRow) (best *endpointRow, any bool) {
	bestScore := math.Inf(-1)
	for _, e := range d.endpoints {
		if !e.serves(&r.Request) {
			continue
		}
		any = true
		if e.inFlight >= e.Slots {
			continue
		}
		score := rendezvous(string(r.Session), e.Name, e.Weight)
		if score > bestScore {
			best, bestScore = e, score
		}
	}
	return best, any
}

func (e *endpointRow) serves(r *Request) bool {
	if e.Leaving || e.Service != r.Service || slices.Contains(r.Avoid, e.Name) {
		return false
	}
	if e.Team != "" && e.Team != r.Team {
		return false
	}
	return r.Service != "" || slices.Contains(e.Models, r.Model)
}

// rendezvous returns the weighted rendezvous score of a key at a node.
func rendezvous(key, node string, weight float64) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(node)
	unit := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}
