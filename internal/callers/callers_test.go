package callers_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"guavapier/internal/callers"
)

const idleTimeout = 20 * time.Millisecond

// testServer is an HTTP server on Connections that records which requests it handled.
type testServer struct {
	conns  *callers.Connections
	server *http.Server

	// If draining is set, responses have the header "Connection: close".
	draining atomic.Bool

	mu      sync.Mutex
	handled map[string]bool
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{conns: callers.New(listener, idleTimeout, nil, nil), handled: map[string]bool{}}
	s.server = &http.Server{Handler: s, ConnState: s.conns.ConnState}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.server.Serve(s.conns) }()
	t.Cleanup(func() {
		_ = s.server.Close()
		if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.handled[r.URL.Path] = true
	s.mu.Unlock()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// hasHandled reports whether the handler was called for path.
func (s *testServer) hasHandled(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handled[path]
}

// client sends requests on one connection, one after the other.
type client struct {
	net.Conn
	responses *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.conns.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &client{Conn: c, responses: bufio.NewReader(c)}
}

// errConnectionClose is returned for a complete response with "Connection: close".
var errConnectionClose = errors.New("response with Connection: close")

// get sends a request and reads the response. Any error but errConnectionClose means that no
// complete response arrived.
func (c *client) get(path string) error {
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.Close {
		return errConnectionClose
	}
	return nil
}

// Requests arrive just as the idle timeout ends their connections. Each must be answered or
// left unread, so that the caller can safely send it again; none may be read and dropped.
func TestARequestThatCrossesTheIdleLimitIsAnsweredOrNotRead(t *testing.T) {
	const concurrency, rounds = 50, 20
	s := startServer(t)
	var notAnswered, answered sync.Map
	for round := range rounds {
		var clients sync.WaitGroup
		for n := range concurrency {
			c := s.dial(t)
			if err := c.get("/first"); err != nil {
				t.Fatal(err)
			}
			clients.Go(func() {
				path := fmt.Sprintf("/%d/%d", round, n)
				time.Sleep(idleTimeout + time.Duration(n-concurrency/2)*400*time.Microsecond)
				if err := c.get(path); err != nil {
					notAnswered.Store(path, err)
					return
				}
				answered.Store(path, true)
			})
		}
		for range 20 {
			time.Sleep(2 * time.Millisecond)
			s.conns.CloseIdle()
		}
		clients.Wait()
	}
	counts := map[bool]int{}
	answered.Range(func(any, any) bool { counts[true]++; return true })
	notAnswered.Range(func(path, err any) bool {
		counts[false]++
		if s.hasHandled(path.(string)) {
			t.Errorf("%s was read and not answered: %v", path, err)
		}
		return true
	})
	t.Logf("%d answered, %d closed unread", counts[true], counts[false])
}

// A connection that has idled longer than the timeout is closed and no longer counted.
func TestAConnectionThatIsEndedIsForgotten(t *testing.T) {
	s := startServer(t)
	c := s.dial(t)
	if err := c.get("/first"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); s.conns.Len() > 0; time.Sleep(idleTimeout) {
		if time.Now().After(end) {
			t.Fatal("the connection is still open after 10 s")
		}
		s.conns.CloseIdle()
	}
	if err := c.get("/second"); err == nil {
		t.Error("request was answered on a closed connection")
	}
}

// Callers send requests on existing and on new connections without pause while a drain runs.
// Each request that was read must be answered, and the drain must end within 10 s.
func TestWhatIsReadInADrainIsAnswered(t *testing.T) {
	const concurrency, rounds = 20, 20
	var answered, unread atomic.Int64
	for range rounds {
		s := startServer(t)
		var clients sync.WaitGroup
		for n := range concurrency {
			clients.Go(func() {
				for turn := 0; ; turn++ {
					c, err := net.Dial("tcp", s.conns.Addr().String())
					if err != nil {
						return // The listener is closed.
					}
					answered.Add(s.getUntilClosed(t, c, fmt.Sprintf("/%d/%d", n, turn), &unread))
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		s.draining.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		if err := s.conns.Drain(ctx); err != nil {
			t.Errorf("%d connections still open: %v", s.conns.Len(), err)
		}
		cancel()
		clients.Wait()
	}
	t.Logf("%d answered, %d closed unread", answered.Load(), unread.Load())
}

// getUntilClosed sends requests on conn until it is closed, and returns how many were answered.
// It fails the test if a request was handled and not answered, and counts in unread those that
// were not handled.
func (s *testServer) getUntilClosed(t *testing.T, conn net.Conn, name string, unread *atomic.Int64) int64 {
	defer conn.Close()
	c := &client{Conn: conn, responses: bufio.NewReader(conn)}
	for turn := int64(0); ; turn++ {
		path := fmt.Sprintf("%s/%d", name, turn)
		err := c.get(path)
		switch {
		case errors.Is(err, errConnectionClose):
			return turn + 1
		case err != nil && s.hasHandled(path):
			t.Errorf("%s was read and not answered: %v", path, err)
			return turn
		case err != nil:
			unread.Add(1)
			return turn
		}
	}
}
