package callers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// acceptQueueTimeout bounds how long a drain takes the connections that callers had made
	// before it: a listener resets them when it closes.
	acceptQueueTimeout = 200 * time.Millisecond
	// drainPollInterval is the pause between two looks for connections that wait for a
	// request.
	drainPollInterval = 10 * time.Millisecond
)

// Drain takes no more connections, ends those that wait for a request, and waits
// for the others to be answered and closed. It fails if ctx ends before.
//
// It stands in for http.Server.Shutdown, which drops a request that is read after
// the call, closes a kept connection while a head comes in on it, and waits for
// seconds for a connection on which nothing was asked.
func (cs *Connections) Drain(ctx context.Context) error {
	cs.startDrain()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !cs.pollDrain(time.Now()) {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "callers: connections are still open")
		case <-ticker.C:
		}
	}
	return nil
}

func (cs *Connections) startDrain() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	_ = cs.SetDeadline(time.Now()) // Fails where the listener is closed already.
}

func (cs *Connections) isDraining() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.draining
}

// pollDrain ends the connections that wait for a request and says whether none
// is open any more and none can come.
func (cs *Connections) pollDrain(now time.Time) bool {
	conns, _ := cs.snapshot()
	for _, c := range conns {
		c.expireIfNoRequest(now)
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.closed && len(cs.conns) == 0
}

// acceptQueued takes a connection that was made before the listener closes. When
// there is none, it closes the listener. err is how the regular accept ended.
func (cs *Connections) acceptQueued(err error) (*net.TCPConn, error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && cs.mayAcceptQueued(time.Now()) && isReadable(cs.TCPListener) {
		_ = cs.SetDeadline(time.Now().Add(acceptQueueTimeout)) // On a closed listener the accept fails.
		if accepted, err := cs.AcceptTCP(); err == nil {
			return accepted, cs.SetDeadline(time.Now())
		}
	}
	_ = cs.Close() // Fails where it is closed already.
	return nil, http.ErrServerClosed
}

// mayAcceptQueued bounds the time for the queue; it counts from the first look, which
// may come late.
func (cs *Connections) mayAcceptQueued(now time.Time) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.queueDrainStart.IsZero() {
		cs.queueDrainStart = now
	}
	return now.Sub(cs.queueDrainStart) <= acceptQueueTimeout
}
