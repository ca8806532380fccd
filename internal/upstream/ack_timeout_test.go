package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"guavapier/internal/upstream"
)

const (
	// silence is how long a sound endpoint may acknowledge nothing.
	silence = 1500 * time.Millisecond
	// idleAckTimeout is the timeout of idle connections in this test.
	idleAckTimeout = time.Second
)

// userTimeout returns the connection's TCP user timeout.
func userTimeout(t *testing.T, c *net.TCPConn) time.Duration {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	ms := 0
	if controlErr := raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return time.Duration(ms) * time.Millisecond
}

// Guards against ending the requests of a sound endpoint that is silent for a second: the user
// timeout also decides when keep-alive probes give up.
func TestAShortSilenceEndsIdleConnectionsOnly(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	received, answer := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received <- struct{}{}
		<-answer
		time.Sleep(20 * time.Millisecond) // So that the request's write returns before the answer.
	})}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	var conn *net.TCPConn
	pool := upstream.NewPool(upstream.Options{
		DialWaitTimeout: time.Second, IdleTimeout: time.Minute, AckTimeout: 2 * silence, IdleAckTimeout: idleAckTimeout,
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			c, err := upstream.TCPDialer(idleAckTimeout)(ctx, "tcp", address)
			if err == nil {
				conn = c.(*net.TCPConn)
			}
			return c, err
		},
	})
	for range 2 { // On a new connection, and on one that was idle.
		done := make(chan error)
		go func() {
			a, err := pool.Send(t.Context(), "e", listener.Addr().String(), &upstream.Outgoing{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
			if err == nil {
				_, err = io.Copy(io.Discard, a.Body)
				a.Close()
			}
			done <- err
		}()
		<-received
		if got := userTimeout(t, conn); got <= silence {
			t.Errorf("with a request under way, a silence of %s ends the connection", got)
		}
		answer <- struct{}{}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if got := userTimeout(t, conn); got != idleAckTimeout {
			t.Errorf("an idle connection ends after a silence of %s, want %s", got, idleAckTimeout)
		}
	}
	pool.CloseIdle("e")
}
