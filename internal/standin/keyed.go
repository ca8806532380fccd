package standin

import (
	"context"
	"sync"
	"time"

	"guavapier/internal/logstore"
)

// Keyed is an in-memory log of keyed topics that simulates outages, lost
// answers and compaction. It implements logstore.KeyedLog and is safe for
// concurrent use. The zero value isn't usable; use NewKeyed.
type Keyed struct {
	mu          sync.Mutex
	topics      map[logstore.Topic]*keyedTopic
	writers     map[writerKey]writerState // Epochs and sequences are per topic and writer.
	unavailable bool
	lostAnswers int           // Writes that will be applied but return ErrUnavailable.
	changed     chan struct{} // Closed, and replaced, at each append.
	writes      int
	reads       int
	newestReads map[logstore.Topic]int // Calls of Newest.
}

// keyedTopic holds a topic's history and the newest record of each key, without
// the deleted keys.
type keyedTopic struct {
	records []logstore.KeyedRecord
	first   uint64 // Offset of records[0].
	newest  map[string]logstore.KeyedRecord
}

type writerKey struct {
	topic  logstore.Topic
	writer string
}

type writerState struct{ epoch, sequence uint64 }

// NewKeyed returns an empty, available log.
func NewKeyed() *Keyed {
	return &Keyed{topics: map[logstore.Topic]*keyedTopic{}, writers: map[writerKey]writerState{}, newestReads: map[logstore.Topic]int{}, changed: make(chan struct{})}
}

// SetDown sets whether each call fails with logstore.ErrUnavailable. Blocked
// calls of Follow fail at once.
func (k *Keyed) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unavailable = down
	k.notifyReaders()
}

// LoseAnswers makes the next n writes succeed but return logstore.ErrUnavailable,
// as if the answer was lost.
func (k *Keyed) LoseAnswers(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lostAnswers = n
}

// Compact drops the topic's history, so that Follow from an earlier offset
// returns logstore.ErrTrimmed. The newest record of each key is kept.
func (k *Keyed) Compact(topic logstore.Topic) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.topic(topic)
	t.first += uint64(len(t.records))
	t.records = nil
}

// Calls returns the number of writes and reads, failed ones included. A blocked
// Follow counts one read for each time that it looks.
func (k *Keyed) Calls() (writes, reads int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.writes, k.reads
}

// NewestReads returns the number of calls of Newest for a topic.
func (k *Keyed) NewestReads(topic logstore.Topic) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newestReads[topic]
}

// Set appends a record without a writer's epoch and sequence; a nil value deletes
// the key. Faults don't apply.
func (k *Keyed) Set(topic logstore.Topic, key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.append(topic, []logstore.KeyedRecord{{Key: key, Value: value}})
}

// Newest implements logstore.KeyedLog. The records are in no order.
func (k *Keyed) Newest(_ context.Context, topic logstore.Topic) (logstore.KeyedPage, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	k.newestReads[topic]++
	if k.unavailable {
		return logstore.KeyedPage{}, logstore.ErrUnavailable
	}
	t := k.topic(topic)
	end := t.first + uint64(len(t.records))
	page := logstore.KeyedPage{Next: end, End: end}
	for _, r := range t.newest {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

// Follow implements logstore.KeyedLog. It blocks for up to wait while there are no
// records from offset from on.
func (k *Keyed) Follow(ctx context.Context, topic logstore.Topic, from uint64, wait time.Duration) (logstore.KeyedPage, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := k.readFrom(topic, from)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// readFrom returns the records from an offset on, and the channel that is closed
// at the next append.
func (k *Keyed) readFrom(topic logstore.Topic, from uint64) (logstore.KeyedPage, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	t := k.topic(topic)
	switch {
	case k.unavailable:
		return logstore.KeyedPage{}, nil, logstore.ErrUnavailable
	case from < t.first:
		return logstore.KeyedPage{}, nil, logstore.ErrTrimmed
	}
	rest := t.records[from-t.first:]
	records := append([]logstore.KeyedRecord(nil), rest...)
	end := from + uint64(len(rest))
	return logstore.KeyedPage{Records: records, Next: end, End: end}, k.changed, nil
}

// Put implements logstore.KeyedLog. It rejects an older epoch of the writer with
// ErrFenced. Within an epoch it rejects a sequence other than the next one with
// ErrSequence, except that repeating the last one succeeds without effect.
func (k *Keyed) Put(_ context.Context, topic logstore.Topic, w logstore.WriteID, records []logstore.KeyedRecord) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writes++
	if k.unavailable {
		return logstore.ErrUnavailable
	}
	last, known := k.writers[writerKey{topic, w.Writer}]
	switch {
	case known && w.Epoch < last.epoch:
		return logstore.ErrFenced
	case known && w.Epoch == last.epoch && w.Sequence == last.sequence:
		return nil // Already written.
	case known && w.Epoch == last.epoch && w.Sequence != last.sequence+1:
		return logstore.ErrSequence
	}
	k.writers[writerKey{topic, w.Writer}] = writerState{w.Epoch, w.Sequence}
	k.append(topic, records)
	if k.lostAnswers > 0 {
		k.lostAnswers--
		return logstore.ErrUnavailable
	}
	return nil
}

// append stores records and unblocks readers. k.mu must be held.
func (k *Keyed) append(topic logstore.Topic, records []logstore.KeyedRecord) {
	t := k.topic(topic)
	t.records = append(t.records, records...)
	for _, r := range records {
		if r.Value == nil {
			delete(t.newest, r.Key)
			continue
		}
		t.newest[r.Key] = r
	}
	k.notifyReaders()
}

// notifyReaders unblocks the calls of Follow. k.mu must be held.
func (k *Keyed) notifyReaders() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// topic returns a topic, which it creates if needed. k.mu must be held.
func (k *Keyed) topic(name logstore.Topic) *keyedTopic {
	t := k.topics[name]
	if t == nil {
		t = &keyedTopic{newest: map[string]logstore.KeyedRecord{}}
		k.topics[name] = t
	}
	return t
}
