// Package snapshot saves a stream's state on the log, which drops old records.
// A state is written as chunks of one record each. The newest complete snapshot
// and the records after it give the same tables as the whole stream.
//
// A snapshot is only a copy: any instance may write one, a duplicate is
// harmless, and an incomplete, damaged or older one is never used.
package snapshot

import (
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"guavapier/internal/record"
)

// ChunkBytes is the maximum size of a chunk's data, in bytes. An entry of the
// log takes up to record.MaxBatchBytes; the rest is for the records that are
// committed in the same batch.
const ChunkBytes = 256 << 10

// NewID returns a new snapshot ID. It is time-ordered (UUIDv7).
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// Split returns the encoded state as chunk records, at least one. covers is the
// offset after the last record that the state includes.
func Split(id string, covers uint64, state []byte) []record.Snapshot {
	sum := xxhash.Sum64(state)
	chunks := max(1, (len(state)+ChunkBytes-1)/ChunkBytes)
	out := make([]record.Snapshot, chunks)
	for n := range out {
		out[n] = record.Snapshot{
			ID: id, Covers: covers, Chunk: n, Chunks: chunks, Sum: sum,
			Data: state[n*ChunkBytes : min(len(state), (n+1)*ChunkBytes)],
		}
	}
	return out
}

// Assembled is a complete snapshot whose chunks were all read and whose
// checksum matched. Covers is the offset after the last record in State.
type Assembled struct {
	ID     string
	Covers uint64
	State  []byte
}

// maxChunks bounds the memory that one damaged record can make an Assembly
// allocate.
const maxChunks = 1 << 14

// partialSnapshot is a snapshot of which some chunks have not been read yet;
// missing is their number.
type partialSnapshot struct {
	chunks  [][]byte
	covers  uint64
	sum     uint64
	missing int
}

// Assembly builds snapshots from their chunks. It is not safe for concurrent
// use.
type Assembly struct {
	partial map[string]*partialSnapshot
	newest  Assembled
	found   bool
	// Discarded counts the chunks that fit no valid snapshot, and the snapshots
	// with all chunks whose checksum did not match.
	Discarded int
}

// NewAssembly returns an empty assembly.
func NewAssembly() *Assembly { return &Assembly{partial: map[string]*partialSnapshot{}} }

// Newest returns the assembled snapshot that covers the most records, and false
// if there is none.
func (a *Assembly) Newest() (Assembled, bool) { return a.newest, a.found }

// Add adds the chunk that was read at an offset. A chunk that was added before,
// or that covers no more than the newest assembled snapshot, has no effect.
func (a *Assembly) Add(offset uint64, r record.Snapshot) {
	if a.found && r.Covers <= a.newest.Covers {
		return
	}
	if r.Covers > offset {
		a.Discarded++ // No snapshot covers records after its own offset.
		return
	}
	p, ok := a.partial[r.ID]
	if !ok {
		if r.Chunks < 1 || r.Chunks > maxChunks {
			a.Discarded++
			return
		}
		p = &partialSnapshot{chunks: make([][]byte, r.Chunks), covers: r.Covers, sum: r.Sum, missing: r.Chunks}
		a.partial[r.ID] = p
	}
	if r.Chunk < 0 || r.Chunk >= len(p.chunks) || r.Chunks != len(p.chunks) || r.Covers != p.covers || r.Sum != p.sum {
		a.Discarded++
		return
	}
	if p.chunks[r.Chunk] != nil {
		return
	}
	p.chunks[r.Chunk] = append([]byte{}, r.Data...)
	p.missing--
	if p.missing == 0 {
		a.assemble(r.ID, p)
	}
}

// assemble joins the chunks of a snapshot. If the checksum matches, the
// snapshot becomes the newest one, and partial snapshots that cover no more are
// dropped.
func (a *Assembly) assemble(id string, p *partialSnapshot) {
	delete(a.partial, id)
	var state []byte
	for _, chunk := range p.chunks {
		state = append(state, chunk...)
	}
	if xxhash.Sum64(state) != p.sum {
		a.Discarded++
		return
	}
	a.newest, a.found = Assembled{ID: id, Covers: p.covers, State: state}, true
	for other, q := range a.partial {
		if q.covers <= p.covers {
			delete(a.partial, other)
		}
	}
}
