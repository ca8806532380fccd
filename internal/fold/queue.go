package fold

import (
	"slices"

	"guavapier/internal/record"
)

// queue is a first-in first-out queue in one slice. head is the index of the
// front item.
type queue[T comparable] struct {
	items []T
	head  int
}

func (q *queue[T]) len() int { return len(q.items) - q.head }

func (q *queue[T]) push(item T) { q.items = append(q.items, item) }

func (q *queue[T]) front() T { return q.items[q.head] }

// pop removes the front item and returns it. Once most of the slice is unused,
// the remaining items are copied to a new one, so that the memory is released.
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

// writerTable remembers the last batch of each writer, for a window of offsets.
// lastSweep is the number of the sweep interval in which expired writers were
// last removed.
type writerTable struct {
	lastBatches map[record.InstanceID]lastBatch
	lastSweep   uint64
}

// lastBatch is the sequence number and the offset of a writer's last batch.
type lastBatch struct{ seq, offset uint64 }

// sweepInterval is the number of offsets between two sweeps for expired
// writers.
const sweepInterval = 4096

// advance records a batch as the last one of its writer. It returns false for a
// batch that is not newer than the last one, such as a copy.
func (t *writerTable) advance(b record.Batch, offset uint64) bool {
	if b.Seq <= t.lastBatches[b.Writer].seq {
		return false
	}
	t.lastBatches[b.Writer] = lastBatch{seq: b.Seq, offset: offset}
	return true
}

// removeExpired removes the writers whose last batch is more than window
// offsets back. It sweeps at fixed offsets, so that all instances remove the
// same writers.
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
