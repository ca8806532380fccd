package snapshot

import (
	"context"
	"math/rand/v2"
	"time"

	"guavapier/internal/record"
)

// Source is a stream whose state can be written; see replica.Replica.
type Source interface {
	Stream() record.Stream
	Next() uint64
	// NewestSnapshot returns the newest whole snapshot that went by.
	NewestSnapshot() Summary
	// IsComplete says whether the tables hold every record of the stream, and
	// this version understood each of them.
	IsComplete() bool
	// State returns the state and the offset after the last record in it.
	State() (covers uint64, state []byte, err error)
}

// Appender appends records to the log; see platform.Publisher.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// Writer writes snapshots of its sources when they are due. Every instance has
// one; a random pause before each makes it likely that only one writes, and
// two copies do no harm.
type Writer struct {
	Log     Appender
	Sources []Source
	// FirstOffset gives the oldest offset that the log was seen to keep.
	FirstOffset func(record.Stream) uint64
	// MaxAge is the longest time between two snapshots of a stream.
	MaxAge    time.Duration
	OnWritten func(stream record.Stream, covers uint64, bytes int)
	OnError   func(stream record.Stream, err error)
}

const (
	checkInterval = time.Second
	maxJitter     = 2 * time.Second
	writeTimeout  = time.Minute
)

// Run writes until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		var due []Source
		for _, s := range w.Sources {
			if w.isDue(s) {
				due = append(due, s)
			}
		}
		if len(due) > 0 && !sleep(ctx, rand.N(min(maxJitter, w.MaxAge/4)+1)) {
			return
		}
		for _, s := range due {
			if w.isDue(s) {
				w.write(ctx, s)
			}
		}
		if !sleep(ctx, min(checkInterval, w.MaxAge/4)) {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *Writer) isDue(s Source) bool {
	newest := s.NewestSnapshot()
	status := StreamStatus{First: w.FirstOffset(s.Stream()), Next: s.Next(), Covers: newest.Covers, Age: newest.Age(time.Now())}
	return s.IsComplete() && IsDue(status, w.MaxAge)
}

// write appends the chunks one after the other. If it ends half-way the
// snapshot is torn, nobody uses it, and the next one has another identity.
func (w *Writer) write(ctx context.Context, s Source) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	covers, state, err := s.State()
	if err != nil {
		w.OnError(s.Stream(), err)
		return
	}
	for _, chunk := range Split(NewID(), covers, state) {
		if _, err := w.Log.Append(ctx, s.Stream(), chunk); err != nil {
			w.OnError(s.Stream(), err)
			return
		}
	}
	w.OnWritten(s.Stream(), covers, len(state))
}
