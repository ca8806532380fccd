package callers

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// newConnections returns Connections on a local listener, without an http.Server.
func newConnections(t *testing.T) *Connections {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	cs := New(listener, time.Minute, nil, nil)
	t.Cleanup(func() { _ = cs.Close() })
	return cs
}

// dial connects to cs; the connection stays in the listener's queue until it is accepted.
func dial(t *testing.T, cs *Connections) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", cs.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// connect makes a connection to cs and returns both its ends.
func connect(t *testing.T, cs *Connections) (server *conn, client net.Conn) {
	t.Helper()
	client = dial(t, cs)
	accepted, err := cs.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted.(*conn), client
}

// A request arrives while the process has no CPU time, and its connection is expired before
// anything was read. The request must be read all the same, and the connection must continue
// with the deadline that net/http had set.
func TestBytesReceivedBeforeExpiryAreRead(t *testing.T) {
	c, client := connect(t, newConnections(t))
	c.setIdle(time.Now())
	if err := c.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	for !isReadable(c.tcp) {
		time.Sleep(time.Millisecond)
	}
	c.expireIfNoRequest(time.Now())
	if !c.isExpired() {
		t.Fatal("connection without a request was not expired")
	}
	for _, want := range []string{"GET", " /"} {
		got := make([]byte, 8)
		n, err := c.Read(got)
		if err != nil || string(got[:n]) != want {
			t.Fatalf("read %q, error %v, want %q", got[:n], err, want)
		}
		if c.isExpired() {
			t.Fatal("connection is still expired after data was read")
		}
		c.expireIfNoRequest(time.Now())
		_, _ = io.WriteString(client, " /")
	}
}

// Callers connect while the process has no CPU time, and a drain starts before their
// connections are accepted. They must be accepted before the listener is closed; closing it
// first would reset them.
func TestADrainTakesTheConnectionsThatWereMadeBefore(t *testing.T) {
	cs := newConnections(t)
	const queuedConns = 5
	for range queuedConns {
		dial(t, cs)
	}
	for !isReadable(cs.TCPListener) {
		time.Sleep(time.Millisecond)
	}
	cs.startDrain()
	time.Sleep(2 * acceptQueueTimeout)
	for n := range queuedConns {
		c, err := cs.Accept()
		if err != nil {
			t.Fatalf("accept of queued connection %d: %v", n, err)
		}
		defer c.Close()
	}
	if _, err := cs.Accept(); !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("got error %v, want http.ErrServerClosed", err)
	}
	if !cs.closed {
		t.Error("listener was not closed")
	}
}

// A pause as long as the idle timeout is allowed; one that is longer by any time ends the
// connection. Each answer begins the time anew.
func TestAConnectionExpiresOnlyAfterTheIdleTimeout(t *testing.T) {
	const timeout = 500 * time.Millisecond
	server, _ := connect(t, newConnections(t))
	now := time.Now()
	for range 3 {
		server.setActive()
		server.expireIfIdle(now.Add(time.Hour), timeout, defaultHeaderTimeout)
		server.setIdle(now)
		now = now.Add(timeout)
		server.expireIfIdle(now, timeout, defaultHeaderTimeout)
		if server.isExpired() {
			t.Fatalf("expired after a pause of %s, which the timeout allows", timeout)
		}
	}
	server.expireIfIdle(now.Add(time.Nanosecond), timeout, defaultHeaderTimeout)
	if !server.isExpired() {
		t.Fatal("not expired after a pause that is longer than the timeout")
	}
	if _, err := server.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read of the expired connection returns %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

// TestAnExpiryTellsOfARequestThatCrossedTheClose checks what is recorded of a request that
// arrives when the end of its connection has been decided and before the close.
func TestAnExpiryTellsOfARequestThatCrossedTheClose(t *testing.T) {
	cs := newConnections(t)
	var expiries []Expiry
	cs.onExpired = func(e Expiry) { expiries = append(expiries, e) }
	for _, sent := range []string{"", "GET / HTTP/1.1"} {
		server, client := connect(t, cs)
		server.setIdle(time.Now())
		server.expireIfNoRequest(time.Now())
		if _, err := server.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("read of an expired connection: %v, want %v", err, os.ErrDeadlineExceeded)
		}
		if _, err := io.WriteString(client, sent); err != nil {
			t.Fatal(err)
		}
		for sent != "" && !isReadable(server.tcp) {
			time.Sleep(time.Millisecond)
		}
		_ = server.Close()
		got := expiries[len(expiries)-1]
		if got.UnreadBytes != len(sent) || got.Caller.String() != client.LocalAddr().String() || got.DecidedAt.After(got.ClosedAt) {
			t.Errorf("expiry %+v, want %d unread bytes from %s", got, len(sent), client.LocalAddr())
		}
	}
	answered, _ := connect(t, cs)
	if _ = answered.Close(); len(expiries) != 2 {
		t.Errorf("%d expiries, want none of a connection that was closed otherwise", len(expiries))
	}
}
