package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/dial"
)

// Options bound the pool's connections.
type Options struct {
	// DialWaitTimeout is how long a request waits for a connection.
	DialWaitTimeout time.Duration
	// DialTimeout bounds making a connection; DialWithin if that is longer.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept where the endpoint announces
	// nothing.
	IdleTimeout time.Duration
	// Dial makes connections; see TCP.
	Dial dial.Func
}

// Pool keeps idle connections by endpoint. It is safe for concurrent use.
type Pool struct {
	opts          Options
	mu            sync.Mutex
	idle          map[string][]*conn // By the endpoint's name, the latest used last.
	detachedDials map[string]int     // Attempts that go on without their requests, by the endpoint's name.
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	opts.DialTimeout = max(opts.DialTimeout, opts.DialWaitTimeout)
	return &Pool{opts: opts, idle: map[string][]*conn{}, detachedDials: map[string]int{}}
}

// Answer is an endpoint's answer. Close must be called once; the connection is
// kept if the body was read to its end.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Framed says that the body's end is told by a length or chunks, and not
	// only by the end of the connection.
	Framed bool

	pool     *Pool
	endpoint string
	conn     *conn
	resp     *http.Response
	writeErr <-chan error
	complete bool
	unwatch  func() bool
}

// Send makes one exchange with the endpoint of that name at address (IP:port).
// When ctx ends, the connection is closed, so that the endpoint stops working.
func (p *Pool) Send(ctx context.Context, endpoint, address string, out *Outgoing) (*Answer, error) {
	c := p.takeIdle(endpoint)
	if c == nil {
		fresh, err := p.connect(ctx, endpoint, address)
		if err != nil {
			return nil, eris.Wrap(errors.Join(ErrNotSent, err), "upstream: dial")
		}
		c = fresh
	}
	unwatch := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, writeErr, err := c.send(ctx, out) //nolint:bodyclose // Answer.Close ends the exchange.
	if err != nil {
		unwatch()
		_ = c.Close()
		return nil, err
	}
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header, pool: p, endpoint: endpoint, conn: c, resp: resp, writeErr: writeErr, unwatch: unwatch,
		Framed: resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked"),
	}
	a.Body = (*answerBody)(a)
	return a, nil
}

// Probe makes a connection to the endpoint and keeps it for use.
func (p *Pool) Probe(ctx context.Context, endpoint, address string) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return eris.Wrap(errors.Join(ErrNotSent, err), "upstream: probe")
	}
	p.addIdle(endpoint, c)
	return nil
}

// takeIdle returns the latest used connection that is still quiet, or nil.
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

// release puts a connection back whose answer was read whole.
func (p *Pool) release(endpoint string, c *conn) {
	c.awaitFirstByte()
	p.addIdle(endpoint, c)
}

// addIdle adds a connection that waits for nothing.
func (p *Pool) addIdle(endpoint string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[endpoint] = append(p.idle[endpoint], c)
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Pool) CloseIdle(endpoint string) {
	p.mu.Lock()
	list := p.idle[endpoint]
	delete(p.idle, endpoint)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes connections that have idled too long.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTimeout {
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

// answerBody reads an answer's body and notes whether its end was reached.
type answerBody Answer

// Read implements io.Reader. Its errors are io.EOF at a whole body's end, or
// ErrBroken.
func (b *answerBody) Read(into []byte) (int, error) {
	n, err := b.resp.Body.Read(into)
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
	case err != nil:
		err = eris.Wrap(errors.Join(ErrBroken, err), "upstream: read answer")
	}
	return n, err
}

// Close ends the exchange.
func (a *Answer) Close() {
	connOpen := a.unwatch() // False if ctx has ended and closed the connection.
	if !connOpen || !a.isConnReusable() {
		_ = a.conn.Close()
		return
	}
	if timeout, ok := announcedIdleTimeout(a.Header); ok {
		a.conn.idleTimeout = timeout
	}
	a.pool.release(a.endpoint, a.conn)
}

// isConnReusable says whether the connection stands right before the next request.
func (a *Answer) isConnReusable() bool {
	if !a.complete || !a.Framed || a.resp.Close || a.conn.br.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.writeErr:
		return err == nil
	default:
		return false // An early answer: the request is still being written.
	}
}
