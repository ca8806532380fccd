package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"guavapier/internal/record"
)

const (
	// mostEntries bounds the table, mostOfTeam what one organisation may have in it.
	mostEntries = 4096
	mostOfTeam  = 256
)

// Table knows requests under which endpoints have ended. It is safe for concurrent use.
type Table struct {
	self record.InstanceID
	size atomic.Int64 // Of entries.

	mu      sync.Mutex // Guards the rest.
	entries map[Fingerprint]*entry
	places  map[place]int       // Entries by place.
	teams   map[record.Team]int // Entries by organisation.
	under   map[string]*ending  // By the endpoint that ended.
}

// ending is an endpoint's end.
type ending struct {
	known   time.Time // Since when.
	entries []*entry  // Of requests that were under way there.
}

// NewTable returns the empty table of an instance.
func NewTable(self record.InstanceID) *Table {
	return &Table{self: self, entries: map[Fingerprint]*entry{}, places: map[place]int{}, teams: map[record.Team]int{}, under: map[string]*ending{}}
}

// find returns the content's fingerprint if the table has it. The body is hashed only if
// a request with the same place is known.
func (t *Table) find(c Content) (Fingerprint, bool) {
	if t.size.Load() == 0 {
		return Fingerprint{}, false
	}
	t.mu.Lock()
	known := t.places[c.place()] > 0
	t.mu.Unlock()
	if !known {
		return Fingerprint{}, false
	}
	f := c.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	return f, t.entries[f] != nil
}

// ended notes that an endpoint ended under a request, and returns what others are to
// know of that; nil for nothing.
func (t *Table) ended(f Fingerprint, team record.Team, endpoint string, underWay time.Duration, now time.Time) *report {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(f, team)
	if e.has(endpoint) {
		return nil
	}
	t.end(e, endpoint, now.Add(-underWay), now, true)
	e.writer = t.self
	r := e.report()
	r.UnderWay = underWay
	return r
}

func (t *Table) end(e *entry, endpoint string, began, now time.Time, here bool) {
	if dropped := e.end(endpoint, began, now, here); dropped != "" {
		t.forget(dropped, e)
	}
	if t.under[endpoint] == nil {
		t.under[endpoint] = &ending{known: now}
	}
	t.under[endpoint].entries = append(t.under[endpoint].entries, e)
}

// hear takes a record of the log; old says that it has been there for a while.
func (t *Table) hear(f Fingerprint, r *report, old bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(f, r.Team)
	e.writer = r.Writer
	known := now
	if old {
		known = now.Add(-settleFor)
	}
	for _, endpoint := range r.Endpoints {
		if !e.has(endpoint) {
			t.end(e, endpoint, known.Add(-r.UnderWay), known, false)
		}
	}
	if r.Round > e.round {
		e.round, e.retestBy = r.Round, r.RetestBy
	}
	if r.Ends > e.ends {
		e.ends, e.lastEnd, e.seenHere = r.Ends, now, false
	}
	e.hold(earlier(r.until(), now.Add(holdOf(e.round)))) // The clocks of two instances may differ.
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// clear forgets a request and says whether it was known.
func (t *Table) clear(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drop(f)
}

// held returns a HeldError while the request is held; due says that it may be tried.
func (t *Table) held(f Fingerprint, now time.Time) (held *HeldError, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil || !t.isHeld(e, now) {
		return nil, false
	}
	return &HeldError{Fingerprint: f, Ends: e.ends, After: max(e.until.Sub(now), 0)}, !now.Before(e.until)
}

func (t *Table) isHeld(e *entry, now time.Time) bool {
	return e.ends >= endsToHold && e.staleFor(now) < 0 && t.unexplained(e, now) >= endsToHold
}

// unexplained counts the endpoints whose end no other request explains better that was
// under way there: one under which more endpoints have ended, or as many as long as they
// are the fewest that can be blamed. Ends of which reports may be on their way don't count.
func (t *Table) unexplained(e *entry, now time.Time) int {
	own, left := t.settled(e, now), 0
	better := func(other *entry) bool {
		ends := t.settled(other, now)
		return ends > own || other != e && ends == own && own == endsToHold
	}
	for _, endpoint := range e.endpoints {
		if at := t.under[endpoint]; at.isSettled(now) && !slices.ContainsFunc(at.entries, better) {
			left++
		}
	}
	return left
}

// settled counts the endpoints that ended under a request, as far as all is known of that.
func (t *Table) settled(e *entry, now time.Time) (n int) {
	for _, endpoint := range e.endpoints {
		if t.under[endpoint].isSettled(now) {
			n++
		}
	}
	return n
}

func (a *ending) isSettled(now time.Time) bool { return now.Sub(a.known) >= settleFor }

// claim returns the record that asks for the right to the next retest.
func (t *Table) claim(f Fingerprint, now time.Time) *report {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil {
		return nil
	}
	r := e.report()
	r.Writer, r.RetestBy = t.self, t.self
	r.Round++
	r.Until = now.Add(holdOf(r.Round)).UnixMilli()
	return r
}

// all returns what is known of each request.
func (t *Table) all() map[Fingerprint]*report {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[Fingerprint]*report, len(t.entries))
	for f, e := range t.entries {
		all[f] = e.report()
	}
	return all
}

// decided says whether a retest has been given, and whether to this instance.
func (t *Table) decided(f Fingerprint, round int) (decided, won bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil {
		return true, true // Cleared meanwhile.
	}
	return e.round >= round, e.round == round && e.retestBy == t.self
}

// sweep forgets what is no more worth keeping, and returns what is to be cleared on the
// log: an instance's own records, and later those of instances that are gone.
func (t *Table) sweep(now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cleared []Fingerprint
	for f, e := range t.entries {
		stale := e.staleFor(now)
		if stale < 0 || e.writer != t.self && stale < e.orphanAfter {
			continue
		}
		t.drop(f)
		cleared = append(cleared, f)
	}
	return cleared
}

// entry returns the entry of a request, a new one if there is none.
func (t *Table) entry(f Fingerprint, team record.Team) *entry {
	if e := t.entries[f]; e != nil {
		return e
	}
	t.makeRoom(team)
	e := &entry{team: team, orphanAfter: keepFor + rand.N(keepFor)} // Not all instances at once.
	t.entries[f] = e
	t.places[f.place()]++
	t.teams[team]++
	t.size.Store(int64(len(t.entries)))
	return e
}

// makeRoom keeps to the bounds. The organisation that has the most loses what says least,
// so that none can push out another's.
func (t *Table) makeRoom(team record.Team) {
	from := team
	switch {
	case t.teams[team] >= mostOfTeam:
	case len(t.entries) < mostEntries:
		return
	default:
		for other, n := range t.teams {
			if n > t.teams[from] {
				from = other
			}
		}
	}
	var least Fingerprint
	var worst *entry
	for f, e := range t.entries {
		if e.team == from && (worst == nil || e.saysLess(worst)) {
			least, worst = f, e
		}
	}
	t.drop(least)
}

func (e *entry) saysLess(other *entry) bool {
	if e.ends != other.ends {
		return e.ends < other.ends
	}
	return e.lastEnd.Before(other.lastEnd)
}

func (t *Table) drop(f Fingerprint) bool {
	e := t.entries[f]
	if e == nil {
		return false
	}
	delete(t.entries, f)
	decrease(t.places, f.place())
	decrease(t.teams, e.team)
	for _, endpoint := range e.endpoints {
		t.forget(endpoint, e)
	}
	t.size.Store(int64(len(t.entries)))
	return true
}

// forget takes a request from those under which an endpoint ended.
func (t *Table) forget(endpoint string, e *entry) {
	at := t.under[endpoint]
	at.entries = slices.DeleteFunc(at.entries, func(other *entry) bool { return other == e })
	if len(at.entries) == 0 {
		delete(t.under, endpoint)
	}
}

func decrease[K comparable](counts map[K]int, key K) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// Row is one request as a state dump shows it.
type Row struct {
	Content      string      `json:"content"`
	Organisation record.Team `json:"organisation"`
	Ends         int         `json:"ends"`
	Endpoints    []string    `json:"endpoints"`
	Retests      int         `json:"retests"`
	HeldUntil    *time.Time  `json:"held_until,omitempty"`
}

// View copies the table as it is at that time.
func (t *Table) View(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]Row, 0, len(t.entries))
	for f, e := range t.entries {
		row := Row{Content: f.String(), Organisation: e.team, Ends: e.ends, Endpoints: slices.Clone(e.endpoints), Retests: e.round}
		if t.isHeld(e, now) {
			until := e.until
			row.HeldUntil = &until
		}
		rows = append(rows, row)
	}
	return rows
}

// Held returns how many requests are held at that time.
func (t *Table) Held(now time.Time) (n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if t.isHeld(e, now) {
			n++
		}
	}
	return n
}
