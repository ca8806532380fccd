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
	// acceptQueueTimeout bounds the time in which a drain accepts the connections that were
	// already in the listener's queue. Closing the listener would reset them.
	acceptQueueTimeout = 200 * time.Millisecond
	// drainPollInterval is the pause between two searches for connections without a request.
	drainPollInterval = 10 * time.Millisecond
)

// Drain accepts the connections that are already in the listener's queue, then closes the
// listener. It ends each connection once it has no request, and returns when all are closed.
// It returns an error if ctx ends first; connections may then still be open.
//
// It replaces http.Server.Shutdown, which drops a request that is read after the call, closes
// an idle connection while a header is arriving on it, and waits for several seconds for a
// new connection without a request.
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

// startDrain makes Accept fail, so that it continues with acceptQueued.
func (cs *Connections) startDrain() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	_ = cs.SetDeadline(time.Now()) // Fails only if the listener is closed already.
}

func (cs *Connections) isDraining() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.draining
}

// pollDrain ends the connections without a request and reports whether the drain is complete:
// no connection is open and the listener is closed.
func (cs *Connections) pollDrain(now time.Time) bool {
	conns, _, _ := cs.snapshot()
	for _, c := range conns {
		c.expireIfNoRequest(now)
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.closed && len(cs.conns) == 0
}

// acceptQueued accepts a connection from the listener's queue. If the queue is empty or
// acceptQueueTimeout has passed, it closes the listener and returns http.ErrServerClosed. err
// is the error of the regular accept; if it isn't a timeout, the listener has failed and the
// queue isn't read.
func (cs *Connections) acceptQueued(err error) (*net.TCPConn, error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && cs.mayAcceptQueued(time.Now()) && isReadable(cs.TCPListener) {
		_ = cs.SetDeadline(time.Now().Add(acceptQueueTimeout)) // If this fails, the listener is closed, and so AcceptTCP fails.
		if accepted, err := cs.AcceptTCP(); err == nil {
			return accepted, cs.SetDeadline(time.Now())
		}
	}
	_ = cs.Close() // Fails only if the listener is closed already.
	return nil, http.ErrServerClosed
}

// mayAcceptQueued reports whether acceptQueueTimeout has not passed yet. The time starts with
// the first call and not with the drain: a process without CPU time may get here late.
func (cs *Connections) mayAcceptQueued(now time.Time) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.queueDrainStart.IsZero() {
		cs.queueDrainStart = now
	}
	return now.Sub(cs.queueDrainStart) <= acceptQueueTimeout
}
