package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog/diode"
)

// ringPollInterval is the interval at which buffered lines are written to the
// output.
const ringPollInterval = 20 * time.Millisecond

// ErrFlushTimeout reports that the output did not accept all buffered lines in
// time.
var ErrFlushTimeout = eris.New("logging: the output did not accept the last lines in time")

// RingWriter is a non-blocking writer in front of an output that may block. It
// buffers lines in a ring; when the ring is full, the oldest are dropped and
// counted.
type RingWriter struct {
	io.WriteCloser
	dropped atomic.Int64
}

// NewRingWriter returns a RingWriter that buffers up to capacity lines for w. When
// lines have been dropped, it writes a warning with their number to w.
func NewRingWriter(w io.Writer, capacity int) *RingWriter {
	r := &RingWriter{}
	// diode.Writer closes an output that implements io.Closer. This one must stay
	// open for what is written after the ring is closed.
	unclosable := struct{ io.Writer }{w}
	r.WriteCloser = diode.NewWriter(unclosable, capacity, ringPollInterval, func(missed int) {
		r.dropped.Add(int64(missed))
		fmt.Fprintf(w, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"logging: lines dropped\"}\n", missed)
	})
	return r
}

// CloseWithTimeout flushes the buffered lines to the output and closes the ring,
// not the output. If that takes longer than timeout it returns ErrFlushTimeout
// and the remaining lines may be lost: an output that nobody reads must not keep
// the process from exiting.
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

// Dropped returns the number of lines dropped so far.
func (r *RingWriter) Dropped() int64 { return r.dropped.Load() }
