package upstream

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/dial"
)

// maxDetachedDials bounds the connections to one endpoint that are still being made for
// requests that have gone elsewhere.
const maxDetachedDials = 2

// errDialWaitTimeout says that a connection was not made in the time a request waits for it.
var errDialWaitTimeout = eris.New("upstream: connection takes too long")

// dialResult is the end of one attempt to connect.
type dialResult struct {
	conn *conn
	err  error
}

// connect makes a connection for a request, which waits for it for DialWithin and then
// goes elsewhere. The attempt goes on up to DialLast and its connection is kept for the
// requests that follow: on a link that is full of callers' bytes every connection takes
// longer than DialWithin, and giving all up would leave the instance without any.
func (p *Pool) connect(ctx context.Context, endpoint, address string) (*conn, error) {
	results := make(chan dialResult, 1)
	dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.opts.DialTimeout)
	go func() {
		c, err := p.dial(dialCtx, address)
		results <- dialResult{c, err}
	}()
	waitTimer := time.NewTimer(p.opts.DialWaitTimeout)
	defer waitTimer.Stop()
	err := errDialWaitTimeout
	select {
	case result := <-results:
		cancel()
		return result.conn, result.err
	case <-waitTimer.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if !p.detachDial(endpoint) {
		cancel()
	}
	go p.finishDetachedDial(endpoint, results, cancel)
	if ctx.Err() == nil {
		if c := p.takeIdle(endpoint); c != nil {
			return c, nil // Another request's attempt has ended meanwhile.
		}
	}
	return nil, err
}

// detachDial says whether one more attempt may go on without its request.
func (p *Pool) detachDial(endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detachedDials[endpoint]++
	return p.detachedDials[endpoint] <= maxDetachedDials
}

// finishDetachedDial keeps the connection of an attempt whose request has gone elsewhere.
func (p *Pool) finishDetachedDial(endpoint string, results <-chan dialResult, cancel context.CancelFunc) {
	defer cancel()
	result := <-results
	if result.err == nil {
		p.addIdle(endpoint, result.conn)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detachedDials[endpoint]--
	if p.detachedDials[endpoint] == 0 {
		delete(p.detachedDials, endpoint)
	}
}

// dial makes a connection, as long as ctx lets it.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	c, err := p.opts.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(c, p.opts.IdleTimeout), nil
}

// TCPDialer dials connections that count as dead once sent bytes stay unacknowledged for
// silentFor.
func TCPDialer(userTimeout time.Duration) dial.Func {
	dialer := net.Dialer{KeepAlive: -1, Control: KeepAliveControl(userTimeout)}
	return dialer.DialContext
}
