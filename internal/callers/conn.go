package callers

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"guavapier/internal/linkload"
)

const (
	// firstRequestTimeout is how long a drain waits for the first request of a new connection.
	// Its caller has just chosen this instance, and on a congested link the request takes more
	// than a second to arrive.
	firstRequestTimeout = 1500 * time.Millisecond
	// defaultHeaderTimeout bounds the time from the first byte of a request to the end of its
	// header if no other bound is set.
	defaultHeaderTimeout = 10 * time.Second
	// stallTimeout closes the connection of a caller that takes nothing of its answer for so
	// long, writePieceBytes at a time. No caller waits for an answer for longer without reading.
	stallTimeout, writePieceBytes = 30 * time.Second, 16 << 10
	// drainHeaderTimeout is the same bound in a drain, for idle and for new connections: a
	// caller that stalls in the middle of a header must not delay the drain.
	drainHeaderTimeout = 2 * time.Second
)

// phase is the state of a connection as net/http reports it.
type phase int

const (
	// phaseNew: no request was received yet.
	phaseNew phase = iota
	// phaseIdle: the last request was answered and the next one isn't known yet. net/http
	// reports a request only once it has read the whole header; until then, unansweredSince
	// shows that one is arriving.
	phaseIdle
	// phaseActive: a request is being served.
	phaseActive
)

// conn is a caller's connection. To end it, its read deadline is set to the past instead of
// closing it. If the server's next read then fails with a timeout, nothing was read and
// net/http closes the connection. If data arrived first, the read returns it and restores
// the deadline. So no request is read and then dropped.
type conn struct {
	net.Conn // For the remaining methods. Embedding tcp would add its ReadFrom, which bypasses Write.
	tcp      *net.TCPConn
	meter    *linkload.Meter
	// onClose is called by Close; expiry is nil unless the connection had expired.
	onClose func(c *conn, expiry *Expiry)
	limits  *limits
	host    string        // The caller's IP address.
	pace    *rate.Limiter // Of pipelined requests.

	mu         sync.Mutex
	phase      phase
	phaseStart time.Time // When phase last changed.
	// unansweredSince is when data was first read after the last write to the caller, which
	// is usually the start of a request; zero if nothing was read since.
	unansweredSince time.Time
	// readDeadline is the deadline that net/http set. The one in force differs while expired
	// is true.
	readDeadline time.Time
	// expired reports that the read deadline was set to the past to end the connection, and
	// expiredAt when that was.
	expired   bool
	expiredAt time.Time
	// evicted reports that the connection was ended although a request was arriving.
	evicted bool
	closed  bool
	// hasRead reports that data was read since the last answer.
	hasRead bool
	// closingSince is when the sending side was closed, before the connection is, and
	// writingSince when the pending write began; zero for neither.
	closingSince, writingSince time.Time
	head                       head
}

// Expiry describes a connection that was closed because it had no request.
type Expiry struct {
	Caller net.Addr
	// WaitedSince is when the connection was made or its last answer ended, DecidedAt when
	// its end was decided, and ClosedAt when it was closed.
	WaitedSince, DecidedAt, ClosedAt time.Time
	// UnreadBytes is the size of what had arrived by ClosedAt and was not read: a request
	// that crossed the close.
	UnreadBytes int
}

func newConn(accepted *net.TCPConn, meter *linkload.Meter, l *limits, onClose func(*conn, *Expiry)) *conn {
	host, _, _ := net.SplitHostPort(accepted.RemoteAddr().String())
	return &conn{
		host: host, Conn: accepted, tcp: accepted, meter: meter, limits: l, onClose: onClose, phase: phaseNew, phaseStart: time.Now(),
		pace: rate.NewLimiter(maxPipelinedRate, maxPipelinedBurst),
	}
}

// Read implements net.Conn. Data that has arrived takes precedence over an expiry.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isExpired() {
		n, err = c.readPending(p)
	}
	if n == 0 {
		return n, err
	}
	c.meter.CountReceived(n)
	if c.onRead() {
		return 0, os.ErrDeadlineExceeded
	}
	if refused := c.checkHead(p[:n]); refused != nil {
		return 0, refused
	}
	return n, err
}

// readPending reads data that had arrived before the deadline was set to the past. This
// happens if the process got no CPU time to read it.
func (c *conn) readPending(p []byte) (int, error) {
	if !isReadable(c.tcp) {
		return 0, os.ErrDeadlineExceeded
	}
	if err := c.tcp.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	return c.tcp.Read(p)
}

// Write implements net.Conn. The first write of an answer marks the request as answered:
// an HTTP/1.1 caller sends its next request only after the whole answer.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unansweredSince = time.Time{}
	c.mu.Unlock()
	written := 0
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		c.setWriting(time.Now())
		if err := c.tcp.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
			return written, err
		}
		n, err := c.tcp.Write(piece)
		c.meter.CountSent(n)
		if written += n; err != nil || written == len(p) {
			c.setWriting(time.Time{})
			return written, err
		}
	}
}

// setWriting records when the pending write began; zero if there is none.
func (c *conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = since
}

// SetReadDeadline implements net.Conn. While the connection is expired, the deadline takes
// effect only if the expiry is cancelled.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.expired {
		return nil
	}
	return c.tcp.SetReadDeadline(t)
}

// CloseWrite implements the interface by which net/http closes a connection after an error
// response so that the caller can still read the response.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	c.closingSince = time.Now()
	c.mu.Unlock()
	return c.tcp.CloseWrite()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	expiry := c.expiry()
	c.endHead(true)
	err := c.tcp.Close()
	c.onClose(c, expiry)
	return err
}

// expiry describes the expiry of a connection that is about to be closed; nil if it has not
// expired.
func (c *conn) expiry() *Expiry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expired {
		return nil
	}
	return &Expiry{
		Caller: c.tcp.RemoteAddr(), WaitedSince: c.phaseStart, DecidedAt: c.expiredAt, ClosedAt: time.Now(),
		UnreadBytes: unreadBytes(c.tcp),
	}
}

// isExpired reports whether the connection was expired and nothing was read since.
func (c *conn) isExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

// onRead records that data was read, and cancels an expiry. It reports whether the connection has
// to end all the same.
func (c *conn) onRead() (evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return true
	}
	c.hasRead = true
	if c.unansweredSince.IsZero() {
		c.unansweredSince = time.Now()
	}
	c.cancelExpiry()
	return false
}

// cancelExpiry restores the read deadline that net/http set. The caller must hold c.mu.
func (c *conn) cancelExpiry() {
	if !c.expired {
		return
	}
	c.expired = false
	_ = c.tcp.SetReadDeadline(c.readDeadline) // If this fails, the connection is closed, and so the next read fails.
}

// setActive records that net/http has read the header of a request, and cancels an expiry. It
// returns how long the request has to wait, because of those before it.
func (c *conn) setActive() (delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasRead { // All of it had arrived together with an earlier request.
		delay = c.pace.Reserve().Delay()
	}
	c.phase, c.phaseStart = phaseActive, time.Now()
	c.cancelExpiry()
	return delay
}

// setIdle records that net/http has written the whole answer.
func (c *conn) setIdle(now time.Time) {
	c.endHead(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseStart, c.hasRead = phaseIdle, now, false
}

// expireIfIdle ends the connection if it has waited longer than timeout for its next request,
// or longer than headerTimeout for the rest of a header.
func (c *conn) expireIfIdle(now time.Time, timeout, headerTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseActive || c.expired:
	case c.phase == phaseIdle && c.unansweredSince.IsZero() && now.Sub(c.phaseStart) > timeout:
		c.expire()
	case !c.unansweredSince.IsZero() && now.Sub(c.unansweredSince) > headerTimeout:
		c.expire() // No complete request was read, so none is dropped.
	}
}

// expireIfNoRequest ends the connection in a drain, unless a request is being served, its
// header is arriving (up to drainHeaderTimeout), or the connection is new (up to
// firstRequestTimeout).
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

// expire sets the read deadline to the past, so that the server's pending or next read fails
// unless data has arrived. The caller must hold c.mu.
func (c *conn) expire() {
	c.expired, c.expiredAt = true, time.Now()
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0)) // Fails only if the connection is closed already.
}
