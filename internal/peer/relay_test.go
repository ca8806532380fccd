package peer_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay forwards TCP connections until they are made silent: then it goes on
// reading, or stops reading, and forwards nothing. New connections work.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links []*link
}

type link struct {
	client, server net.Conn
	// muteUp and muteDown drop what comes from the client and the server.
	muteUp, muteDown atomic.Bool
	// stalled keeps the relay from reading what the client sends.
	stalled atomic.Bool
	stall   chan struct{}
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target}
	var running sync.WaitGroup
	running.Go(func() { r.accept(&running) })
	t.Cleanup(func() {
		_ = l.Close()
		for _, k := range r.all() {
			_ = k.client.Close()
			_ = k.server.Close()
			close(k.stall)
		}
		running.Wait()
	})
	return r
}

func (r *relay) accept(running *sync.WaitGroup) {
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
		k := &link{client: client, server: server, stall: make(chan struct{})}
		r.mu.Lock()
		r.links = append(r.links, k)
		r.mu.Unlock()
		running.Go(func() { k.forward(server, client, &k.muteUp) })
		running.Go(func() { k.forward(client, server, &k.muteDown) })
	}
}

func (r *relay) all() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*link(nil), r.links...)
}

func (k *link) forward(to io.Writer, from io.Reader, mute *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return // The other end is left open: a half-open connection.
		}
		if k.stalled.Load() {
			<-k.stall
			return
		}
		if !mute.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}
