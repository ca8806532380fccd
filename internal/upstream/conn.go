// Package upstream sends single HTTP/1.1 requests to endpoints over kept
// connections. A request is written once: nothing is sent again by this
// package, so a caller can tell what may have run. A connection is used again
// only if its last answer was read whole and nothing came behind it.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of Send and of an answer's body. Callers compare them with errors.Is.
var (
	// ErrNotSent says that no connection could be made: nothing has run.
	ErrNotSent = eris.New("upstream: not sent")
	// ErrBroken says that the connection ended, fell silent or brought bytes
	// that are no answer after the request was sent: it may have run.
	ErrBroken = eris.New("upstream: connection broken")
)

const (
	// writeBufferBytes and readBuffer are the bytes of a connection's buffers; a
	// few hundred connections stay under 4 MB.
	writeBufferBytes = 4 << 10
	readBufferBytes  = 8 << 10
	// idleMargin is taken off the idle time that an endpoint announces: its
	// close and our next request would cross on the way.
	idleMargin = 300 * time.Millisecond
	// minIdleTimeout is used where the announced idle time is not above
	// the margin.
	minIdleTimeout = 100 * time.Millisecond
	// maxStrayAnswers is how many answers to other requests are passed over on one
	// connection before it is given up.
	maxStrayAnswers = 2
)

// conn is one connection. Its reader goroutine waits for the first byte of
// whatever comes next, so that bytes nobody asked for are seen while it idles.
type conn struct {
	net.Conn
	br          *bufio.Reader
	bw          *bufio.Writer
	firstByte   chan error // Gets the result of waiting for the next byte.
	idleTimeout time.Duration
	idleSince   time.Time
}

func newConn(c net.Conn, idleTimeout time.Duration) *conn {
	out := &conn{
		Conn: c, br: bufio.NewReaderSize(c, readBufferBytes), bw: bufio.NewWriterSize(c, writeBufferBytes),
		firstByte: make(chan error, 1), idleTimeout: idleTimeout,
	}
	out.awaitFirstByte()
	return out
}

// awaitFirstByte starts waiting for the next byte.
func (c *conn) awaitFirstByte() {
	go func() {
		_, err := c.br.Peek(1)
		c.firstByte <- err
	}()
}

// isReusable says that nothing has come and the connection has not idled too long.
func (c *conn) isReusable(now time.Time) bool {
	select {
	case <-c.firstByte: //nolint:errcheck // Bytes or an end that nobody asked for: either way it is not quiet.
		return false
	default:
		return now.Sub(c.idleSince) < c.idleTimeout
	}
}

// Outgoing is one request as it goes out.
type Outgoing struct {
	Method string
	Target string // Path and query, unchanged.
	Host   string
	Header http.Header
	Body   []byte
	// Matches says whether an answer's header belongs to this request; answers to
	// others are passed over.
	Matches func(status int, h http.Header) bool
}

// send writes the request and reads the answer's head.
func (c *conn) send(ctx context.Context, out *Outgoing) (*http.Response, <-chan error, error) {
	writeErr := make(chan error, 1)
	go func() { writeErr <- c.write(out) }()
	for range maxStrayAnswers + 1 {
		select {
		case err := <-c.firstByte:
			if err != nil {
				return nil, nil, eris.Wrap(errors.Join(ErrBroken, err), "upstream: no answer")
			}
		case <-ctx.Done():
			return nil, nil, eris.Wrap(errors.Join(ErrBroken, ctx.Err()), "upstream: given up")
		}
		resp, err := c.readHead(out.Method)
		if err != nil {
			return nil, nil, eris.Wrap(errors.Join(ErrBroken, err), "upstream: no answer in the protocol")
		}
		if out.Matches == nil || out.Matches(resp.StatusCode, resp.Header) {
			return resp, writeErr, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, nil, eris.Wrap(ErrBroken, "upstream: ended behind the answer to another request")
		}
		c.awaitFirstByte()
	}
	return nil, nil, eris.Wrap(ErrBroken, "upstream: only answers to other requests")
}

// readHead reads a final answer's head; informational ones are passed over.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// write sends the request with a length and the header as it is given.
func (c *conn) write(out *Outgoing) error {
	w := c.bw
	_, _ = w.WriteString(out.Method + " " + out.Target + " HTTP/1.1\r\nHost: " + out.Host + "\r\n")
	_ = out.Header.Write(w)
	if len(out.Body) > 0 || out.Method != http.MethodGet && out.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(out.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(out.Body)
	return w.Flush() // A bufio.Writer keeps its first error.
}

// announcedIdleTimeout returns how long the endpoint lets the connection idle, by its
// announcement; ok is false if it announces nothing.
func announcedIdleTimeout(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, minIdleTimeout), true
		}
	}
	return 0, false
}
