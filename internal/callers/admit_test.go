package callers_test

import (
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
)

// While the link is full, new connections are closed without reading the request, so that its
// caller knows that it has not run. Open connections are served on, and new ones later.
func TestAConnectionThatIsNotAdmittedIsClosedUnread(t *testing.T) {
	var full atomic.Bool
	s := newTestServer(t)
	s.conns.Admit = func() bool { return !full.Load() }
	s.start(t)
	kept := s.dial(t)
	if err := kept.get("/before"); err != nil {
		t.Fatal(err)
	}
	full.Store(true)
	if err := s.dial(t).get("/refused"); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("a request on a connection that was not admitted got %v, want a reset", err)
	}
	if s.hasHandled("/refused") {
		t.Error("a request on a connection that was not admitted was handled")
	}
	if err := kept.get("/meanwhile"); err != nil {
		t.Errorf("a request on an open connection got %v", err)
	}
	full.Store(false)
	if err := s.dial(t).get("/after"); err != nil {
		t.Errorf("a request after the link was full got %v", err)
	}
}
