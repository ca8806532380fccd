package decide

import (
	"container/heap"
	"time"
)

// blockedEntry records when a row was blocked. Row structs are reused, so an
// entry is valid only while the row holds the same request, blocked at the
// same time.
type blockedEntry struct {
	row *requestRow
	id  RequestID
	at  Time
}

const (
	// maxUnblockedPerEvent bounds the rows that one change of an endpoint
	// returns to the order. The change frees a slot or two, and the next start
	// returns more rows.
	maxUnblockedPerEvent = 8
	// blockedRecheckAge is the time after which a blocked row returns to the
	// order without a change of its endpoint: it may have waited long enough to
	// move to another one. maxBlockedRechecks bounds these rows in one tick, so
	// that the cost of a tick does not grow with the queue.
	blockedRecheckAge  = 20 * time.Millisecond
	maxBlockedRechecks = 8
)

// block takes a row out of the order until something changes at the endpoint
// that it waits for, so that it neither delays other rows nor costs time. In
// a long queue most rows wait for full endpoints, and going through all of
// them to find the one whose slot is free would take longer than the slot is
// worth.
func (d *Decider) block(row *requestRow, waitList *rowHeap) {
	row.pool.classes[row.class].block(row)
	row.waitList, row.blockedAt = waitList, d.now
	heap.Push(waitList, row)
	d.blockedQueue.push(blockedEntry{row: row, id: row.ID, at: d.now})
}

// unblock returns a blocked row to the order.
func (d *Decider) unblock(row *requestRow) {
	heap.Remove(row.waitList, row.heapIndex[blockedIndex])
	row.waitList = nil
	row.pool.classes[row.class].unblock(row)
}

// markChanged records that a slot may be free at the endpoint.
func (d *Decider) markChanged(e *endpointRow) {
	if e.blockedRows.Len() > 0 && !e.markedChanged {
		e.markedChanged = true
		d.changedEndpoints = append(d.changedEndpoints, e)
	}
}

// unblockRows returns blocked rows to the order: the first ones of each
// changed endpoint, and those that have been blocked for blockedRecheckAge.
func (d *Decider) unblockRows() {
	for i, e := range d.changedEndpoints {
		d.changedEndpoints[i] = nil
		e.markedChanged = false
		for n := 0; n < maxUnblockedPerEvent && e.blockedRows.Len() > 0; n++ {
			d.unblock(e.blockedRows.rows[0])
		}
	}
	d.changedEndpoints = d.changedEndpoints[:0]
	for range maxBlockedRechecks {
		entry, ok := d.blockedQueue.first()
		if !ok || d.now-entry.at < blockedRecheckAge {
			return
		}
		d.blockedQueue.pop()
		row := entry.row
		if row.ID == entry.id && row.waitList != nil && row.blockedAt == entry.at {
			d.unblock(row)
		}
	}
}

// fifo is a queue in a ring buffer that grows by doubling.
type fifo struct {
	ring  []blockedEntry
	head  int
	count int
}

func (f *fifo) push(e blockedEntry) {
	if f.count == len(f.ring) {
		grown := make([]blockedEntry, max(64, 2*len(f.ring)))
		for i := range f.count {
			grown[i] = f.ring[(f.head+i)%len(f.ring)]
		}
		f.ring, f.head = grown, 0
	}
	f.ring[(f.head+f.count)%len(f.ring)] = e
	f.count++
}

func (f *fifo) first() (blockedEntry, bool) {
	if f.count == 0 {
		return blockedEntry{}, false
	}
	return f.ring[f.head], true
}

func (f *fifo) pop() {
	f.ring[f.head] = blockedEntry{}
	f.head = (f.head + 1) % len(f.ring)
	f.count--
}
