// Package dial establishes connections over networks that lose or delay packets.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Func establishes a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// dialResult is the outcome of one attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// SyscallConn returns the raw connection of one that may be wrapped. It fails if the connection
// gives no access to its socket.
func SyscallConn(c net.Conn) (syscall.RawConn, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("dial: %T gives no access to its socket", c)
	}
	return socket.SyscallConn()
}

// Hedged returns a Func that starts a second attempt if the first is still pending
// after hedgeDelay. It returns the connection that is established first, or an error
// once all attempts have failed. TCP retransmits a lost SYN only after a second, so a
// second attempt is faster then; on a slow link the first attempt wins, which is why
// it is not cancelled.
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

// closeRemaining cancels the attempts that are still pending and closes connections
// that they establish nevertheless.
func closeRemaining(results <-chan dialResult, remaining int, cancel context.CancelFunc) {
	cancel()
	for range remaining {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}
