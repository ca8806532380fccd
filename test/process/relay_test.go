package process_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// relay forwards TCP connections to an endpoint and can go silent on those
// that are open, in either direction, as a middlebox that has lost track of
// them. New connections work.
type relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open []*relayedConn
}

// relayed is one connection through the relay.
type relayedConn struct {
	caller, target             net.Conn
	dropToTarget, dropToCaller atomic.Bool // Set: nothing passes that way.
}

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

// forward passes bytes on until one side ends. While silent is set it reads
// and drops them, and keeps the other side open.
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

// silence stops the open connections in the given directions.
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
