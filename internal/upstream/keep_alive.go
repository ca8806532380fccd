package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"guavapier/internal/dial"
)

// TCP keep-alive settings, which detect dead connections while nothing is sent on them. The TCP
// user timeout decides when unanswered probes end a connection; their number has no effect
// beside it.
const (
	keepAliveIdleSeconds     = 1
	keepAliveIntervalSeconds = 1
	maxUnansweredKeepAlives  = 2
)

// KeepAliveControl returns a function for net.Dialer.Control that enables TCP keep-alive and
// sets the TCP user timeout: a connection fails once sent bytes or probes have been
// unacknowledged for userTimeout. Without it, a connection would hang whose state a device
// on the path has lost, since that drops its packets silently.
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

// SetUserTimeout changes the TCP user timeout of a connection; see KeepAliveControl.
func SetUserTimeout(c net.Conn, timeout time.Duration) error {
	raw, err := dial.SyscallConn(c)
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
