// Package snapshot keeps a stream's state on the log against the log's limited
// retention. A state goes out as chunks, each one record; the newest whole one
// plus the tail of the stream gives the same tables as the whole stream.
//
// A snapshot is only a copy: any instance may write one, a second copy is
// harmless, and a torn, damaged or older one is never used.
package snapshot

import (
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"guavapier/internal/record"
)

// ChunkBytes is the size of a chunk. It leaves room in an entry of the log,
// which takes record.MaxBatchBytes, for what is committed together with it.
const ChunkBytes = 256 << 10

// NewID draws a snapshot's identity. It is time-ordered (UUIDv7).
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// Split returns a state as records. covers is the offset after the last record
// that the state holds.
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

// Assembled is a snapshot of which every chunk was read.
type Assembled struct {
	ID     string
	Covers uint64
	State  []byte
}

// maxChunks bounds the memory that one damaged record can claim.
const maxChunks = 1 << 14

// partialSnapshot is a snapshot of which some chunks were read.
type partialSnapshot struct {
	chunks  [][]byte
	covers  uint64
	sum     uint64
	missing int
}

// Assembly puts chunks together. It is not safe for concurrent use.
type Assembly struct {
	partial map[string]*partialSnapshot
	newest  Assembled
	found   bool
	// Discarded counts the chunks that fit no snapshot, and the whole
	// snapshots that were damaged.
	Discarded int
}

// NewAssembly returns an empty assembly.
func NewAssembly() *Assembly { return &Assembly{partial: map[string]*partialSnapshot{}} }

// Newest returns the whole snapshot that covers most.
func (a *Assembly) Newest() (Assembled, bool) { return a.newest, a.found }

// Add takes the chunk at an offset; a copy of one that is there has no effect.
func (a *Assembly) Add(offset uint64, r record.Snapshot) {
	if a.found && r.Covers <= a.newest.Covers {
		return
	}
	if r.Covers > offset {
		a.Discarded++ // It claims to hold records that came after it.
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

// assemble takes a whole snapshot if it is as it was written, and lets go of
// those that cover less.
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
