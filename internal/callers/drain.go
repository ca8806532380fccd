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
	// queueFor bounds how long connections are taken after a drain has begun: those
	// that callers had made before, which a listener resets when it closes.
	queueFor = 200 * time.Millisecond
	// drainEvery is the pause between two looks for connections that wait for a
	// request.
	drainEvery = 10 * time.Millisecond
)

// Drain takes no more connections, ends those that wait for a request, and waits
// for the others to be answered and closed. It fails if ctx ends before.
//
// It stands in for http.Server.Shutdown, which drops a request that is read after
// the call, closes a kept connection while a head comes in on it, and waits for
// seconds for a connection on which nothing was asked.
func (cs *Connections) Drain(ctx context.Context) error {
	cs.beginDrain(time.Now())
	ticker := time.NewTicker(drainEvery)
	defer ticker.Stop()
	for !cs.endUnasked(time.Now()) {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "callers: connections are still open")
		case <-ticker.C:
		}
	}
	return nil
}

func (cs *Connections) beginDrain(now time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.drains = now
	_ = cs.SetDeadline(now) // Fails where the listener is closed already.
}

func (cs *Connections) isDraining() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return !cs.drains.IsZero()
}

// endUnasked ends the connections that wait for a request and says whether none
// is open any more and none can come.
func (cs *Connections) endUnasked(now time.Time) bool {
	open, _ := cs.snapshot()
	for _, c := range open {
		c.endUnasked(now)
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.closed && len(cs.open) == 0
}

// acceptQueued takes a connection that was made before the listener closes. When
// there is none, it closes the listener. err is how the regular accept ended.
func (cs *Connections) acceptQueued(err error) (net.Conn, error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && cs.takesQueued(time.Now()) {
		_ = cs.SetDeadline(time.Now().Add(lastLook)) // On a closed listener the accept fails.
		if accepted, err := cs.TCPListener.Accept(); err == nil {
			return accepted, nil
		}
	}
	_ = cs.Close() // Fails where it is closed already.
	return nil, http.ErrServerClosed
}

func (cs *Connections) takesQueued(now time.Time) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return now.Sub(cs.drains) <= queueFor
}
