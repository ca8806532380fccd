package callers

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"guavapier/internal/membudget"
)

// newLimited returns Connections with limits.
func newLimited(t *testing.T, l Limits) *Connections {
	t.Helper()
	cs := newConnections(t)
	cs.SetLimits(l)
	return cs
}

// Guards against crowds that take up all connections: a new caller is let in, and of those who
// wait, the one who has sent a part of a header for longest has to go.
func TestANewConnectionEndsAStalledOne(t *testing.T) {
	const limit = 4
	cs := newLimited(t, Limits{MaxConnections: limit})
	var accepted []*conn
	for range limit {
		server, _ := connect(t, cs)
		server.setIdle(time.Now())
		accepted = append(accepted, server)
	}
	accepted[0].setActive()
	accepted[2].unansweredSince = time.Now().Add(-time.Second)
	connect(t, cs)
	for i, c := range accepted {
		if ended := c.isExpired(); ended != (i == 2) {
			t.Errorf("connection %d: ended %t, want only the one with half a header to end", i, ended)
		}
	}
}

// Guards against headers that take more memory than there is: without room the connection ends, and
// nothing stays held.
func TestLargeHeadersTakeMemory(t *testing.T) {
	heads := membudget.New(40 << 10).NewPart(0)
	cs := newLimited(t, Limits{Heads: heads})
	header := []byte(strings.Repeat("a:\n", 100))
	first, firstCaller := connect(t, cs)
	second, secondCaller := connect(t, cs)
	for _, caller := range []net.Conn{firstCaller, secondCaller} {
		if _, err := caller.Write(header); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := first.Read(make([]byte, len(header))); err != nil || heads.Used() == 0 {
		t.Fatalf("the first header: %v, %d bytes taken; want no error and some", err, heads.Used())
	}
	if _, err := second.Read(make([]byte, len(header))); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the second header: %v, want %v", err, os.ErrDeadlineExceeded)
	}
	_, _ = first.Close(), second.Close()
	if used := heads.Used(); used != 0 {
		t.Errorf("%d bytes are held of closed connections", used)
	}
}

// Guards against headers over the limit of the desired state that are parsed before they are
// refused.
func TestAHeaderOverTheLimitIsRefusedBeforeItIsParsed(t *testing.T) {
	cs := newConnections(t)
	cs.SetHeaderLimits(1<<10, time.Second)
	server, caller := connect(t, cs)
	go func() { _, _ = caller.Write(bytes.Repeat([]byte("a:\n"), 4<<10)) }()
	var err error
	for err == nil {
		_, err = server.Read(make([]byte, 4<<10))
	}
	_ = server.Close()
	if !errors.Is(err, io.EOF) {
		t.Errorf("read: %v, want %v", err, io.EOF)
	}
	_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer := make([]byte, len(headTooLarge))
	if _, err := io.ReadFull(caller, answer); err != nil || string(answer) != headTooLarge {
		t.Errorf("answer %q, %v; want %q", answer, err, headTooLarge)
	}
}

// Guards against pipelined requests without end: they are served at a bounded rate, and
// those of a caller who waits for each answer are not delayed.
func TestPipelinedRequestsAreDelayed(t *testing.T) {
	c, _ := connect(t, newConnections(t))
	delay := time.Duration(0)
	const requests = 50
	for range requests {
		c.onRead()
		delay += c.setActive()
		c.setIdle(time.Now())
	}
	if delay > 0 {
		t.Errorf("requests that wait for the answers are delayed by %s", delay)
	}
	for range requests {
		delay = c.setActive()
		c.setIdle(time.Now())
	}
	if delay < time.Second {
		t.Errorf("the last of %d pipelined requests is delayed by %s, want more than a second", requests, delay)
	}
}
