// Package discovery keeps the table of endpoints from what the platform's
// store says of them. It has no clock and does no input or output.
//
// An endpoint's entry that vanishes means that the endpoint leaves, except
// around an outage of the store: entries lapse then while their endpoints live,
// and come back soon after it. The table keeps such endpoints for ReturnWithin
// after the store answers again.
package discovery

import (
	"slices"
	"time"
)

// Endpoint is one entry as it was last published.
type Endpoint struct {
	// ID names one process start, or several if the endpoint starts again
	// under the same identity; then Born differs.
	ID      string
	Service string
	Address string // IP:port.
	Zone    string
	Slots   int
	Leaving bool
	// Born is when the process started, in Unix milliseconds; 0 if unknown.
	Born int64
	// Warming is how much longer the endpoint is slow after its start.
	Warming time.Duration
}

// LapsedGracePeriod is how long after the store's return a lapsed entry is waited
// for; the platform promises them back within about two seconds.
const LapsedGracePeriod = 2 * time.Second

// Change says what an update did to an endpoint.
type Change uint8

// The changes that matter to others than the table.
const (
	Unchanged Change = iota
	Added
	Updated
	StartedLeaving
	Restarted
	Lapsed // The entry vanished around an outage; the endpoint is still used.
	Removed
)

type entry struct {
	Endpoint
	lapsed bool
}

// Table holds the endpoints. It is not safe for concurrent use.
type Table struct {
	entries map[string]*entry
	// trouble is when the store last storeFailing a call; recovered when it first
	// answered after that. Both in the caller's time; unset before the first failure.
	storeFailing bool
	hasFailed    bool
	recoveredAt  time.Duration
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]*entry{}} }

// RecordStoreFailure tells that a call to the store failed.
func (t *Table) RecordStoreFailure() { t.storeFailing, t.hasFailed = true, true }

// RecordStoreSuccess tells that the store answered.
func (t *Table) RecordStoreSuccess(now time.Duration) {
	if t.storeFailing {
		t.storeFailing, t.recoveredAt = false, now
	}
}

// mayLapse says whether an entry that vanishes now may be of a living endpoint.
func (t *Table) mayLapse(now time.Duration) bool {
	return t.hasFailed && (t.storeFailing || now < t.recoveredAt+LapsedGracePeriod)
}

// Put takes an entry.
func (t *Table) Put(e Endpoint) Change {
	old, known := t.entries[e.ID]
	if !known {
		t.entries[e.ID] = &entry{Endpoint: e}
		return Added
	}
	change := Unchanged
	switch {
	case e.Born != old.Born:
		change = Restarted
	case e.Leaving && !old.Leaving:
		change = StartedLeaving
	case e != old.Endpoint:
		change = Updated
	}
	old.Endpoint, old.lapsed = e, false
	return change
}

// Remove takes the end of an entry.
func (t *Table) Remove(id string, now time.Duration) Change {
	r, known := t.entries[id]
	if !known {
		return Unchanged
	}
	if t.mayLapse(now) {
		r.lapsed = true
		return Lapsed
	}
	delete(t.entries, id)
	return Removed
}

// Retain removes every endpoint that is not in ids: a full listing names the
// living ones only. It returns those removed or lapsed.
func (t *Table) Retain(ids map[string]bool, now time.Duration) []string {
	var missing []string
	for id := range t.entries {
		if !ids[id] && t.Remove(id, now) != Unchanged {
			missing = append(missing, id)
		}
	}
	return missing
}

// Expire removes lapsed endpoints whose entries did not come back in time.
func (t *Table) Expire(now time.Duration) []string {
	if t.mayLapse(now) {
		return nil
	}
	var expired []string
	for id, r := range t.entries {
		if r.lapsed {
			delete(t.entries, id)
			expired = append(expired, id)
		}
	}
	return expired
}

// List returns all endpoints, ordered by ID.
func (t *Table) List() []Endpoint {
	list := make([]Endpoint, 0, len(t.entries))
	for _, r := range t.entries {
		list = append(list, r.Endpoint)
	}
	slices.SortFunc(list, func(a, b Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// Len is the number of endpoints.
func (t *Table) Len() int { return len(t.entries) }

// Has says whether the endpoint is in the table.
func (t *Table) Has(id string) bool {
	_, known := t.entries[id]
	return known
}
