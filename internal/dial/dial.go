// Package dial makes connections over links that lose or delay packets.
package dial

import (
	"context"
	"net"
	"time"
)

// Func makes a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// result is the end of one attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// Hedged returns a Func that makes a second attempt where the first has brought
// nothing after again, and takes the connection that is made first. A lost opening
// packet is sent again only after a second, so that a new attempt is faster; on a slow
// link the first one is, and must not be given up.
func Hedged(dial Func, hedgeDelay time.Duration) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		results := make(chan dialResult, 2)
		attempt := func() {
			conn, err := dial(ctx, network, address)
			results <- dialResult{conn, err}
		}
		go attempt()
		started := 1
		timer := time.NewTimer(hedgeDelay)
		defer timer.Stop()
		for finished := 0; ; {
			select {
			case <-timer.C:
				go attempt()
				started++
			case r := <-results:
				finished++
				if r.err != nil && finished < started {
					continue
				}
				go closeRemaining(results, started-finished, cancel)
				return r.conn, r.err
			}
		}
	}
}

// discard ends the attempts that are left over.
func closeRemaining(results <-chan dialResult, remaining int, cancel context.CancelFunc) {
	cancel()
	for range remaining {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}
