package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes find connections that fell silent while they idle: two
// unanswered probes a second apart.
const (
	keepAliveIdleSeconds     = 1
	keepAliveIntervalSeconds = 1
	maxUnansweredKeepAlives  = 2
)

// KeepAliveControl returns a socket set-up under which a connection whose bytes
// or probes go unacknowledged for that long ends with an error. Something
// between two hosts may lose track of a connection and drop what it carries.
func KeepAliveControl(userTimeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var firstErr error
		err := c.Control(func(fd uintptr) {
			for _, o := range []struct{ level, name, value int }{
				{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
				{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, keepAliveIdleSeconds},
				{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, keepAliveIntervalSeconds},
				{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, maxUnansweredKeepAlives},
				{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())},
			} {
				if err := unix.SetsockoptInt(int(fd), o.level, o.name, o.value); err != nil && firstErr == nil {
					firstErr = err
				}
			}
		})
		if err != nil {
			return err
		}
		return firstErr
	}
}
