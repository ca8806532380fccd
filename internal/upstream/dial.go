package upstream

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/dial"
)

// maxDetachedDials bounds the dials to one endpoint that continue although the requests
// that started them no longer wait.
const maxDetachedDials = 2

// errDialWaitTimeout is returned if no connection was made within Options.DialWaitTimeout.
var errDialWaitTimeout = eris.New("upstream: no connection within the wait timeout")

// dialResult is the result of one dial: a connection or an error.
type dialResult struct {
	conn *conn
	err  error
}

// connect dials the endpoint for a request, which waits for at most DialWaitTimeout. The
// dial then continues, detached from the request, for up to DialTimeout, and its connection
// is kept for later requests: on a congested link every dial takes longer than
// DialWaitTimeout, and if all were cancelled the instance would never get a connection. If
// maxDetachedDials are already in progress, the dial is cancelled.
func (p *Pool) connect(ctx context.Context, endpoint, address string) (*conn, error) {
	results := make(chan dialResult, 1)
	dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.opts.DialTimeout)
	go func() {
		c, err := p.dial(dialCtx, endpoint, address)
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
			return c, nil // Another connection has become idle meanwhile.
		}
	}
	return nil, err
}

// detachDial counts one more detached dial to the endpoint and reports whether it may
// continue. After each call, whatever its result, finishDetachedDial must be called once.
func (p *Pool) detachDial(endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detachedDials[endpoint]++
	return p.detachedDials[endpoint] <= maxDetachedDials
}

// finishDetachedDial waits for a detached dial and adds its connection to the idle ones.
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

// dial makes a connection; ctx bounds how long it takes.
func (p *Pool) dial(ctx context.Context, endpoint, address string) (*conn, error) {
	c, err := p.opts.Dial(ctx, endpoint, address)
	if err != nil {
		return nil, err
	}
	return newConn(c, p.opts.IdleTimeout), nil
}

// TCPDialer returns a dial function for TCP connections that fail once sent bytes have been
// unacknowledged for userTimeout; see KeepAliveControl.
func TCPDialer(userTimeout time.Duration) dial.Func {
	dialer := net.Dialer{KeepAlive: -1, Control: KeepAliveControl(userTimeout)}
	return dialer.DialContext
}
