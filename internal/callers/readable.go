package callers

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// isReadable says whether a read from a connection, or an accept from a listener,
// finds something at once. A deadline does not tell: where the process had no
// processor, it passes although something has come.
func isReadable(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false // Closed: nothing is to be had.
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) // -1 when it fails.
	})
	return err == nil && ready > 0
}
