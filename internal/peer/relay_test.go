package peer_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// faultProxy forwards TCP connections until they are made silent: then it goes on
// reading, or stops reading, and forwards nothing. New connections work.
type faultProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []*proxiedConn
}

type proxiedConn struct {
	client, server net.Conn
	// dropFromClient and dropFromServer drop what comes from the client and the server.
	dropFromClient, dropFromServer atomic.Bool
	// readsStalled keeps the relay from reading what the client sends.
	readsStalled atomic.Bool
	endStall     chan struct{}
}

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

func (r *faultProxy) allConns() []*proxiedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*proxiedConn(nil), r.conns...)
}

func (k *proxiedConn) forward(to io.Writer, from io.Reader, drop *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return // The other end is left open: a half-open connection.
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
