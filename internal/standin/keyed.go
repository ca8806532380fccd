package standin

import (
	"context"
	"sync"
	"time"

	"guavapier/internal/logstore"
)

// Keyed is an in-memory log of keyed topics, with the faults of a real one. It
// implements logstore.KeyedLog. The zero value is not ready; use NewKeyed.
type Keyed struct {
	mu      sync.Mutex
	topics  map[logstore.Topic]*keyedTopic
	writers map[writerOf]keyedWriter // Each partition counts by itself.
	down    bool
	lose    int // So many answers of writes still get lost.
	grown   chan struct{}
	writes  int
	reads   int
	newest  map[logstore.Topic]int // Whole reads, by topic.
}

type keyedTopic struct {
	records []logstore.KeyedRecord
	first   uint64 // Offset of records[0].
	newest  map[string]logstore.KeyedRecord
}

type writerOf struct {
	topic  logstore.Topic
	writer string
}

type keyedWriter struct{ epoch, sequence uint64 }

// NewKeyed returns an empty log.
func NewKeyed() *Keyed {
	return &Keyed{topics: map[logstore.Topic]*keyedTopic{}, writers: map[writerOf]keyedWriter{}, newest: map[logstore.Topic]int{}, grown: make(chan struct{})}
}

// SetDown makes every call fail, or ends that.
func (k *Keyed) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
	k.wake()
}

// LoseAnswers makes the next n writes take effect without an answer.
func (k *Keyed) LoseAnswers(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lose = n
}

// Forget drops the topic's history; the newest record of each key stays.
func (k *Keyed) Forget(topic logstore.Topic) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.topic(topic)
	t.first += uint64(len(t.records))
	t.records = nil
}

// Calls returns how many writes and reads were made.
func (k *Keyed) Calls() (writes, reads int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.writes, k.reads
}

// NewestReads returns how often the newest records of a topic were read.
func (k *Keyed) NewestReads(topic logstore.Topic) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newest[topic]
}

// Set appends a record as an operator or an endpoint would.
func (k *Keyed) Set(topic logstore.Topic, key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.append(topic, []logstore.KeyedRecord{{Key: key, Value: value}})
}

// Newest implements logstore.KeyedLog.
func (k *Keyed) Newest(_ context.Context, topic logstore.Topic) (logstore.KeyedPage, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	k.newest[topic]++
	if k.down {
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

// Follow implements logstore.KeyedLog.
func (k *Keyed) Follow(ctx context.Context, topic logstore.Topic, from uint64, wait time.Duration) (logstore.KeyedPage, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		page, grown, err := k.after(topic, from)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-limit.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (k *Keyed) after(topic logstore.Topic, from uint64) (logstore.KeyedPage, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	t := k.topic(topic)
	switch {
	case k.down:
		return logstore.KeyedPage{}, nil, logstore.ErrUnavailable
	case from < t.first:
		return logstore.KeyedPage{}, nil, logstore.ErrTrimmed
	}
	rest := t.records[from-t.first:]
	records := append([]logstore.KeyedRecord(nil), rest...)
	end := from + uint64(len(rest))
	return logstore.KeyedPage{Records: records, Next: end, End: end}, k.grown, nil
}

// Put implements logstore.KeyedLog.
func (k *Keyed) Put(_ context.Context, topic logstore.Topic, w logstore.WriteID, records []logstore.KeyedRecord) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writes++
	if k.down {
		return logstore.ErrUnavailable
	}
	last, known := k.writers[writerOf{topic, w.Writer}]
	switch {
	case known && w.Epoch < last.epoch:
		return logstore.ErrFenced
	case known && w.Epoch == last.epoch && w.Sequence == last.sequence:
		return nil // A repeat.
	case known && w.Epoch == last.epoch && w.Sequence != last.sequence+1:
		return logstore.ErrSequence
	}
	k.writers[writerOf{topic, w.Writer}] = keyedWriter{w.Epoch, w.Sequence}
	k.append(topic, records)
	if k.lose > 0 {
		k.lose--
		return logstore.ErrUnavailable
	}
	return nil
}

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
	k.wake()
}

func (k *Keyed) wake() {
	close(k.grown)
	k.grown = make(chan struct{})
}

func (k *Keyed) topic(name logstore.Topic) *keyedTopic {
	t := k.topics[name]
	if t == nil {
		t = &keyedTopic{newest: map[string]logstore.KeyedRecord{}}
		k.topics[name] = t
	}
	return t
}
