package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog/diode"
)

// ringPoll is how often the ring's reader looks for lines.
const ringPoll = 20 * time.Millisecond

// ErrLinesLeft says that the output's reader did not take the last lines in time.
var ErrLinesLeft = eris.New("logging: last lines not taken by the output's reader")

// Ring is a writer that never blocks: lines wait for the reader of the output
// in a ring, and the oldest are dropped and counted when it is full.
type Ring struct {
	io.WriteCloser
	dropped atomic.Int64
}

// NewRing returns a Ring of so many lines in front of w.
func NewRing(w io.Writer, lines int) *Ring {
	r := &Ring{}
	// The writer's Close closes what it writes to, if it can: the output must stay
	// open for what is written after the ring.
	unowned := struct{ io.Writer }{w}
	r.WriteCloser = diode.NewWriter(unowned, lines, ringPoll, func(missed int) {
		r.dropped.Add(int64(missed))
		fmt.Fprintf(w, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"logging: lines dropped\"}\n", missed)
	})
	return r
}

// CloseWithin writes the lines that are left, for that long at most. A reader that
// takes none must not keep the process from ending: its lines are given up.
func (r *Ring) CloseWithin(patience time.Duration) error {
	closed := make(chan error, 1)
	go func() { closed <- r.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(patience):
		return ErrLinesLeft
	}
}

// Dropped returns how many lines were dropped.
func (r *Ring) Dropped() int64 { return r.dropped.Load() }
