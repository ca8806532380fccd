package snapshot

import (
	"context"
	"math/rand/v2"
	"time"

	"guavapier/internal/record"
)

// Source is a stream whose state can be written as a snapshot. replica.Replica
// implements it.
type Source interface {
	Stream() record.Stream
	NextOffset() uint64
	// NewestSnapshot returns the newest complete snapshot that was read from
	// the stream, or the zero value if there was none.
	NewestSnapshot() Summary
	// IsComplete reports whether the tables hold every record of the stream and
	// this version knew the kind of each.
	IsComplete() bool
	// State returns the encoded state and the offset after the last record in
	// it.
	State() (covers uint64, state []byte, err error)
}

// Appender appends records to the log. platform.Publisher implements it.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// Writer writes snapshots of its sources when they are due. Every instance runs
// one. A random delay before each write makes it likely that only one instance
// writes, and a duplicate is harmless.
type Writer struct {
	Log     Appender
	Sources []Source
	// FirstOffset returns the oldest offset of a stream that the log was last
	// seen to retain.
	FirstOffset func(record.Stream) uint64
	// MaxAge is the longest time between two snapshots of a stream.
	MaxAge time.Duration
	// OnWritten is called after a snapshot was written; bytes is the size of
	// the encoded state.
	OnWritten func(stream record.Stream, covers uint64, bytes int)
	OnError   func(stream record.Stream, err error)
}

const (
	// checkInterval is the time between two checks of the sources.
	checkInterval = time.Second
	// maxJitter bounds the random delay before a write.
	maxJitter = 2 * time.Second
	// writeTimeout bounds the writing of one snapshot.
	writeTimeout = time.Minute
)

// Run checks the sources and writes the snapshots that are due, until ctx ends.
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

// sleep blocks for d. It returns false if ctx ends first.
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
	status := StreamStatus{First: w.FirstOffset(s.Stream()), Next: s.NextOffset(), Covers: newest.Covers, Age: newest.Age(time.Now())}
	return s.IsComplete() && IsDue(status, w.MaxAge)
}

// write appends the chunks one after the other. A snapshot whose write ends
// halfway is incomplete and never used; the next one has another ID.
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
