package gateway

import (
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"guavapier/internal/prepaid"
)

// newBootClock returns a clock that starts at 0 and keeps running while the host is
// suspended, which Go's monotonic clock does not.
func newBootClock() func() time.Duration {
	origin := bootTime()
	return func() time.Duration { return bootTime() - origin }
}

// bootTime returns the time since the host's boot, suspended time included.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // Excludes suspended time. Linux before 2.6.39 lacks CLOCK_BOOTTIME.
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()

// bootIDFile holds an identifier that the kernel generates anew at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// hostClocks returns the clocks whose readings go into this process's claim records. A
// later process on the same host compares them with its own, to find out how long before
// its start this process last renewed a record.
func hostClocks(log zerolog.Logger) prepaid.Clocks {
	id, err := os.ReadFile(bootIDFile)
	if err != nil {
		// Two boots can then only be told apart by their clocks.
		log.Warn().Err(err).Msg("gateway: boot ID not readable")
	}
	return prepaid.Clocks{
		BootID: strings.TrimSpace(string(id)), SinceBoot: bootTime,
		Wall: func() int64 { return time.Now().UnixMilli() },
	}
}
