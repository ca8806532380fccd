package snapshot

import (
	"time"

	"github.com/google/uuid"

	"guavapier/internal/record"
)

// Summary identifies a snapshot of which every chunk was read from the stream.
// Covers is the offset after the last record in it.
type Summary struct {
	ID     string `json:"id"`
	Covers uint64 `json:"covers"`
}

// Age returns the time since the snapshot was begun, according to the time in
// its ID, or 0 if the ID is not a UUID. Clocks may differ between instances, so
// the age may only decide when to write a new snapshot.
func (s Summary) Age(now time.Time) time.Duration {
	id, err := uuid.Parse(s.ID)
	if err != nil {
		return 0
	}
	sec, nsec := id.Time().UnixTime()
	return now.Sub(time.Unix(sec, nsec))
}

// maxPartials bounds the incomplete snapshots that a Tracker follows.
const maxPartials = 8

// Tracker finds the newest complete snapshot of a stream without keeping its
// data or checking its checksum. It is not safe for concurrent use.
type Tracker struct {
	receivedChunks map[string]map[int]struct{}
	newest         Summary
}

// Newest returns the newest complete snapshot, or the zero value if there is
// none.
func (t *Tracker) Newest() Summary { return t.newest }

// Add records the chunk that was read at an offset.
func (t *Tracker) Add(offset uint64, r record.Snapshot) {
	if r.Covers > offset || r.Covers <= t.newest.Covers || r.Chunk < 0 || r.Chunk >= r.Chunks {
		return
	}
	if t.receivedChunks == nil || len(t.receivedChunks) >= maxPartials {
		t.receivedChunks = map[string]map[int]struct{}{} // Drops snapshots that were never completed.
	}
	chunks, ok := t.receivedChunks[r.ID]
	if !ok {
		chunks = map[int]struct{}{}
		t.receivedChunks[r.ID] = chunks
	}
	chunks[r.Chunk] = struct{}{}
	if len(chunks) == r.Chunks {
		delete(t.receivedChunks, r.ID)
		t.newest = Summary{ID: r.ID, Covers: r.Covers}
	}
}
