package fold

import (
	"slices"

	"guavapier/internal/record"
)

// queue is a first-in first-out queue in one slice.
type queue[T comparable] struct {
	items []T
	head  int
}

func (q *queue[T]) len() int { return len(q.items) - q.head }

func (q *queue[T]) push(item T) { q.items = append(q.items, item) }

func (q *queue[T]) front() T { return q.items[q.head] }

func (q *queue[T]) pop() T {
	item := q.items[q.head]
	q.head++
	if q.head > 16 && q.head*2 > len(q.items) {
		q.items = append(q.items[:0:0], q.items[q.head:]...)
		q.head = 0
	}
	return item
}

func (q *queue[T]) contains(item T) bool { return slices.Contains(q.items[q.head:], item) }

// writerTable remembers the last batch of each writer for a window of offsets.
type writerTable struct {
	lastBatches map[record.InstanceID]lastBatch
	lastSweep   uint64
}

type lastBatch struct{ seq, offset uint64 }

// sweepInterval is the distance in offsets between two looks for old writers.
const sweepInterval = 4096

// advance says whether a batch is its writer's next; a copy is not.
func (t *writerTable) advance(b record.Batch, offset uint64) bool {
	if b.Seq <= t.lastBatches[b.Writer].seq {
		return false
	}
	t.lastBatches[b.Writer] = lastBatch{seq: b.Seq, offset: offset}
	return true
}

// removeExpired drops writers whose last batch is a window ago. It sweeps at fixed
// offsets, so that all instances removeExpired alike.
func (t *writerTable) removeExpired(offset, window uint64) {
	if offset/sweepInterval == t.lastSweep {
		return
	}
	t.lastSweep = offset / sweepInterval
	for id, w := range t.lastBatches {
		if w.offset+window < offset {
			delete(t.lastBatches, id)
		}
	}
}
