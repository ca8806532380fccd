// Package upstream sends HTTP/1.1 requests to endpoints over pooled connections. It never
// retries: a request is written at most once, so its user knows whether it may have run. A
// connection is reused only if its last answer was read completely and no further bytes
// have arrived.
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

	"guavapier/internal/httpanswer"
)

// Errors of Send and of reading an answer's body, for errors.Is.
var (
	// ErrNotSent is returned if no connection could be made. The request has not run.
	ErrNotSent = eris.New("upstream: request not sent")
	// ErrBroken is returned if, after sending began, the connection ended or timed out,
	// the context ended, or bytes arrived that are no valid answer. The request may have
	// run.
	ErrBroken = eris.New("upstream: connection broken")
)

// errSwitchedProtocols reports that an endpoint has switched to another protocol, which no request asks for.
var errSwitchedProtocols = eris.New("upstream: endpoint has switched protocols unasked")

const (
	// writeBufferBytes and readBufferBytes are the sizes of a connection's buffers: a few
	// hundred connections use less than 4 MB.
	writeBufferBytes = 4 << 10
	readBufferBytes  = 8 << 10
	// idleMargin is subtracted from the idle timeout that an endpoint announces. Otherwise
	// the endpoint could close the connection while the next request is on its way.
	idleMargin = 300 * time.Millisecond
	// minIdleTimeout is the least idle timeout after idleMargin is subtracted.
	minIdleTimeout = 100 * time.Millisecond
	// maxStrayAnswers is the number of answers to other requests that are discarded while
	// waiting for an answer, before the connection is given up.
	maxStrayAnswers = 2
)

// conn is a connection to an endpoint. A goroutine waits for the next byte to arrive, also
// while the connection is idle, so that unexpected bytes or its end are noticed before the
// connection is reused.
type conn struct {
	*limitedConn
	br          *bufio.Reader
	bw          *bufio.Writer
	firstByte   chan error // Receives nil when a byte has arrived, else the read error.
	idleTimeout time.Duration
	idleSince   time.Time // When it was last added to the idle connections.
	via         string    // Name of the instance that it leads through; "" for none.
	reusedUntil time.Time // No request is sent on it after that; zero for no limit.
}

// newConn returns a conn for an established connection, waiting for the first byte.
func newConn(c net.Conn, idleTimeout time.Duration) *conn {
	limited := &limitedConn{Conn: c}
	out := &conn{
		limitedConn: limited, br: bufio.NewReaderSize(limited, readBufferBytes), bw: bufio.NewWriterSize(c, writeBufferBytes),
		firstByte: make(chan error, 1), idleTimeout: idleTimeout,
	}
	if indirect, ok := c.(Indirect); ok {
		out.via, out.reusedUntil = indirect.Via(), indirect.ReusableUntil()
	}
	out.awaitFirstByte()
	return out
}

// awaitFirstByte starts a goroutine that waits for the next byte and sends the result to
// firstByte.
func (c *conn) awaitFirstByte() {
	go func() {
		_, err := c.br.Peek(1)
		c.firstByte <- err
	}()
}

// isExpired reports whether the connection has been idle, or in use, for too long to carry
// another request.
func (c *conn) isExpired(now time.Time) bool {
	return now.Sub(c.idleSince) >= c.idleTimeout || !c.reusedUntil.IsZero() && now.After(c.reusedUntil)
}

// isReusable reports whether no bytes have arrived, the connection has not ended and has not
// expired.
func (c *conn) isReusable(now time.Time) bool {
	select {
	case <-c.firstByte: //nolint:errcheck // Unexpected bytes or the connection's end: it can't be reused in either case.
		return false
	default:
		return !c.isExpired(now)
	}
}

// Outgoing is a request to send.
type Outgoing struct {
	Method string
	Target string // Path and query, unchanged.
	Host   string
	Header http.Header // Without Host and Content-Length, which are added.
	Body   [][]byte    // In pieces.
	// Matches reports whether an answer belongs to this request; answers to others are
	// discarded. Nil accepts every answer.
	Matches func(status int, h http.Header) bool
	// OnSend is called when there is a connection and the request is about to be written, with
	// the name of the instance that it leads through, "" for none. It may be nil.
	OnSend func(via string)
}

// send writes the request and reads the answer's status and header. The channel receives
// the result of writing, which may end after the answer has begun. Errors are ErrBroken.
func (c *conn) send(ctx context.Context, out *Outgoing) (*http.Response, <-chan error, error) {
	writeErr := make(chan error, 1)
	go func() { writeErr <- c.write(out) }()
	for range maxStrayAnswers + 1 {
		select {
		case err := <-c.firstByte:
			if err != nil {
				return nil, nil, eris.Wrap(errors.Join(ErrBroken, err), "upstream: connection ended before the answer")
			}
		case <-ctx.Done():
			return nil, nil, eris.Wrap(errors.Join(ErrBroken, ctx.Err()), "upstream: request cancelled before the answer")
		}
		resp, err := c.readHead(out.Method)
		if err != nil {
			return nil, nil, eris.Wrap(errors.Join(ErrBroken, err), "upstream: malformed or incomplete answer header")
		}
		if out.Matches == nil || out.Matches(resp.StatusCode, resp.Header) {
			return resp, writeErr, nil
		}
		if err := discard(resp.Body, maxStrayBytes); err != nil || resp.Close {
			return nil, nil, eris.Wrap(errors.Join(ErrBroken, err), "upstream: connection ended after the answer to another request")
		}
		c.awaitFirstByte()
	}
	return nil, nil, eris.Wrap(ErrBroken, "upstream: too many answers to other requests")
}

// readHead reads the status and header of the next answer and skips informational (1xx)
// ones.
func (c *conn) readHead(method string) (*http.Response, error) {
	buffered, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return nil, err
	}
	c.limit(maxHeadBytes, buffered)
	defer c.unlimit()
	for checked := 0; ; {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		end := len(c.kept) - c.br.Buffered()
		if err := errors.Join(httpanswer.CheckStatus(resp.StatusCode), httpanswer.CheckLines(c.kept[checked:end])); err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitchedProtocols
		}
		checked = end
	}
}

// discard reads a body to its end. It fails if that is not reached within maxBytes.
func discard(body io.Reader, maxBytes int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxBytes+1))
	if err == nil && n > maxBytes {
		return errBodyTooLarge
	}
	return err
}

// write sends the request, with Host and, unless it is a GET or HEAD without a body,
// Content-Length added to its header.
func (c *conn) write(out *Outgoing) error {
	w := c.bw
	_, _ = w.WriteString(out.Method + " " + out.Target + " HTTP/1.1\r\nHost: " + out.Host + "\r\n")
	_ = out.Header.Write(w)
	bodyBytes := 0
	for _, piece := range out.Body {
		bodyBytes += len(piece)
	}
	if bodyBytes > 0 || out.Method != http.MethodGet && out.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	for _, piece := range out.Body {
		_, _ = w.Write(piece)
	}
	return w.Flush() // A bufio.Writer returns its first error from here on.
}

// announcedIdleTimeout returns how long to keep a connection idle by the timeout, in
// seconds, of an answer's Keep-Alive field. The second result is false if it has none.
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
