// Package callers owns the connections of callers: which are open, what each of
// them is doing, and when one of them may end. A connection ends only while
// nothing was read from it since its last answer: a request that was read is
// answered.
package callers

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"guavapier/internal/linkload"
)

// Connections are the open connections of callers. As a listener and a hook for
// states they belong to one http.Server.
type Connections struct {
	*net.TCPListener
	meter *linkload.Meter

	mu              sync.Mutex
	idleTimeout     time.Duration
	conns           map[*conn]struct{}
	draining        bool
	queueDrainStart time.Time // Since when a drain takes connections from the queue.
	closed          bool      // No more connections are taken.
}

// New wraps a listener; idleLimit is how long a kept connection may idle. meter counts
// the connections' bytes; nil for no count.
func New(listener *net.TCPListener, idleTimeout time.Duration, meter *linkload.Meter) *Connections {
	return &Connections{TCPListener: listener, meter: meter, idleTimeout: idleTimeout, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (cs *Connections) Accept() (net.Conn, error) {
	accepted, err := cs.AcceptTCP()
	if err != nil && cs.isDraining() {
		accepted, err = cs.acceptQueued(err)
	}
	if err != nil {
		return nil, err
	}
	c := newConn(accepted, cs.meter, cs.remove)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener.
func (cs *Connections) Close() error {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closed = true
	return cs.TCPListener.Close()
}

func (cs *Connections) remove(c *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.conns, c)
}

// Len returns how many connections are open.
func (cs *Connections) Len() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.conns)
}

// ConnState is the server's hook.
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
		callerConn.setActive()
	case http.StateIdle:
		callerConn.setIdle(time.Now())
	}
}

// SetIdleTimeout changes how long a kept connection may idle.
func (cs *Connections) SetIdleTimeout(timeout time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.idleTimeout = timeout
}

// CloseIdle ends the connections that have idled longer than the limit. net/http's
// own limit is fixed when a server starts.
func (cs *Connections) CloseIdle() {
	conns, timeout := cs.snapshot()
	now := time.Now()
	for _, c := range conns {
		c.expireIfIdle(now, timeout)
	}
}

func (cs *Connections) snapshot() ([]*conn, time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	conns := make([]*conn, 0, len(cs.conns))
	for c := range cs.conns {
		conns = append(conns, c)
	}
	return conns, cs.idleTimeout
}
