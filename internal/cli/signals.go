package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// catchHangups returns a channel that receives SIGHUP until the process exits. The
// signal is never released: its default action kills the process with all requests
// in flight, and it may also arrive while an instance starts or drains.
func catchHangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// logHangups logs each SIGHUP. It serves instances that have nothing to reload, as
// their settings change through the operators' interface.
func logHangups(hangups <-chan os.Signal, log zerolog.Logger) {
	for range hangups {
		log.Info().Msg("server: SIGHUP, nothing to reload")
	}
}

// ignoreBrokenPipe ignores SIGPIPE, so that writes to a standard output or error
// whose reader has exited fail with an error. By default the signal kills the
// process with all requests in flight.
func ignoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }
