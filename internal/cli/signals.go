package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// catchHangups returns SIGHUPs from now on until the process is gone. It is never
// undone: without a listener the signal ends the process, whatever is under way,
// and it may also come while an instance starts or drains.
func catchHangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// logHangups writes a line for each hangup, for an instance that has nothing to
// reload: its settings change through operators' calls.
func logHangups(hangups <-chan os.Signal, log zerolog.Logger) {
	for range hangups {
		log.Info().Msg("server: SIGHUP, nothing to reload")
	}
}

// ignoreBrokenPipe lets writes to a standard output that nobody reads any more
// fail. By default the signal that they raise ends the process, and with it
// whatever callers have under way.
func ignoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }
