package httpanswer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"guavapier/internal/dial"
)

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// conn is a connection of a client. It ends only where the server has received the whole request; else reading fails in
// place of io.EOF.
type conn struct {
	net.Conn
	closeOnce sync.Once
	closed    chan struct{}

	mu       sync.Mutex
	matched  int           // Bytes of headEnd that were written last; all of them after the head of the request.
	bodyLeft int64         // Bytes of the request's body that were not written yet.
	written  chan struct{} // Closed when the whole request has been written; nil before the first one.
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, closed: make(chan struct{})} }

// beginRequest is called before a request whose body has bodyBytes is written.
func (c *conn) beginRequest(bodyBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.matched, c.bodyLeft, c.written = 0, bodyBytes, make(chan struct{})
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(p[:n])
	return n, err
}

// count takes account of bytes of the request that were written.
func (c *conn) count(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written == nil || c.matched == len(headEnd) && c.bodyLeft <= 0 {
		return
	}
	for len(p) > 0 && c.matched < len(headEnd) {
		switch p[0] {
		case headEnd[c.matched]:
			c.matched++
		case headEnd[0]:
			c.matched = 1
		default:
			c.matched = 0
		}
		p = p[1:]
	}
	c.bodyLeft -= int64(len(p))
	if c.matched == len(headEnd) && c.bodyLeft <= 0 {
		close(c.written)
	}
}

// Read implements net.Conn. At the end of the connection it waits until the server has received the request, or that can't
// happen any more.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if undelivered := c.awaitDelivery(); undelivered != nil {
		return n, undelivered
	}
	return n, err
}

// awaitDelivery waits until the server has received the request. It fails if the connection is reset or closed before.
func (c *conn) awaitDelivery() error {
	c.mu.Lock()
	written := c.written
	c.mu.Unlock()
	if written != nil {
		select {
		case <-written:
		case <-c.closed:
			return net.ErrClosed
		}
	}
	return dial.AwaitDelivery(context.Background(), c.Conn)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
