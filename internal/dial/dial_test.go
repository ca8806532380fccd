package dial_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"guavapier/internal/dial"
)

var errRefused = errors.New("refused")

// network simulates dialing: the nth attempt connects after the nth delay, or is
// refused at once if that is 0.
type network struct {
	delays []time.Duration

	mu        sync.Mutex // Guards all below.
	attempts  int
	openConns int // Established connections that have not been closed.
}

type conn struct {
	net.Conn
	network *network
}

func (c conn) Close() error { c.network.addOpenConns(-1); return nil }

func (n *network) addOpenConns(change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.openConns += change
}

// nextDelay counts an attempt and returns its delay.
func (n *network) nextDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.attempts++
	return n.delays[n.attempts-1]
}

func (n *network) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	delay := n.nextDelay()
	if delay == 0 {
		return nil, errRefused
	}
	select {
	case <-time.After(delay):
		n.addOpenConns(1)
		return conn{network: n}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func TestHedged(t *testing.T) {
	const hedgeDelay, timeout = 400 * time.Millisecond, time.Second
	for name, c := range map[string]struct {
		delays       []time.Duration
		wantElapsed  time.Duration
		wantAttempts int
		err          error
	}{
		"fast":           {[]time.Duration{3 * time.Millisecond}, 3 * time.Millisecond, 1, nil},
		"slow link":      {[]time.Duration{600 * time.Millisecond, 600 * time.Millisecond}, 600 * time.Millisecond, 2, nil},
		"SYN lost":       {[]time.Duration{1003 * time.Millisecond, 3 * time.Millisecond}, 403 * time.Millisecond, 2, nil},
		"refused":        {[]time.Duration{0}, 0, 1, errRefused},
		"second refused": {[]time.Duration{600 * time.Millisecond, 0}, 600 * time.Millisecond, 2, nil},
		"unreachable":    {[]time.Duration{time.Hour, time.Hour}, timeout, 2, context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{delays: c.delays}
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				start := time.Now()
				conn, err := dial.Hedged(n.dial, hedgeDelay)(ctx, "tcp", "a")
				if !errors.Is(err, c.err) || time.Since(start) != c.wantElapsed || n.attempts != c.wantAttempts {
					t.Fatalf("%d attempts, returned after %s with error %v", n.attempts, time.Since(start), err)
				}
				synctest.Wait()
				time.Sleep(2 * time.Second)
				if err == nil {
					_ = conn.Close()
				}
				if n.openConns != 0 {
					t.Errorf("%d connections left open", n.openConns)
				}
			})
		})
	}
}
