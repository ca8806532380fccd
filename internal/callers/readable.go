package callers

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// isReadable reports whether a read from a connection, or an accept on a listener, would
// succeed at once. An expired deadline doesn't show the contrary: if the process got no CPU
// time, the deadline passes although data has arrived.
func isReadable(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false // The connection or listener is closed.
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) // ready is -1 on failure.
	})
	return err == nil && ready > 0
}

// unreadBytes returns how many bytes have arrived on a connection and were not read, 0 if
// that cannot be told.
func unreadBytes(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0 // The connection is closed.
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) // n is 0 on failure.
	})
	if err != nil {
		return 0
	}
	return n
}
