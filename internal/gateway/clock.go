package gateway

import (
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"guavapier/internal/prepaid"
)

// bootClock returns a clock that also counts the time for which the host was
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

// bootIDFile names the host's boot; it is drawn anew at each.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// hostClocks returns the clocks by which a later process of this host
// judges this one.
func hostClocks(log zerolog.Logger) prepaid.Clocks {
	id, err := os.ReadFile(bootIDFile)
	if err != nil {
		// Two boots are then told apart by their clocks alone.
		log.Warn().Err(err).Msg("gateway: boot identity not readable")
	}
	return prepaid.Clocks{
		BootID: strings.TrimSpace(string(id)), SinceBoot: bootTime,
		Wall: func() int64 { return time.Now().UnixMilli() },
	}
}
