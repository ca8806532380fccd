package upstream

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadBytes bounds the status line and header of an answer, with all informational ones
	// before it. What one read has buffered may come on top.
	maxHeadBytes = 64 << 10
	// maxStrayBytes bounds the body of an answer to another request, which is read so that the
	// connection can be kept.
	maxStrayBytes = 256 << 10
)

// errHeadTooLarge reports that an answer's status line and header exceed maxHeadBytes.
var errHeadTooLarge = eris.Errorf("upstream: header of an answer exceeds %d bytes", maxHeadBytes)

// errBodyTooLarge reports that a body that nobody gets exceeds what is read of it.
var errBodyTooLarge = eris.New("upstream: body of an answer that is not passed on is too long")

// limitedConn bounds the bytes that are read while a limit is set, and keeps them. An endpoint can
// go on without end where the end of a line or of a header is due.
type limitedConn struct {
	net.Conn
	limited bool
	left    int
	kept    []byte
}

// limit allows n more bytes to be read, which are kept behind those of before.
func (c *limitedConn) limit(n int, before []byte) {
	c.limited, c.left = true, n
	c.kept = append(c.kept[:0], before...)
}

// unlimit allows any number of bytes to be read and keeps none.
func (c *limitedConn) unlimit() { c.limited, c.kept = false, nil }

// Read implements net.Conn.
func (c *limitedConn) Read(into []byte) (int, error) {
	if !c.limited {
		return c.Conn.Read(into)
	}
	if c.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(into[:min(len(into), c.left)])
	c.left -= n
	c.kept = append(c.kept, into[:n]...)
	return n, err
}

// DiscardBody reads the rest of the answer's body, which nobody gets, so that the connection can
// be used again. It gives up after maxBytes or maxTime; the connection is closed then.
func (a *Answer) DiscardBody(maxBytes int64, maxTime time.Duration) {
	if !a.Framed {
		return // The connection ends with the answer.
	}
	if a.conn.SetReadDeadline(time.Now().Add(maxTime)) != nil {
		return // The connection has ended.
	}
	if discard(a.Body, maxBytes) == nil && a.complete {
		_ = a.conn.SetReadDeadline(time.Time{}) // One that has ended fails when it is used.
	}
}
