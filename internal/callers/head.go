package callers

import (
	"bytes"
	"io"
	"os"
	"time"
)

const (
	// freeHeadBytes and freeHeadFields are the size of a header that needs no memory of the
	// budget. Nearly all are smaller.
	freeHeadBytes, freeHeadFields = 4 << 10, 64
	// fieldBytes is what a field takes besides its text, in the header and its copies.
	fieldBytes = 256
	// copiesOfHead is how often the text of a header is held.
	copiesOfHead = 2
	// headBufferBytes is the size of net/http's read buffer: as much of a body may be read
	// together with the end of a header.
	headBufferBytes = 4 << 10
	// maxHeadWait bounds the wait for memory. The request was not read then, so that its caller
	// can send it elsewhere.
	maxHeadWait = 500 * time.Millisecond
	// refusalLinger is how long the rest of a header that is too large is read, so that its
	// caller can read the refusal: closing a connection with unread bytes resets it.
	refusalLinger = 250 * time.Millisecond
)

// headTooLarge is the answer to a request whose header is too large.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Content-Length: 15\r\nConnection: close\r\n\r\nhead too large\n"

// head is what was read of a request's header, and the memory that it takes. It is guarded by the
// connection's mutex.
type head struct {
	bytes, fields int
	held          int64 // Bytes of limits.heads.
}

// cost returns the memory that the header takes once it is parsed; 0 for one of usual size.
func (h *head) cost() int64 {
	if h.bytes <= freeHeadBytes && h.fields <= freeHeadFields {
		return 0
	}
	return int64(copiesOfHead*h.bytes + fieldBytes*h.fields)
}

// checkHead counts data that belongs to a request's header. It returns an error, and has refused
// the request, if the header is too large or there is no memory for it.
func (c *conn) checkHead(data []byte) error {
	switch c.countHead(data) {
	case headFits:
		return nil
	case headOversized:
		c.limits.counts.refusedHeads.Add(1)
		c.refuseHead()
		return io.EOF
	}
	err := c.awaitHeadMemory()
	if err != nil {
		c.limits.counts.refusedHeads.Add(1)
	}
	return err
}

// headState is what is to become of a header.
type headState int

const (
	headFits headState = iota
	headOversized
	headNeedsMemory
)

// countHead counts data that was read, unless a request is being served, and takes memory for it
// if there is some.
func (c *conn) countHead(data []byte) headState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseActive {
		return headFits
	}
	c.head.bytes += len(data)
	c.head.fields += bytes.Count(data, []byte("\n"))
	limit := int(c.limits.maxHeaderBytes.Load())
	switch {
	case limit > 0 && c.head.bytes > limit+headBufferBytes:
		return headOversized
	case !c.tryTakeHeadMemory():
		return headNeedsMemory
	}
	return headFits
}

// tryTakeHeadMemory takes memory for what was read of the header, and reports whether there was
// enough. The caller must hold c.mu.
func (c *conn) tryTakeHeadMemory() bool {
	need := c.head.cost() - c.head.held
	if need <= 0 || c.limits.heads == nil || c.closed {
		return true
	}
	if !c.limits.heads.TryTake(need) {
		return false
	}
	c.head.held += need
	return true
}

// awaitHeadMemory waits for memory for what was read of the header. It returns
// os.ErrDeadlineExceeded if there is none.
func (c *conn) awaitHeadMemory() error {
	timeout := time.NewTimer(maxHeadWait)
	defer timeout.Stop()
	for {
		changed := c.limits.heads.Budget().Changed()
		c.mu.Lock()
		ok := c.tryTakeHeadMemory()
		c.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return os.ErrDeadlineExceeded
		}
	}
}

// endHead gives the memory of the header back when its request, or the connection, has ended.
func (c *conn) endHead(closed bool) {
	c.mu.Lock()
	held := c.head.held
	c.head = head{}
	c.closed = c.closed || closed
	c.mu.Unlock()
	if held > 0 {
		c.limits.heads.Give(held)
	}
}

// refuseHead answers a request whose header is too large, of which net/http would read more.
func (c *conn) refuseHead() {
	if _, err := c.Write([]byte(headTooLarge)); err != nil {
		return
	}
	_ = c.CloseWrite()
	_ = c.tcp.SetReadDeadline(time.Now().Add(refusalLinger)) // If this fails, the connection is closed, as it is soon.
	_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.tcp})
}
