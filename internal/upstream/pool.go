package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/dial"
)

// Options configure a Pool.
type Options struct {
	// DialWaitTimeout bounds how long a request waits for a connection.
	DialWaitTimeout time.Duration
	// DialTimeout bounds a dial, also after its request has stopped waiting. It is at
	// least DialWaitTimeout.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the endpoint announces no
	// timeout.
	IdleTimeout time.Duration
	// AckTimeout ends a connection with a request under way whose sent bytes or keep-alive
	// probes are unacknowledged for so long, IdleAckTimeout an idle one. An idle one loses
	// nothing by ending soon, while a sound endpoint may be silent for a while. Both are set
	// only if AckTimeout is not 0.
	AckTimeout, IdleAckTimeout time.Duration
	// Dial makes connections.
	Dial DialFunc
}

// DialFunc connects to an endpoint by its ID and address (IP:port). A connection through
// another instance implements Indirect.
type DialFunc func(ctx context.Context, endpoint, address string) (net.Conn, error)

// Indirect is implemented by connections that lead through another instance.
type Indirect interface {
	// Via returns the other instance's name.
	Via() string
	// ReusableUntil returns when the connection may carry no further requests.
	ReusableUntil() time.Time
}

// Pool makes connections to endpoints and keeps them while idle. It is safe for concurrent
// use.
type Pool struct {
	opts          Options
	mu            sync.Mutex
	idle          map[string][]*conn // By endpoint, the most recently used last.
	detachedDials map[string]int     // Number of dials that continue without their requests, by endpoint.
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	opts.DialTimeout = max(opts.DialTimeout, opts.DialWaitTimeout)
	return &Pool{opts: opts, idle: map[string][]*conn{}, detachedDials: map[string]int{}}
}

// Answer is an endpoint's answer. Close must be called once; the connection can be reused
// only if the body was read to its end.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	Length int64 // Of the body in bytes; -1 if not stated.
	// Framed reports whether the body's end is marked by its length or by chunked
	// encoding, or there can be no body, rather than by the end of the connection.
	Framed bool

	pool     *Pool
	endpoint string
	conn     *conn
	resp     *http.Response
	writeErr <-chan error
	complete bool        // The body was read to its end.
	endErr   error       // Why the end of the connection is not the body's end; set by confirmEnd.
	unwatch  func() bool // Stops closing conn when the context ends; false if that has begun.
	// reading ends when a read of the body has to return.
	reading   context.Context
	interrupt context.CancelFunc
}

// Send sends one request to the endpoint at address (IP:port) and returns its answer with
// the body still to be read. Errors are ErrNotSent or ErrBroken. The connection is closed
// when ctx ends, so that the endpoint stops working on the request.
func (p *Pool) Send(ctx context.Context, endpoint, address string, out *Outgoing) (*Answer, error) {
	c := p.takeIdle(endpoint)
	if c == nil {
		fresh, err := p.connect(ctx, endpoint, address)
		if err != nil {
			return nil, eris.Wrap(errors.Join(ErrNotSent, err), "upstream: dial endpoint")
		}
		c = fresh
	}
	p.setAckTimeout(c, p.opts.AckTimeout)
	if out.OnSend != nil {
		out.OnSend(c.via)
	}
	unwatch := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, writeErr, err := c.send(ctx, out) //nolint:bodyclose // Answer.Close ends the exchange.
	if err != nil {
		unwatch()
		_ = c.Close()
		return nil, err
	}
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, pool: p, endpoint: endpoint, conn: c, resp: resp, writeErr: writeErr, unwatch: unwatch,
		Framed: resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") || resp.Body == http.NoBody,
	}
	a.reading, a.interrupt = context.WithCancel(context.Background())
	a.Body = (*answerBody)(a)
	return a, nil
}

// Probe dials the endpoint to test whether it is reachable, and keeps the connection for
// later requests. Its error is ErrNotSent.
func (p *Pool) Probe(ctx context.Context, endpoint, address string) error {
	return p.ProbeWith(ctx, p.opts.Dial, endpoint, address)
}

// ProbeWith is Probe with another dial function.
func (p *Pool) ProbeWith(ctx context.Context, dial DialFunc, endpoint, address string) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	c, err := dial(ctx, endpoint, address)
	if err != nil {
		return eris.Wrap(errors.Join(ErrNotSent, err), "upstream: probe endpoint")
	}
	p.addIdle(endpoint, newConn(c, p.opts.IdleTimeout))
	return nil
}

// takeIdle removes and returns the most recently used idle connection that can be reused,
// or nil. It closes those that can't.
func (p *Pool) takeIdle(endpoint string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := p.idle[endpoint]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[endpoint] = list
		if c.isReusable(now) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// setAckTimeout sets the connection's TCP user timeout. A connection that has ended in the
// meantime can't be set and fails when it is used.
func (p *Pool) setAckTimeout(c *conn, timeout time.Duration) {
	if p.opts.AckTimeout > 0 {
		_ = SetUserTimeout(c.Conn, timeout)
	}
}

// release returns a connection to the pool after its answer was read completely.
func (p *Pool) release(endpoint string, c *conn) {
	p.setAckTimeout(c, p.opts.IdleAckTimeout)
	c.awaitFirstByte()
	p.addIdle(endpoint, c)
}

// addIdle adds a connection to the endpoint's idle ones. Its awaitFirstByte must have been
// called.
func (p *Pool) addIdle(endpoint string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[endpoint] = append(p.idle[endpoint], c)
}

// CloseIdle closes all idle connections to an endpoint.
func (p *Pool) CloseIdle(endpoint string) {
	p.mu.Lock()
	list := p.idle[endpoint]
	delete(p.idle, endpoint)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections whose idle timeout has expired.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if !c.isExpired(now) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(list[len(kept):])
		p.idle[endpoint] = kept
		if len(kept) == 0 {
			delete(p.idle, endpoint)
		}
	}
}

// answerBody reads an answer's body and records whether its end was reached.
type answerBody Answer

// Read implements io.Reader. It returns io.EOF at the end of a complete body, and
// ErrBroken if the connection fails before.
func (b *answerBody) Read(into []byte) (int, error) {
	n, err := b.resp.Body.Read(into)
	if errors.Is(err, io.EOF) {
		if err = (*Answer)(b).confirmEnd(); err == nil {
			return n, io.EOF
		}
	}
	if err != nil {
		err = eris.Wrap(errors.Join(ErrBroken, err), "upstream: read answer body")
	}
	return n, err
}

// confirmEnd returns nil if the end that was found is the body's. That of a body without a length is the end of the
// connection, and a reset looks the same to the reader while the request is still being written. An endpoint that ends
// the connection before it has received the whole request has broken off; confirmEnd waits until that is certain.
func (a *Answer) confirmEnd() error {
	if !a.complete && a.endErr == nil && !a.Framed {
		a.endErr = a.awaitRequestDelivery()
	}
	a.complete = a.endErr == nil
	return a.endErr
}

// awaitRequestDelivery waits until the endpoint has received the whole request. It fails if that can't happen any more.
func (a *Answer) awaitRequestDelivery() error {
	select {
	case err := <-a.writeErr:
		if err != nil {
			return eris.Wrap(err, "upstream: write request")
		}
	case <-a.reading.Done():
		return a.reading.Err()
	}
	return dial.AwaitDelivery(a.reading, a.conn.Conn)
}

// Rebind makes the rest of the exchange end with ctx rather than with the context of Send. It
// returns false if that has ended already.
func (a *Answer) Rebind(ctx context.Context) bool {
	if !a.unwatch() {
		return false
	}
	a.unwatch = context.AfterFunc(ctx, func() { _ = a.conn.Close() })
	return true
}

// Interrupt makes a read of the body that is under way fail, and all later ones. It may be called
// while another goroutine reads.
func (a *Answer) Interrupt() {
	a.interrupt()
	_ = a.conn.SetReadDeadline(time.Unix(1, 0))
}

// Close returns the connection to the pool if it can be reused and closes it otherwise.
func (a *Answer) Close() {
	a.interrupt()
	connOpen := a.unwatch() // False if ctx has ended, which closes the connection.
	if !connOpen || !a.isConnReusable() {
		_ = a.conn.Close()
		return
	}
	if timeout, ok := announcedIdleTimeout(a.Header); ok {
		a.conn.idleTimeout = timeout
	}
	a.pool.release(a.endpoint, a.conn)
}

// isConnReusable reports whether the next request can be sent on the connection.
func (a *Answer) isConnReusable() bool {
	if !a.complete || !a.Framed || a.resp.Close || a.conn.br.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.writeErr:
		return err == nil
	default:
		return false // The endpoint answered before it had read the request, which is still being written.
	}
}
