package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// tcpStateClosed is TCP_CLOSE of Linux: the connection was reset, or both ends have closed it.
	tcpStateClosed = 7
	// deliveryPollInterval is the pause between two checks for acknowledgements, a few round trips.
	deliveryPollInterval = 5 * time.Millisecond
)

// Deliverer is implemented by connections that lead through another process, whose socket does not tell what the other
// end has received.
type Deliverer interface {
	// AwaitDelivery is as the function of this name.
	AwaitDelivery(ctx context.Context) error
}

// AwaitDelivery waits until the other end has acknowledged all that was written to c, also if it has closed its own
// direction. It fails with syscall.ECONNRESET if the connection was reset, with net.ErrClosed if c is closed, and with
// the error of ctx. A reader and a writer of c can't find out by themselves: the kernel reports a reset to one of them,
// and the other one finds a plain end. Connections without a socket deliver what was written.
func AwaitDelivery(ctx context.Context, c net.Conn) error {
	if d, ok := c.(Deliverer); ok {
		return d.AwaitDelivery(ctx)
	}
	if _, ok := c.(syscall.Conn); !ok {
		return nil
	}
	raw, err := SyscallConn(c)
	for err == nil {
		var delivered bool
		if delivered, err = isDelivered(raw); delivered || err != nil {
			break
		}
		select {
		case <-time.After(deliveryPollInterval):
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	return eris.Wrap(err, "dial: bytes not delivered")
}

// isDelivered reports whether all that was written to a connection has been acknowledged.
func isDelivered(raw syscall.RawConn) (bool, error) {
	var info *unix.TCPInfo
	var infoErr error
	err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil:
		return false, err
	case infoErr != nil:
		return false, infoErr
	case info.State == tcpStateClosed:
		return false, syscall.ECONNRESET
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}
