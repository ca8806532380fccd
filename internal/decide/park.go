package decide

import (
	"container/heap"
	"time"
)

// blockedEntry remembers when a row was parked. Rows are used again, so the
// entry counts only while row is still the same request in the same stay.
type blockedEntry struct {
	row *requestRow
	id  RequestID
	at  Time
}

const (
	// maxUnblockedPerEvent bounds the rows that one event at their endpoint brings back into
	// the order: the event frees a slot or two, and the next start brings more.
	maxUnblockedPerEvent = 8
	// blockedRecheckAge is after which time a parked row is looked at without any event:
	// it may have waited long enough to move. parkChecks bounds these looks in
	// one tick, so that the cost of a tick does not grow with the queue.
	blockedRecheckAge  = 20 * time.Millisecond
	maxBlockedRechecks = 8
)

// block takes a row that waits for its endpoint out of the order, so that it
// holds up nobody and costs nothing until something changes there. In a long
// queue most rows wait for endpoints that are full; going through them all to
// find the one whose slot came free would take longer than the slot is worth.
func (d *Decider) block(row *requestRow, waitList *rowHeap) {
	row.pool.classes[row.class].block(row)
	row.waitList, row.blockedAt = waitList, d.now
	heap.Push(waitList, row)
	d.blockedQueue.push(blockedEntry{row: row, id: row.ID, at: d.now})
}

// unblock brings a row back into the order.
func (d *Decider) unblock(row *requestRow) {
	heap.Remove(row.waitList, row.heapIndex[blockedIndex])
	row.waitList = nil
	row.pool.classes[row.class].unblock(row)
}

// markChanged marks an endpoint at which a slot may have come free.
func (d *Decider) markChanged(e *endpointRow) {
	if e.blockedRows.Len() > 0 && !e.markedChanged {
		e.markedChanged = true
		d.changedEndpoints = append(d.changedEndpoints, e)
	}
}

// unblockRows brings parked rows back: the first ones of each endpoint that changed,
// and those that have been parked for long.
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

// fifo is a queue in a ring that grows by doubling.
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
