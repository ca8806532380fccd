// Package callers manages the TCP connections of callers: it accepts them, tracks
// whether each is serving a request, closes idle ones, and drains them when the
// process ends. It closes a connection only if nothing was read from it since the
// last answer, so that every request that was read is answered.
package callers

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"guavapier/internal/linkload"
)

// Connections wraps the listener of one http.Server and tracks the connections that it
// accepted. It must be the server's listener, and its method ConnState the server's
// ConnState hook.
type Connections struct {
	*net.TCPListener
	meter     *linkload.Meter
	onExpired func(Expiry)
	limits    limits

	mu          sync.Mutex
	idleTimeout time.Duration
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout time.Duration
	conns         map[*conn]struct{}
	draining      bool
	// queueDrainStart is when a drain first tried to accept connections that were already
	// in the listener's queue; zero before.
	queueDrainStart time.Time
	// closed reports that the listener is closed: no more connections can be accepted.
	closed bool
}

// New wraps a listener. idleTimeout is how long a connection may wait for its next request
// before CloseIdle closes it. meter counts the bytes of all connections; if nil, they
// aren't counted. onExpired, if not nil, is called for each connection that was closed
// because it had no request.
func New(listener *net.TCPListener, idleTimeout time.Duration, meter *linkload.Meter, onExpired func(Expiry)) *Connections {
	return &Connections{TCPListener: listener, meter: meter, onExpired: onExpired, idleTimeout: idleTimeout, headerTimeout: defaultHeaderTimeout, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener. In a drain it returns the connections that are still in
// the listener's queue, then http.ErrServerClosed.
func (cs *Connections) Accept() (net.Conn, error) {
	accepted, err := cs.acceptWithRoom()
	if err != nil {
		return nil, err
	}
	cs.meter.CountConnection()
	c := newConn(accepted, cs.meter, &cs.limits, cs.remove)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.conns[c] = struct{}{}
	return c, nil
}

// acceptWithRoom accepts a connection. It closes those for which there is no room.
func (cs *Connections) acceptWithRoom() (*net.TCPConn, error) {
	for {
		accepted, err := cs.AcceptTCP()
		if err != nil && cs.isDraining() {
			accepted, err = cs.acceptQueued(err)
		}
		if err != nil {
			return nil, err
		}
		if cs.makeRoom() {
			return accepted, nil
		}
		cs.limits.counts.rejected.Add(1)
		_ = accepted.Close()
	}
}

// Close implements net.Listener.
func (cs *Connections) Close() error {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closed = true
	return cs.TCPListener.Close()
}

// remove stops tracking a closed connection, which had expired unless expiry is nil.
func (cs *Connections) remove(c *conn, expiry *Expiry) {
	cs.mu.Lock()
	delete(cs.conns, c)
	cs.mu.Unlock()
	if expiry != nil && cs.onExpired != nil {
		cs.onExpired(*expiry)
	}
}

// Len returns the number of open connections.
func (cs *Connections) Len() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.conns)
}

// ConnState records whether a connection is active or idle. It is the ConnState hook of the
// http.Server that uses these Connections, with or without TLS.
func (cs *Connections) ConnState(c net.Conn, s http.ConnState) {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	callerConn, ok := c.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		time.Sleep(callerConn.setActive())
	case http.StateIdle:
		callerConn.setIdle(time.Now())
	}
}

// SetIdleTimeout changes how long a connection may wait for its next request.
func (cs *Connections) SetIdleTimeout(timeout time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.idleTimeout = timeout
}

// CloseIdle closes the connections that have waited longer than the idle timeout for their
// next request; it has to be called periodically. It is used instead of
// http.Server.IdleTimeout, which can't be changed after the server has started.
func (cs *Connections) CloseIdle() {
	conns, timeout, headerTimeout := cs.snapshot()
	now := time.Now()
	for _, c := range conns {
		c.expireIfIdle(now, timeout, headerTimeout)
	}
}

// snapshot returns the open connections and the timeouts of idle ones and of headers.
func (cs *Connections) snapshot() (conns []*conn, idleTimeout, headerTimeout time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	conns = make([]*conn, 0, len(cs.conns))
	for c := range cs.conns {
		conns = append(conns, c)
	}
	return conns, cs.idleTimeout, cs.headerTimeout
}
