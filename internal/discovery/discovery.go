// Package discovery keeps the table of endpoints that the platform's store lists. It has no
// clock and does no I/O; callers pass the time as a duration since any fixed origin.
//
// An entry that disappears normally means that its endpoint has ended. Around an outage of
// the store, however, entries expire although their endpoints are alive, and are published
// again soon after it. The table marks such entries as lapsed and keeps their endpoints until
// LapsedGracePeriod after the store has answered again.
package discovery

import (
	"slices"
	"time"
)

// Endpoint is one endpoint as its entry was last published. State dumps encode its fields
// under their Go names.
type Endpoint struct {
	// ID identifies the endpoint. One that restarts under the same ID has another Born.
	ID      string
	Service string
	Address string // IP:port.
	Zone    string
	Version string // Of its software; "" if not stated.
	Slots   int    // Requests that it runs concurrently.
	Leaving bool   // It is about to end and must get no more requests.
	// Born is the start time of the process, in Unix milliseconds; 0 if unknown. It
	// identifies the incarnation of an endpoint that restarts under the same ID.
	Born int64
	// Warming is the warm-up time, during which an endpoint is slow after its start, that was
	// left when the entry was published.
	Warming time.Duration
}

// LapsedGracePeriod is how long a lapsed entry is kept after the store has recovered. The
// platform promises that the entries of living endpoints are published again within about
// two seconds.
const LapsedGracePeriod = 2 * time.Second

// Change is the effect of an update on an endpoint.
type Change uint8

// The kinds of change. Where several apply, Put returns the first of Restarted,
// StartedLeaving and Updated.
const (
	Unchanged Change = iota // Also if an entry is merely no longer lapsed.
	Added
	Updated
	StartedLeaving
	Restarted
	Lapsed // The entry disappeared around an outage; the endpoint stays in use.
	Removed
)

// entry is the row of one endpoint.
type entry struct {
	Endpoint
	lapsed bool
}

// Table holds the endpoints by their IDs. It is not safe for concurrent use.
type Table struct {
	entries map[string]*entry

	storeFailing bool          // The last call to the store has failed.
	hasFailed    bool          // Any call has ever failed.
	recoveredAt  time.Duration // When the store first answered after the last failure, by the clock of the now arguments.
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]*entry{}} }

// RecordStoreFailure records that a call to the store has failed.
func (t *Table) RecordStoreFailure() { t.storeFailing, t.hasFailed = true, true }

// RecordStoreSuccess records that the store has answered a call; the first answer after a
// failure starts the grace period of lapsed entries.
func (t *Table) RecordStoreSuccess(now time.Duration) {
	if t.storeFailing {
		t.storeFailing, t.recoveredAt = false, now
	}
}

// mayLapse reports whether the endpoint of an entry that disappears at this time may be
// alive: during an outage and the grace period after it.
func (t *Table) mayLapse(now time.Duration) bool {
	return t.hasFailed && (t.storeFailing || now < t.recoveredAt+LapsedGracePeriod)
}

// Put adds or replaces an endpoint and returns what has changed. An entry that had lapsed is
// valid again.
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

// Remove records that an endpoint's entry has disappeared. It returns Lapsed if the endpoint
// stays in the table for now, Removed if not, and Unchanged if it is unknown.
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

// Retain applies Remove to every endpoint that is not in ids, the IDs of a full listing. It
// returns the IDs of those removed or lapsed, in no order.
func (t *Table) Retain(ids map[string]bool, now time.Duration) []string {
	var missing []string
	for id := range t.entries {
		if !ids[id] && t.Remove(id, now) != Unchanged {
			missing = append(missing, id)
		}
	}
	return missing
}

// Expire removes the lapsed endpoints whose entries were not published again within
// LapsedGracePeriod, and returns their IDs.
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

// Len returns the number of endpoints, lapsed ones included.
func (t *Table) Len() int { return len(t.entries) }

// Has reports whether the endpoint is in the table, lapsed or not.
func (t *Table) Has(id string) bool {
	_, known := t.entries[id]
	return known
}
