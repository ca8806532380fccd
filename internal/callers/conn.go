package callers

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"guavapier/internal/linkload"
)

const (
	// askWithin is how long a new connection is left to its first request while the
	// others end: its caller has just chosen this instance, and on a full link the
	// request takes more than a second to come.
	askWithin = 1500 * time.Millisecond
	// beginWithin bounds the time from the first byte of a request on a kept
	// connection to the end of its head.
	beginWithin = 10 * time.Second
	// beginWithinDrain is the same in a drain, on any connection: a caller that has
	// sent a part of a head and stalls must not hold up the others' end.
	beginWithinDrain = 2 * time.Second
)

// phase is what net/http does with a connection.
type phase int

const (
	// phaseFresh waits for its first request.
	phaseFresh phase = iota
	// phaseIdle waits for its next request. net/http tells that it has one only
	// once the request's whole head was read.
	phaseIdle
	// phaseBusy serves a request.
	phaseBusy
)

// conn is a caller's connection. It ends by its read deadline, never by a close
// from outside: the reader that finds it expired has read nothing, and one that
// was faster takes the deadline back.
type conn struct {
	net.Conn // For its other methods: those of tcp alone would write past Write.
	tcp      *net.TCPConn
	meter    *linkload.Meter
	forget   func(*conn)

	mu    sync.Mutex
	phase phase
	since time.Time // When the phase began.
	// unanswered is when bytes were first read since the last write; zero if none.
	unanswered time.Time
	deadline   time.Time // For reads, as net/http set it.
	ending     bool      // The read deadline stands in the past, to end the connection.
}

func newConn(accepted *net.TCPConn, meter *linkload.Meter, forget func(*conn)) *conn {
	return &conn{Conn: accepted, tcp: accepted, meter: meter, forget: forget, phase: phaseFresh, since: time.Now()}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isEnding() {
		n, err = c.lookAgain(p)
	}
	if n > 0 {
		c.meter.CountReceived(n)
		c.hasRead()
	}
	return n, err
}

// lookAgain reads what has come although the deadline has expired: the process may
// have had no processor to read it before.
func (c *conn) lookAgain(p []byte) (int, error) {
	if !isReadable(c.tcp) {
		return 0, os.ErrDeadlineExceeded
	}
	if err := c.tcp.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	return c.tcp.Read(p)
}

// Write implements net.Conn. A request is over once its answer is out; the
// caller's next one can't come before.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unanswered = time.Time{}
	c.mu.Unlock()
	n, err := c.tcp.Write(p)
	c.meter.CountSent(n)
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending {
		return nil
	}
	return c.tcp.SetReadDeadline(t)
}

// CloseWrite lets net/http close after a refusal so that the caller sees it.
func (c *conn) CloseWrite() error {
	return c.tcp.CloseWrite()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.forget(c)
	return c.tcp.Close()
}

func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// hasRead notes that a request has begun, or goes on.
func (c *conn) hasRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered.IsZero() {
		c.unanswered = time.Now()
	}
	c.stay()
}

// stay takes back the decision to end.
func (c *conn) stay() {
	if !c.ending {
		return
	}
	c.ending = false
	_ = c.tcp.SetReadDeadline(c.deadline) // On a connection that is closed already the next read fails.
}

// setBusy notes that net/http has a request.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = phaseBusy, time.Now()
	c.stay()
}

// setIdle notes that net/http has sent an answer to its end.
func (c *conn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = phaseIdle, now
}

// endIdle ends the connection if it has idled longer than limit.
func (c *conn) endIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase != phaseIdle || c.ending:
	case c.unanswered.IsZero() && now.Sub(c.since) > limit:
		c.end()
	case !c.unanswered.IsZero() && now.Sub(c.unanswered) > beginWithin:
		c.end() // A request that was begun and never came: there is no whole one to answer.
	}
}

// endUnasked ends the connection if it waits for a request, or for the rest of a
// head that does not come.
func (c *conn) endUnasked(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ending || c.phase == phaseBusy:
	case !c.unanswered.IsZero():
		if now.Sub(c.unanswered) > beginWithinDrain {
			c.end()
		}
	case c.phase == phaseIdle, c.phase == phaseFresh && now.Sub(c.since) > askWithin:
		c.end()
	}
}

// end makes the connection's reader give up unless it finds a request.
func (c *conn) end() {
	c.ending = true
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0)) // Of a connection that is closed already nothing is to end.
}
