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
	// maxEntries bounds the table, mostOfTeam what one organisation may have in it.
	maxEntries        = 4096
	maxEntriesPerTeam = 256
)

// Table knows requests under which endpoints have ended. It is safe for concurrent use.
type Table struct {
	self record.InstanceID
	size atomic.Int64 // Of entries.

	mu              sync.Mutex // Guards the rest.
	entries         map[Fingerprint]*entry
	countByMetadata map[metadataHash]int // Entries by place.
	countByTeam     map[record.Team]int  // Entries by organisation.
	crashes         map[string]*crash    // By the endpoint that ended.
}

// crash is an endpoint's end.
type crash struct {
	knownSince time.Time // Since when.
	entries    []*entry  // Of requests that were under way there.
}

// NewTable returns the empty table of an instance.
func NewTable(self record.InstanceID) *Table {
	return &Table{self: self, entries: map[Fingerprint]*entry{}, countByMetadata: map[metadataHash]int{}, countByTeam: map[record.Team]int{}, crashes: map[string]*crash{}}
}

// find returns the content's fingerprint if the table has it. The body is hashed only if
// a request with the same place is known.
func (t *Table) find(c Content) (Fingerprint, bool) {
	if t.size.Load() == 0 {
		return Fingerprint{}, false
	}
	t.mu.Lock()
	known := t.countByMetadata[c.metadataHash()] > 0
	t.mu.Unlock()
	if !known {
		return Fingerprint{}, false
	}
	f := c.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	return f, t.entries[f] != nil
}

// recordCrash notes that an endpoint recordCrash under a request, and returns what others are to
// know of that; nil for nothing.
func (t *Table) recordCrash(f Fingerprint, team record.Team, endpoint string, underWay time.Duration, now time.Time) *entryRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.ensureEntry(f, team)
	if e.hasEndpoint(endpoint) {
		return nil
	}
	t.addCrash(e, endpoint, now.Add(-underWay), now, true)
	e.writer = t.self
	r := e.toRecord()
	r.UnderWay = underWay
	return r
}

func (t *Table) addCrash(e *entry, endpoint string, startedAt, now time.Time, local bool) {
	if dropped := e.addCrash(endpoint, startedAt, now, local); dropped != "" {
		t.unlinkCrash(dropped, e)
	}
	if t.crashes[endpoint] == nil {
		t.crashes[endpoint] = &crash{knownSince: now}
	}
	t.crashes[endpoint].entries = append(t.crashes[endpoint].entries, e)
}

// observe takes a record of the log; old says that it has been there for a while.
func (t *Table) observe(f Fingerprint, r *entryRecord, replayed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.ensureEntry(f, r.Team)
	e.writer = r.Writer
	knownSince := now
	if replayed {
		knownSince = now.Add(-reportGracePeriod)
	}
	for _, endpoint := range r.Endpoints {
		if !e.hasEndpoint(endpoint) {
			t.addCrash(e, endpoint, knownSince.Add(-r.UnderWay), knownSince, false)
		}
	}
	if r.RetestRound > e.retestRound {
		e.retestRound, e.retestBy = r.RetestRound, r.RetestBy
	}
	if r.Crashes > e.crashes {
		e.crashes, e.lastCrash, e.seenLocally = r.Crashes, now, false
	}
	e.extendQuarantine(earlier(r.until(), now.Add(quarantineDuration(e.retestRound)))) // The clocks of two instances may differ.
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
	return t.remove(f)
}

// check returns a HeldError while the request is check; due says that it may be tried.
func (t *Table) check(f Fingerprint, now time.Time) (quarantined *QuarantinedError, retestDue bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil || !t.isQuarantined(e, now) {
		return nil, false
	}
	return &QuarantinedError{Fingerprint: f, Crashes: e.crashes, RetryAfter: max(e.quarantinedUntil.Sub(now), 0)}, !now.Before(e.quarantinedUntil)
}

func (t *Table) isQuarantined(e *entry, now time.Time) bool {
	return e.crashes >= crashesToQuarantine && e.staleFor(now) < 0 && t.unexplainedCrashes(e, now) >= crashesToQuarantine
}

// unexplainedCrashes counts the endpoints whose end no other request explains better that was
// under way there: one under which more endpoints have ended, or as many as long as they
// are the fewest that can be blamed. Ends of which reports may be on their way don't count.
func (t *Table) unexplainedCrashes(e *entry, now time.Time) int {
	ownCrashes, count := t.fullyReportedCrashes(e, now), 0
	explainsBetter := func(other *entry) bool {
		crashes := t.fullyReportedCrashes(other, now)
		return crashes > ownCrashes || other != e && crashes == ownCrashes && ownCrashes == crashesToQuarantine
	}
	for _, endpoint := range e.endpoints {
		if c := t.crashes[endpoint]; c.isFullyReported(now) && !slices.ContainsFunc(c.entries, explainsBetter) {
			count++
		}
	}
	return count
}

// fullyReportedCrashes counts the endpoints that ended under a request, as far as all is known of that.
func (t *Table) fullyReportedCrashes(e *entry, now time.Time) (n int) {
	for _, endpoint := range e.endpoints {
		if t.crashes[endpoint].isFullyReported(now) {
			n++
		}
	}
	return n
}

func (c *crash) isFullyReported(now time.Time) bool {
	return now.Sub(c.knownSince) >= reportGracePeriod
}

// retestClaim returns the record that asks for the right to the next retest.
func (t *Table) retestClaim(f Fingerprint, now time.Time) *entryRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil {
		return nil
	}
	r := e.toRecord()
	r.Writer, r.RetestBy = t.self, t.self
	r.RetestRound++
	r.Until = now.Add(quarantineDuration(r.RetestRound)).UnixMilli()
	return r
}

// records returns what is known of each request.
func (t *Table) records() map[Fingerprint]*entryRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make(map[Fingerprint]*entryRecord, len(t.entries))
	for f, e := range t.entries {
		records[f] = e.toRecord()
	}
	return records
}

// retestResult says whether a retest has been given, and whether to this instance.
func (t *Table) retestResult(f Fingerprint, round int) (decided, won bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil {
		return true, true // Cleared meanwhile.
	}
	return e.retestRound >= round, e.retestRound == round && e.retestBy == t.self
}

// sweep forgets what is no more worth keeping, and returns what is to be cleared on the
// log: an instance's own records, and later those of instances that are gone.
func (t *Table) sweep(now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cleared []Fingerprint
	for f, e := range t.entries {
		stale := e.staleFor(now)
		if stale < 0 || e.writer != t.self && stale < e.orphanGracePeriod {
			continue
		}
		t.remove(f)
		cleared = append(cleared, f)
	}
	return cleared
}

// ensureEntry returns the ensureEntry of a request, a new one if there is none.
func (t *Table) ensureEntry(f Fingerprint, team record.Team) *entry {
	if e := t.entries[f]; e != nil {
		return e
	}
	t.evictIfFull(team)
	e := &entry{team: team, orphanGracePeriod: entryTTL + rand.N(entryTTL)} // Not all instances at once.
	t.entries[f] = e
	t.countByMetadata[f.metadataHash()]++
	t.countByTeam[team]++
	t.size.Store(int64(len(t.entries)))
	return e
}

// evictIfFull keeps to the bounds. The organisation that has the most loses what says least,
// so that none can push out another's.
func (t *Table) evictIfFull(team record.Team) {
	evictFrom := team
	switch {
	case t.countByTeam[team] >= maxEntriesPerTeam:
	case len(t.entries) < maxEntries:
		return
	default:
		for other, n := range t.countByTeam {
			if n > t.countByTeam[evictFrom] {
				evictFrom = other
			}
		}
	}
	var victim Fingerprint
	var victimEntry *entry
	for f, e := range t.entries {
		if e.team == evictFrom && (victimEntry == nil || e.isLessRelevant(victimEntry)) {
			victim, victimEntry = f, e
		}
	}
	t.remove(victim)
}

func (e *entry) isLessRelevant(other *entry) bool {
	if e.crashes != other.crashes {
		return e.crashes < other.crashes
	}
	return e.lastCrash.Before(other.lastCrash)
}

func (t *Table) remove(f Fingerprint) bool {
	e := t.entries[f]
	if e == nil {
		return false
	}
	delete(t.entries, f)
	decrement(t.countByMetadata, f.metadataHash())
	decrement(t.countByTeam, e.team)
	for _, endpoint := range e.endpoints {
		t.unlinkCrash(endpoint, e)
	}
	t.size.Store(int64(len(t.entries)))
	return true
}

// unlinkCrash takes a request from those under which an endpoint ended.
func (t *Table) unlinkCrash(endpoint string, e *entry) {
	c := t.crashes[endpoint]
	c.entries = slices.DeleteFunc(c.entries, func(other *entry) bool { return other == e })
	if len(c.entries) == 0 {
		delete(t.crashes, endpoint)
	}
}

func decrement[K comparable](counts map[K]int, key K) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// Row is one request as a state dump shows it.
type Row struct {
	Content          string      `json:"content"`
	Organisation     record.Team `json:"organisation"`
	Crashes          int         `json:"ends"`
	Endpoints        []string    `json:"endpoints"`
	Retests          int         `json:"retests"`
	QuarantinedUntil *time.Time  `json:"held_until,omitempty"`
}

// View copies the table as it is at that time.
func (t *Table) View(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]Row, 0, len(t.entries))
	for f, e := range t.entries {
		row := Row{Content: f.String(), Organisation: e.team, Crashes: e.crashes, Endpoints: slices.Clone(e.endpoints), Retests: e.retestRound}
		if t.isQuarantined(e, now) {
			until := e.quarantinedUntil
			row.QuarantinedUntil = &until
		}
		rows = append(rows, row)
	}
	return rows
}

// CountQuarantined returns how many requests are held at that time.
func (t *Table) CountQuarantined(now time.Time) (n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if t.isQuarantined(e, now) {
			n++
		}
	}
	return n
}
