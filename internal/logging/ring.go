package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog/diode"
)

// ringPollInterval is how often the ring's reader looks for lines.
const ringPollInterval = 20 * time.Millisecond

// ErrFlushTimeout says that the output's reader did not take the last lines in time.
var ErrFlushTimeout = eris.New("logging: last lines not taken by the output's reader")

// RingWriter is a writer that never blocks: lines wait for the reader of the output
// in a ring, and the oldest are dropped and counted when it is full.
type RingWriter struct {
	io.WriteCloser
	dropped atomic.Int64
}

// NewRingWriter returns a Ring of so many lines in front of w.
func NewRingWriter(w io.Writer, capacity int) *RingWriter {
	r := &RingWriter{}
	// The writer's Close closes what it writes to, if it can: the output must stay
	// open for what is written after the ring.
	unclosable := struct{ io.Writer }{w}
	r.WriteCloser = diode.NewWriter(unclosable, capacity, ringPollInterval, func(missed int) {
		r.dropped.Add(int64(missed))
		fmt.Fprintf(w, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"logging: lines dropped\"}\n", missed)
	})
	return r
}

// CloseWithTimeout writes the lines that are left, for that long at most. A reader that
// takes none must not keep the process from ending: its lines are given up.
func (r *RingWriter) CloseWithTimeout(timeout time.Duration) error {
	closed := make(chan error, 1)
	go func() { closed <- r.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(timeout):
		return ErrFlushTimeout
	}
}

// Dropped returns how many lines were dropped.
func (r *RingWriter) Dropped() int64 { return r.dropped.Load() }
