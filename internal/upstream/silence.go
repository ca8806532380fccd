package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes find connections that fell silent while they idle: two
// unanswered probes a second apart.
const (
	probeAfterSeconds = 1
	probeEverySeconds = 1
	probesUnanswered  = 2
)

// SilenceControl returns a socket set-up under which a connection whose bytes
// or probes go unacknowledged for that long ends with an error. Something
// between two hosts may lose track of a connection and drop what it carries.
func SilenceControl(silentFor time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			for _, o := range []struct{ level, name, value int }{
				{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
				{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, probeAfterSeconds},
				{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, probeEverySeconds},
				{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probesUnanswered},
				{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentFor.Milliseconds())},
			} {
				if err := unix.SetsockoptInt(int(fd), o.level, o.name, o.value); err != nil && failed == nil {
					failed = err
				}
			}
		})
		if err != nil {
			return err
		}
		return failed
	}
}
