package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns a clock that also counts the time for which the machine was
// suspended; Go's monotonic clock does not.
func bootClock() func() time.Duration {
	origin := bootTime()
	return func() time.Duration { return bootTime() - origin }
}

func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // Without suspension; the kernel has known it since 2011.
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
