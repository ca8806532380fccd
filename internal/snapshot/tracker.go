package snapshot

import (
	"time"

	"github.com/google/uuid"

	"guavapier/internal/record"
)

// Summary is a whole snapshot that went by on the stream.
type Summary struct {
	ID     string `json:"id"`
	Covers uint64 `json:"covers"`
}

// Age returns the time since the snapshot was begun, by its identity. Clocks
// may differ between instances, so it may only say when to write a new one.
func (s Summary) Age(now time.Time) time.Duration {
	id, err := uuid.Parse(s.ID)
	if err != nil {
		return 0
	}
	sec, nsec := id.Time().UnixTime()
	return now.Sub(time.Unix(sec, nsec))
}

// maxPartials bounds the snapshots under way that a Tracker follows.
const maxPartials = 8

// Tracker finds the newest whole snapshot of a stream without keeping its
// data. It is not safe for concurrent use.
type Tracker struct {
	receivedChunks map[string]map[int]struct{}
	newest         Summary
}

// Newest returns the newest whole snapshot seen; the zero value for none.
func (t *Tracker) Newest() Summary { return t.newest }

// Add follows the chunk at an offset.
func (t *Tracker) Add(offset uint64, r record.Snapshot) {
	if r.Covers > offset || r.Covers <= t.newest.Covers || r.Chunk < 0 || r.Chunk >= r.Chunks {
		return
	}
	if t.receivedChunks == nil || len(t.receivedChunks) >= maxPartials {
		t.receivedChunks = map[string]map[int]struct{}{} // Torn ones pile up: begin anew.
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
