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
	// firstRequestTimeout is how long a new connection is left to its first request while the
	// others end: its caller has just chosen this instance, and on a full link the
	// request takes more than a second to come.
	firstRequestTimeout = 1500 * time.Millisecond
	// headerTimeout bounds the time from the first byte of a request on a kept
	// connection to the end of its head.
	headerTimeout = 10 * time.Second
	// drainHeaderTimeout is the same in a drain, on any connection: a caller that has
	// sent a part of a head and stalls must not hold up the others' end.
	drainHeaderTimeout = 2 * time.Second
)

// phase is what net/http does with a connection.
type phase int

const (
	// phaseNew waits for its first request.
	phaseNew phase = iota
	// phaseIdle waits for its next request. net/http tells that it has one only
	// once the request's whole head was read.
	phaseIdle
	// phaseActive serves a request.
	phaseActive
)

// conn is a caller's connection. It ends by its read deadline, never by a close
// from outside: the reader that finds it expired has read nothing, and one that
// was faster takes the deadline back.
type conn struct {
	net.Conn // For its other methods: those of tcp alone would write past Write.
	tcp      *net.TCPConn
	meter    *linkload.Meter
	onClose  func(*conn)

	mu         sync.Mutex
	phase      phase
	phaseStart time.Time // When the phase began.
	// unansweredSince is when bytes were first read since the last write; zero if none.
	unansweredSince time.Time
	readDeadline    time.Time // For reads, as net/http set it.
	expired         bool      // The read deadline stands in the past, to end the connection.
}

func newConn(accepted *net.TCPConn, meter *linkload.Meter, onClose func(*conn)) *conn {
	return &conn{Conn: accepted, tcp: accepted, meter: meter, onClose: onClose, phase: phaseNew, phaseStart: time.Now()}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isExpired() {
		n, err = c.readPending(p)
	}
	if n > 0 {
		c.meter.CountReceived(n)
		c.onRead()
	}
	return n, err
}

// readPending reads what has come although the deadline has expired: the process may
// have had no processor to read it before.
func (c *conn) readPending(p []byte) (int, error) {
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
	c.unansweredSince = time.Time{}
	c.mu.Unlock()
	n, err := c.tcp.Write(p)
	c.meter.CountSent(n)
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.expired {
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
	defer c.onClose(c)
	return c.tcp.Close()
}

func (c *conn) isExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

// onRead notes that a request has begun, or goes on.
func (c *conn) onRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unansweredSince.IsZero() {
		c.unansweredSince = time.Now()
	}
	c.cancelExpiry()
}

// cancelExpiry takes back the decision to end.
func (c *conn) cancelExpiry() {
	if !c.expired {
		return
	}
	c.expired = false
	_ = c.tcp.SetReadDeadline(c.readDeadline) // On a connection that is closed already the next read fails.
}

// setActive notes that net/http has a request.
func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseStart = phaseActive, time.Now()
	c.cancelExpiry()
}

// setIdle notes that net/http has sent an answer to its end.
func (c *conn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseStart = phaseIdle, now
}

// expireIfIdle ends the connection if it has idled longer than limit.
func (c *conn) expireIfIdle(now time.Time, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase != phaseIdle || c.expired:
	case c.unansweredSince.IsZero() && now.Sub(c.phaseStart) > timeout:
		c.expire()
	case !c.unansweredSince.IsZero() && now.Sub(c.unansweredSince) > headerTimeout:
		c.expire() // A request that was begun and never came: there is no whole one to answer.
	}
}

// expireIfNoRequest ends the connection if it waits for a request, or for the rest of a
// head that does not come.
func (c *conn) expireIfNoRequest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.expired || c.phase == phaseActive:
	case !c.unansweredSince.IsZero():
		if now.Sub(c.unansweredSince) > drainHeaderTimeout {
			c.expire()
		}
	case c.phase == phaseIdle, c.phase == phaseNew && now.Sub(c.phaseStart) > firstRequestTimeout:
		c.expire()
	}
}

// expire makes the connection's reader give up unless it finds a request.
func (c *conn) expire() {
	c.expired = true
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0)) // Of a connection that is closed already nothing is to end.
}
