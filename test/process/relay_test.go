package process_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// relay forwards TCP connections to an endpoint. It can drop the data of open
// connections in either direction without closing them, like a middlebox that has
// lost its connection state. New connections work normally.
type relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open []*relayedConn
}

// relayedConn is one connection through the relay.
type relayedConn struct {
	caller, target             net.Conn
	dropToTarget, dropToCaller atomic.Bool // While set, data in that direction is discarded.
}

// startRelay starts a relay to the target address on a free port.
func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) url() string { return "http://" + r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", r.target)
		if err != nil {
			caller.Close()
			continue
		}
		c := &relayedConn{caller: caller, target: target}
		r.mu.Lock()
		r.open = append(r.open, c)
		r.mu.Unlock()
		go relayBytes(target, caller, &c.dropToTarget)
		go relayBytes(caller, target, &c.dropToCaller)
	}
}

// relayBytes copies bytes until one side closes, and then closes both. While drop is
// set it reads and discards them, and if from closes it leaves both connections
// open.
func relayBytes(to, from net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if drop.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
}

// setDropped sets for the open connections in which directions data is dropped, and
// returns the current time.
func (r *relay) setDropped(dropToTarget, dropToCaller bool) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		c.dropToTarget.Store(dropToTarget)
		c.dropToCaller.Store(dropToCaller)
	}
	return time.Now()
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		c.caller.Close()
		c.target.Close()
	}
}
