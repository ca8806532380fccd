package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

// ringPoll is how often the ring's reader looks for lines.
const ringPoll = 20 * time.Millisecond

// Ring is a writer that never blocks: lines wait for the reader of the output
// in a ring, and the oldest are dropped and counted when it is full.
type Ring struct {
	io.WriteCloser
	dropped atomic.Int64
}

// NewRing returns a Ring of so many lines in front of w.
func NewRing(w io.Writer, lines int) *Ring {
	r := &Ring{}
	r.WriteCloser = diode.NewWriter(w, lines, ringPoll, func(missed int) {
		r.dropped.Add(int64(missed))
		fmt.Fprintf(w, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"logging: lines dropped\"}\n", missed)
	})
	return r
}

// Dropped returns how many lines were dropped.
func (r *Ring) Dropped() int64 { return r.dropped.Load() }
