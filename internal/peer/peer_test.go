package peer_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"

	"guavapier/internal/peer"
	"guavapier/internal/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds a test's own wait; no verdict rests on it.
const testTimeout = 10 * time.Second

// shortTimeouts finds a silent connection soon, so that tests need not wait long.
var shortTimeouts = peer.Options{
	HeartbeatInterval: 50 * time.Millisecond, ProbeTimeout: 50 * time.Millisecond, WriteTimeout: 50 * time.Millisecond, CallTimeout: 200 * time.Millisecond,
}

type echoService struct {
	calls   atomic.Int64
	release chan struct{}
}

func (e *echoService) Echo(in string, out *string) error {
	e.calls.Add(1)
	*out = in
	return nil
}

func (e *echoService) Hold(in string, out *string) error {
	<-e.release
	*out = in
	return nil
}

func (e *echoService) Fail(string, *string) error { return errors.New("failed on purpose") }

func (e *echoService) Long(n int, out *string) error {
	*out = strings.Repeat("x", n)
	return nil
}

type addressBook struct {
	mu    sync.Mutex
	addrs map[record.InstanceID]string
}

func (b *addressBook) PeerAddr(id record.InstanceID) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	addr, ok := b.addrs[id]
	return addr, ok
}

func serve(t *testing.T, id record.InstanceID) (string, *echoService) {
	t.Helper()
	service := &echoService{release: make(chan struct{})}
	s := peer.NewServer(id)
	if err := s.Register("Echo", service); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		close(service.release)
		_ = l.Close()
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String(), service
}

func dial(t *testing.T, to record.InstanceID, address string, o peer.Options) *peer.Pool {
	t.Helper()
	p := peer.NewPool("caller", &addressBook{addrs: map[record.InstanceID]string{to: address}}, o)
	t.Cleanup(p.Close)
	return p
}

func callEcho(p *peer.Pool, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var got string
	if err := p.Call(ctx, "b", "Echo.Echo", text, &got); err != nil {
		return err
	}
	if got != text {
		return errors.New("got another call's answer: " + got)
	}
	return nil
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func TestCallReturnsItsOwnAnswer(t *testing.T) {
	address, _ := serve(t, "b")
	p := dial(t, "b", address, peer.Options{})
	var running sync.WaitGroup
	for i := range 100 {
		running.Go(func() {
			if err := callEcho(p, strings.Repeat("v", i)); err != nil {
				t.Error(err)
			}
		})
	}
	running.Wait()
	var remote rpc.ServerError
	if err := p.Call(context.Background(), "b", "Echo.Fail", "", nil); !errors.As(err, &remote) {
		t.Fatalf("the method's own error came back as %v", err)
	}
}

func TestCallThatCannotBeSentSaysSo(t *testing.T) {
	address, service := serve(t, "b")
	p := peer.NewPool("caller", &addressBook{addrs: map[record.InstanceID]string{"former-b": address, "b": address}}, peer.Options{})
	defer p.Close()
	for _, c := range []struct {
		to   record.InstanceID
		args string
		want error
	}{
		{"former-b", "x", peer.ErrOtherInstance},
		{"unlisted", "x", peer.ErrUnreachable},
		{"b", strings.Repeat("x", peer.MaxMessageBytes), peer.ErrTooLarge},
	} {
		err := p.Call(context.Background(), c.to, "Echo.Echo", c.args, nil)
		if !errors.Is(err, c.want) || !errors.Is(err, peer.ErrNotSent) {
			t.Errorf("call of %s: %v", c.to, err)
		}
	}
	if n := service.calls.Load(); n != 0 {
		t.Fatalf("%d calls took effect", n)
	}
	if err := p.Call(context.Background(), "b", "Echo.Long", peer.MaxMessageBytes, nil); err == nil {
		t.Fatal("an oversized answer came through")
	}
	if err := callEcho(p, "after it"); err != nil {
		t.Fatal(err)
	}
}

// A connection that goes silent costs each call its bound, then a new one is
// dialled and used.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, silence := range map[string]func(*proxiedConn){
		"both directions":    func(k *proxiedConn) { k.dropFromClient.Store(true); k.dropFromServer.Store(true) },
		"from the caller":    func(k *proxiedConn) { k.dropFromClient.Store(true) },
		"to the caller":      func(k *proxiedConn) { k.dropFromServer.Store(true) },
		"not read any more":  func(k *proxiedConn) { k.readsStalled.Store(true) },
		"peer end was reset": func(k *proxiedConn) { _ = k.server.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, "b")
			r := newFaultProxy(t, address)
			p := dial(t, "b", r.listener.Addr().String(), shortTimeouts)
			if err := callEcho(p, "before"); err != nil {
				t.Fatal(err)
			}
			silence(r.allConns()[0])
			eventually(t, "a call comes through", func() bool {
				err := callEcho(p, "after")
				if err != nil && !errors.Is(err, peer.ErrUnreachable) {
					t.Fatal(err)
				}
				return err == nil
			})
			if n := len(r.allConns()); n < 2 {
				t.Fatalf("the silent connection was used again (%d connections)", n)
			}
		})
	}
}

// Without any call, heartbeats alone find the silent connection.
func TestHeartbeatFindsSilence(t *testing.T) {
	address, _ := serve(t, "b")
	r := newFaultProxy(t, address)
	p := dial(t, "b", r.listener.Addr().String(), shortTimeouts)
	if err := callEcho(p, "before"); err != nil {
		t.Fatal(err)
	}
	k := r.allConns()[0]
	k.dropFromServer.Store(true)
	eventually(t, "the pool closes the connection", func() bool {
		_, err := k.client.Write([]byte{0})
		return err != nil
	})
	if err := callEcho(p, "after"); err != nil {
		t.Fatal(err)
	}
}

// A peer that takes in nothing must not hold up callers with long messages.
func TestBlockedWriteIsBounded(t *testing.T) {
	address, _ := serve(t, "b")
	r := newFaultProxy(t, address)
	p := dial(t, "b", r.listener.Addr().String(), shortTimeouts)
	if err := callEcho(p, "before"); err != nil {
		t.Fatal(err)
	}
	r.allConns()[0].readsStalled.Store(true)
	long := strings.Repeat("x", peer.MaxMessageBytes/2)
	var running sync.WaitGroup
	for range 32 {
		running.Go(func() {
			if err := p.Call(context.Background(), "b", "Echo.Echo", long, nil); err != nil && !errors.Is(err, peer.ErrUnreachable) {
				t.Error(err)
			}
		})
	}
	running.Wait()
}

// A slow method costs its caller the deadline, and nobody else anything: the
// connection stays, and the late answer goes to no other call.
func TestSlowMethodLeavesTheConnection(t *testing.T) {
	address, service := serve(t, "b")
	r := newFaultProxy(t, address)
	p := dial(t, "b", r.listener.Addr().String(), shortTimeouts)
	var late string
	if err := p.Call(context.Background(), "b", "Echo.Hold", "late", &late); !errors.Is(err, peer.ErrUnreachable) {
		t.Fatalf("slow call: %v", err)
	}
	service.release <- struct{}{}
	for range 50 {
		if err := callEcho(p, "other"); err != nil {
			t.Fatal(err)
		}
	}
	if late != "" || len(r.allConns()) != 1 {
		t.Fatalf("late answer %q, %d connections", late, len(r.allConns()))
	}
}

func TestServerDropsOversizedMessage(t *testing.T) {
	address, _ := serve(t, "b")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	hello, err := cbor.Marshal(map[int]any{1: 1, 2: "caller", 3: "b"})
	if err != nil {
		t.Fatal(err)
	}
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(hello))), hello...)
	_, _ = conn.Write(binary.BigEndian.AppendUint32(frame, peer.MaxMessageBytes+1))
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatalf("the server kept the connection: %v", err)
	}
}
