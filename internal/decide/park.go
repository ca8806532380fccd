package decide

import (
	"container/heap"
	"time"
)

// parkedEntry remembers when a row was parked. Rows are used again, so the
// entry counts only while row is still the same request in the same stay.
type parkedEntry struct {
	row *requestRow
	id  RequestID
	at  Time
}

const (
	// wakeRows bounds the rows that one event at their endpoint brings back into
	// the order: the event frees a slot or two, and the next start brings more.
	wakeRows = 8
	// parkFor is after which time a parked row is looked at without any event:
	// it may have waited long enough to move. parkChecks bounds these looks in
	// one tick, so that the cost of a tick does not grow with the queue.
	parkFor    = 20 * time.Millisecond
	parkChecks = 8
)

// park takes a row that waits for its endpoint out of the order, so that it
// holds up nobody and costs nothing until something changes there. In a long
// queue most rows wait for endpoints that are full; going through them all to
// find the one whose slot came free would take longer than the slot is worth.
func (d *Decider) park(row *requestRow, until *rowHeap) {
	row.pool.classes[row.class].hide(row)
	row.parked, row.parkedAt = until, d.now
	heap.Push(until, row)
	d.parkedRows.push(parkedEntry{row: row, id: row.ID, at: d.now})
}

// unpark brings a row back into the order.
func (d *Decider) unpark(row *requestRow) {
	heap.Remove(row.parked, row.index[parkIndex])
	row.parked = nil
	row.pool.classes[row.class].show(row)
}

// changed marks an endpoint at which a slot may have come free.
func (d *Decider) changed(e *endpointRow) {
	if e.parked.Len() > 0 && !e.woken {
		e.woken = true
		d.woken = append(d.woken, e)
	}
}

// wake brings parked rows back: the first ones of each endpoint that changed,
// and those that have been parked for long.
func (d *Decider) wake() {
	for i, e := range d.woken {
		d.woken[i] = nil
		e.woken = false
		for n := 0; n < wakeRows && e.parked.Len() > 0; n++ {
			d.unpark(e.parked.rows[0])
		}
	}
	d.woken = d.woken[:0]
	for range parkChecks {
		entry, ok := d.parkedRows.first()
		if !ok || d.now-entry.at < parkFor {
			return
		}
		d.parkedRows.pop()
		row := entry.row
		if row.ID == entry.id && row.parked != nil && row.parkedAt == entry.at {
			d.unpark(row)
		}
	}
}

// fifo is a queue in a ring that grows by doubling.
type fifo struct {
	ring  []parkedEntry
	head  int
	count int
}

func (f *fifo) push(e parkedEntry) {
	if f.count == len(f.ring) {
		grown := make([]parkedEntry, max(64, 2*len(f.ring)))
		for i := range f.count {
			grown[i] = f.ring[(f.head+i)%len(f.ring)]
		}
		f.ring, f.head = grown, 0
	}
	f.ring[(f.head+f.count)%len(f.ring)] = e
	f.count++
}

func (f *fifo) first() (parkedEntry, bool) {
	if f.count == 0 {
		return parkedEntry{}, false
	}
	return f.ring[f.head], true
}

func (f *fifo) pop() {
	f.ring[f.head] = parkedEntry{}
	f.head = (f.head + 1) % len(f.ring)
	f.count--
}
