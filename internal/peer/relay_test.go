package peer_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// faultProxy forwards TCP connections to target. A connection can be made silent: the proxy then
// discards what it reads, or stops reading. New connections are forwarded.
type faultProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex // Guards conns.
	conns []*proxiedConn
}

// proxiedConn is one forwarded connection: client from the pool, server to the target.
type proxiedConn struct {
	client, server net.Conn
	// dropFromClient and dropFromServer discard what is read from the client or the server.
	dropFromClient, dropFromServer atomic.Bool
	// readsStalled makes the proxy stop reading from each end after the next read.
	readsStalled atomic.Bool
	endStall     chan struct{} // Closed at the end of the test, to end a stalled forward.
}

// newFaultProxy starts a proxy, which the end of the test stops.
func newFaultProxy(t *testing.T, target string) *faultProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &faultProxy{listener: l, target: target}
	var running sync.WaitGroup
	running.Go(func() { r.accept(&running) })
	t.Cleanup(func() {
		_ = l.Close()
		for _, k := range r.allConns() {
			_ = k.client.Close()
			_ = k.server.Close()
			close(k.endStall)
		}
		running.Wait()
	})
	return r
}

// accept forwards connections until the listener is closed.
func (r *faultProxy) accept(running *sync.WaitGroup) {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		k := &proxiedConn{client: client, server: server, endStall: make(chan struct{})}
		r.mu.Lock()
		r.conns = append(r.conns, k)
		r.mu.Unlock()
		running.Go(func() { k.forward(server, client, &k.dropFromClient) })
		running.Go(func() { k.forward(client, server, &k.dropFromServer) })
	}
}

// allConns returns the connections forwarded so far, oldest first.
func (r *faultProxy) allConns() []*proxiedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*proxiedConn(nil), r.conns...)
}

// forward copies one direction until reading fails.
func (k *proxiedConn) forward(to io.Writer, from io.Reader, drop *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return // Leaves the other end open, so that the connection is half-open.
		}
		if k.readsStalled.Load() {
			<-k.endStall
			return
		}
		if !drop.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}
