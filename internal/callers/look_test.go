package callers

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func newConnections(t *testing.T) *Connections {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	cs := New(listener, time.Minute, nil)
	t.Cleanup(func() { _ = cs.Close() })
	return cs
}

func dial(t *testing.T, cs *Connections) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", cs.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// A request came while the process stood still, and the decision to end its
// connection was made before anything was read: it is read all the same, and the
// connection goes on with the deadline that the server had set.
func TestBytesThatCameBeforeTheEndAreRead(t *testing.T) {
	cs := newConnections(t)
	client := dial(t, cs)
	accepted, err := cs.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	c := accepted.(*conn)
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
		t.Fatal("nothing was read, and the connection stays")
	}
	for _, want := range []string{"GET", " /"} {
		got := make([]byte, 8)
		n, err := c.Read(got)
		if err != nil || string(got[:n]) != want {
			t.Fatalf("%q, %v; want %q", got[:n], err, want)
		}
		if c.isExpired() {
			t.Fatal("the connection ends under a request")
		}
		c.expireIfNoRequest(time.Now())
		_, _ = io.WriteString(client, " /")
	}
}

// Callers connected while the process stood still, and a drain began before they
// were accepted: they are taken, and only then the listener closes.
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
			t.Fatalf("connection %d: %v", n, err)
		}
		defer c.Close()
	}
	if _, err := cs.Accept(); !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("%v; want the end of the server", err)
	}
	if !cs.closed {
		t.Error("the listener stays open")
	}
}
