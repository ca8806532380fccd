package origin

import (
	"sync"
	"time"
)

// maxRecords bounds a table. Further records are dropped until others have expired.
const maxRecords = 100_000

// entry is the row of one stream.
type entry struct {
	origin    Origin
	expiresAt time.Duration
}

// Table holds the origins of streams until they expire. It is safe for concurrent use.
//
// Records of different origins for one stream contradict each other; its origin is ambiguous from
// then on.
type Table struct {
	mu      sync.Mutex
	streams map[StreamID]entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{streams: map[StreamID]entry{}} }

// Put adds a record, or extends the one of the same origin. It reports whether there was room.
func (t *Table) Put(r Record, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.streams[r.Stream]
	if !found && len(t.streams) >= maxRecords {
		return false
	}
	if found && now < known.expiresAt && known.origin != r.Origin {
		r.Origin = Origin{}
	}
	t.streams[r.Stream] = entry{origin: r.Origin, expiresAt: max(known.expiresAt, now+r.Lifetime)}
	return true
}

// Find returns the origin of a stream; false if there is no record of it. The zero Origin means
// that it is ambiguous.
func (t *Table) Find(id StreamID, now time.Duration) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.streams[id]
	if !found || now >= e.expiresAt {
		return Origin{}, false
	}
	return e.origin, true
}

// Records returns all records, with the rest of their lifetimes.
func (t *Table) Records(now time.Duration) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for id, e := range t.streams {
		if now < e.expiresAt {
			records = append(records, Record{Stream: id, Origin: e.origin, Lifetime: e.expiresAt - now})
		}
	}
	return records
}

// Sweep removes expired records.
func (t *Table) Sweep(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.streams {
		if now >= e.expiresAt {
			delete(t.streams, id)
		}
	}
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.streams)
}
