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
	// Newest returns the newest whole snapshot that went by.
	Newest() Seen
	// Complete says whether the tables hold every record of the stream, and
	// this version understood each of them.
	Complete() bool
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
	// First gives the oldest offset that the log was seen to keep.
	First func(record.Stream) uint64
	// Every is the longest time between two snapshots of a stream.
	Every   time.Duration
	Written func(stream record.Stream, covers uint64, bytes int)
	Failed  func(stream record.Stream, err error)
}

const (
	checkEvery  = time.Second
	maxJitter   = 2 * time.Second
	writeWithin = time.Minute
)

// Run writes until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		var due []Source
		for _, s := range w.Sources {
			if w.due(s) {
				due = append(due, s)
			}
		}
		if len(due) > 0 && !pause(ctx, rand.N(min(maxJitter, w.Every/4)+1)) {
			return
		}
		for _, s := range due {
			if w.due(s) {
				w.write(ctx, s)
			}
		}
		if !pause(ctx, min(checkEvery, w.Every/4)) {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *Writer) due(s Source) bool {
	newest := s.Newest()
	span := Span{First: w.First(s.Stream()), Next: s.Next(), Covers: newest.Covers, Age: newest.Age(time.Now())}
	return s.Complete() && Due(span, w.Every)
}

// write appends the chunks one after the other. If it ends half-way the
// snapshot is torn, nobody uses it, and the next one has another identity.
func (w *Writer) write(ctx context.Context, s Source) {
	ctx, cancel := context.WithTimeout(ctx, writeWithin)
	defer cancel()
	covers, state, err := s.State()
	if err != nil {
		w.Failed(s.Stream(), err)
		return
	}
	for _, chunk := range Split(NewID(), covers, state) {
		if _, err := w.Log.Append(ctx, s.Stream(), chunk); err != nil {
			w.Failed(s.Stream(), err)
			return
		}
	}
	w.Written(s.Stream(), covers, len(state))
}
