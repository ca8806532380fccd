package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	"guavapier/internal/server"
)

// runUntilSecondSignal runs an instance. When the first signal cancels ctx, the
// instance drains; a second signal aborts the drain with an error.
func runUntilSecondSignal(ctx context.Context, srv *server.Server) error {
	done := make(chan error, 1)
	go func() { done <- srv.Run(ctx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	second := make(chan os.Signal, 1)
	signal.Notify(second, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(second)
	select {
	case err := <-done:
		return err
	case <-second:
		return eris.Errorf("stopped by a second signal with %d requests in flight", srv.InFlight())
	}
}
