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
	// maxEntries bounds the table, maxEntriesPerTeam the entries of one organisation.
	maxEntries        = 4096
	maxEntriesPerTeam = 512
)

// Table holds the subjects of the requests that were in progress on endpoints that crashed,
// and decides which of them are quarantined. It is safe for concurrent use.
type Table struct {
	self record.InstanceID
	size atomic.Int64 // Length of entries, for use without the lock.

	mu              sync.Mutex // Guards the fields below.
	entries         map[Fingerprint]*entry
	countByMetadata map[metadataHash]int // Number of entries.
	countByTeam     map[record.Team]int  // Number of entries.
	crashes         map[string]*crash    // By the endpoint's incarnation.
	answers         recentAnswers
	clears          clears
}

// crash is the crash of an endpoint.
type crash struct {
	knownSince time.Time // When this instance first knew of it.
	entries    []*entry  // Subjects of the requests that were in progress on the endpoint.
}

// NewTable returns an empty table for the instance self.
func NewTable(self record.InstanceID) *Table {
	return &Table{self: self, entries: map[Fingerprint]*entry{}, countByMetadata: map[metadataHash]int{}, countByTeam: map[record.Team]int{}, crashes: map[string]*crash{}, clears: newClears()}
}

// find reports whether the table has an entry for the request, and returns the fingerprint
// if it has. The body is only hashed if there is an entry with the same metadata hash.
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

// recordCrash records that this instance saw an endpoint crash when a request with the subject
// had been in progress there for underWay. It returns the record for the other instances; nil
// if the crash was known, or the subject was cleared of it.
func (t *Table) recordCrash(s subject, team record.Team, endpoint string, underWay time.Duration, now time.Time) *entryRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clears.has(s.fingerprint, endpoint) {
		return nil
	}
	e := t.ensureEntry(s.fingerprint, team)
	if e.hasEndpoint(endpoint) {
		return nil
	}
	e.part, e.writer = s.part, t.self
	counted := e.crashes
	t.addCrash(e, endpoint, now.Add(-underWay), now, true)
	e.ownEndpoints = append(e.ownEndpoints, endpoint)
	if e.crashes > counted {
		e.countedBy = t.self
	}
	r := e.toRecord()
	r.UnderWay = underWay
	return r
}

// suspects returns the subjects of a request that was in progress on an endpoint when it
// crashed, without the parts that another endpoint has answered lately.
func (t *Table) suspects(c Content, endpoint string, now time.Time) []subject {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(c.subjects(), func(s subject) bool {
		if s.part == "" {
			return false
		}
		answeredBy := t.answers.endpoint(s.part, now)
		return answeredBy != "" && answeredBy != endpoint && t.crashes[answeredBy] == nil
	})
}

// recordAnswer records that an endpoint has answered a request with these parts.
func (t *Table) recordAnswer(parts []string, endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers.add(parts, endpoint, now)
}

// isSuspected reports whether requests with the subject may be held back.
func (t *Table) isSuspected(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	return e != nil && e.crashes >= crashesToSuspect
}

// hasCrashedSince reports whether this instance has learnt since then that the endpoint crashed.
func (t *Table) hasCrashedSince(endpoint string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.crashes[endpoint]
	return c != nil && !c.knownSince.Before(since)
}

// addCrash records the crash with the entry and the entry with the crash.
func (t *Table) addCrash(e *entry, endpoint string, startedAt, now time.Time, local bool) {
	if dropped := e.addCrash(endpoint, startedAt, now, local); dropped != "" {
		t.unlinkCrash(dropped, e)
	}
	if t.crashes[endpoint] == nil {
		t.crashes[endpoint] = &crash{knownSince: now}
	}
	t.crashes[endpoint].entries = append(t.crashes[endpoint].entries, e)
}

// observe merges a record of the log. What the log says after a clear applies. replayed states
// that it was on the log before this instance began to follow it: the records of other requests
// for the same crashes are then there as well. The result is the record that has to replace it, if
// its writer did not know all that this instance has contributed; else nil.
func (t *Table) observe(f Fingerprint, r *entryRecord, replayed bool, now time.Time) (repaired *entryRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clears.revoke(f, r.Endpoints)
	return t.merge(f, r, replayed, now)
}

// observeNeighbour is observe for a record of another instance, whose writer may not know that
// the subject was cleared of some of the crashes. known reports that the table has an entry for
// the subject afterwards.
func (t *Table) observeNeighbour(f Fingerprint, r *entryRecord, now time.Time) (repaired *entryRecord, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r = t.clears.filter(f, r); r != nil {
		repaired = t.merge(f, r, false, now)
	}
	return repaired, t.entries[f] != nil
}

// merge merges a record into the subject's entry. Its parameters are those of observe.
func (t *Table) merge(f Fingerprint, r *entryRecord, replayed bool, now time.Time) (repaired *entryRecord) {
	e := t.ensureEntry(f, r.Team)
	e.writer = r.Writer
	if r.Part != "" {
		e.part = r.Part
	}
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
	if r.CanaryRound > e.canaryRound {
		e.canaryRound, e.canaryBy, e.canaryUntil = r.CanaryRound, r.CanaryBy, now.Add(canaryDuration)
	}
	if r.Crashes > e.crashes {
		e.crashes, e.lastCrash, e.countedBy = r.Crashes, now, r.Writer
	}
	e.extendQuarantine(earlier(r.until(), now.Add(quarantineDuration(e.retestRound)))) // The writer's clock may differ.
	if r.lacks(e, t.self) {
		return e.toRecord()
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// clear removes the entry of a subject and reports whether there was one. None of its crashes
// speaks against the subject any more.
func (t *Table) clear(f Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil {
		return false
	}
	for _, endpoint := range e.endpoints {
		t.clears.add(f, endpoint, now, now)
	}
	return t.remove(f)
}

// observeClears applies what another instance knows of the clears of a subject, and reports
// whether that changed the subject's entry. left is the record of what is left of it, nil for
// nothing.
func (t *Table) observeClears(f Fingerprint, cleared []clearRecord, now time.Time) (left *entryRecord, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range cleared {
		t.clears.add(f, r.Endpoint, now.Add(-max(r.Age, 0)), now)
	}
	e := t.entries[f]
	if e == nil {
		return nil, false
	}
	before := len(e.endpoints)
	t.dropCleared(f, e)
	switch len(e.endpoints) {
	case before:
		return nil, false
	case 0:
		t.remove(f)
		return nil, true
	}
	return e.toRecord(), true
}

// dropCleared removes the crashes from an entry that the subject was cleared of.
func (t *Table) dropCleared(f Fingerprint, e *entry) {
	isCleared := func(endpoint string) bool { return t.clears.has(f, endpoint) }
	for _, endpoint := range e.endpoints {
		if isCleared(endpoint) {
			t.unlinkCrash(endpoint, e)
		}
	}
	e.endpoints = slices.DeleteFunc(e.endpoints, isCleared)
	e.ownEndpoints = slices.DeleteFunc(e.ownEndpoints, isCleared)
	e.crashes = min(e.crashes, len(e.endpoints))
	if e.crashes < crashesToQuarantine {
		e.quarantinedUntil = time.Time{}
	}
}

// check returns an error while the content of a request is quarantined, else nil. retestDue
// reports that the time of the quarantine is over and the request may be retested.
func (t *Table) check(f Fingerprint, now time.Time) (quarantined *QuarantinedError, retestDue bool) {
	v := t.judge([]subject{{fingerprint: f}}, now)
	return v.err(), v.kind == verdictRetest
}

// isQuarantined reports whether requests that only have this subject are quarantined.
func (t *Table) isQuarantined(f Fingerprint, e *entry, now time.Time) bool {
	v := t.judgeSubject(subject{fingerprint: f, part: e.part}, nil, e, now)
	return v.kind != verdictAdmit && !v.suspected
}

// fullyReportedCrashes counts the entry's crashes for which no more records are expected.
func (t *Table) fullyReportedCrashes(e *entry, now time.Time) (n int) {
	for _, endpoint := range e.endpoints {
		if t.crashes[endpoint].isFullyReported(now) {
			n++
		}
	}
	return n
}

// isFullyReported reports whether the records of all instances have had time to arrive.
func (c *crash) isFullyReported(now time.Time) bool {
	return now.Sub(c.knownSince) >= reportGracePeriod
}

// records returns the record of each entry.
func (t *Table) records() map[Fingerprint]*entryRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make(map[Fingerprint]*entryRecord, len(t.entries))
	for f, e := range t.entries {
		records[f] = e.toRecord()
	}
	return records
}

// clearRecords returns the clears that the table remembers, by the subject's fingerprint.
func (t *Table) clearRecords(now time.Time) map[Fingerprint][]clearRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clears.toRecords(now)
}

// sweep removes expired entries and returns their fingerprints, to be cleared on the log.
// An entry that another instance has written is only removed after its orphanGracePeriod.
func (t *Table) sweep(now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clears.expire(now)
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

// ensureEntry returns the entry of a request, and adds one if there is none.
func (t *Table) ensureEntry(f Fingerprint, team record.Team) *entry {
	if e := t.entries[f]; e != nil {
		return e
	}
	t.evictIfFull(team)
	// The random part keeps instances from clearing an orphaned entry all at once.
	e := &entry{team: team, orphanGracePeriod: entryTTL + rand.N(entryTTL)}
	t.entries[f] = e
	t.countByMetadata[f.metadataHash()]++
	t.countByTeam[team]++
	t.size.Store(int64(len(t.entries)))
	return e
}

// remove removes the entry of a request and reports whether there was one.
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

// unlinkCrash removes the entry from those of an endpoint's crash.
func (t *Table) unlinkCrash(endpoint string, e *entry) {
	c := t.crashes[endpoint]
	c.entries = slices.DeleteFunc(c.entries, func(other *entry) bool { return other == e })
	if len(c.entries) == 0 {
		delete(t.crashes, endpoint)
	}
}

// decrement decrements the count of key and deletes it at 0.
func decrement[K comparable](counts map[K]int, key K) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// Row is the state of one subject in a state dump.
type Row struct {
	Content          string      `json:"content"`        // Fingerprint in hexadecimal.
	Part             string      `json:"part,omitempty"` // ID of the part of the prompt; "" for the content of a request.
	Organisation     record.Team `json:"organisation"`
	Crashes          int         `json:"ends"`                 // Those one after the other.
	Endpoints        []string    `json:"endpoints"`            // IDs, the latest crash last.
	Retests          int         `json:"retests"`              // Number of retests.
	QuarantinedUntil *time.Time  `json:"held_until,omitempty"` // nil if not quarantined.
}

// View returns a row for each entry as of now, in no particular order.
func (t *Table) View(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]Row, 0, len(t.entries))
	for f, e := range t.entries {
		row := Row{Content: f.String(), Part: e.part, Organisation: e.team, Crashes: e.crashes, Endpoints: slices.Clone(e.endpoints), Retests: e.retestRound}
		if t.isQuarantined(f, e, now) {
			until := e.quarantinedUntil
			row.QuarantinedUntil = &until
		}
		rows = append(rows, row)
	}
	return rows
}

// CountQuarantined returns the number of subjects that are quarantined at now.
func (t *Table) CountQuarantined(now time.Time) (n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, e := range t.entries {
		if t.isQuarantined(f, e, now) {
			n++
		}
	}
	return n
}
