package endpoint

import (
	"context"
	"errors"
	"time"
)

// maxMissedHeartbeats is the number of announced heartbeat intervals without data
// after which a stream times out. One heartbeat may be late and one delayed by a
// retransmission.
const maxMissedHeartbeats = 3

// watchdog cancels a request that has received nothing for the timeout.
// Cancelling closes the request's connection.
type watchdog struct {
	cancel  context.CancelCauseFunc
	timeout time.Duration
	timer   *time.Timer
}

// startWatchdog returns a context that the watchdog cancels with the cause
// ErrNoProgress after timeout.
func startWatchdog(ctx context.Context, timeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{cancel: cancel, timeout: timeout}
	w.timer = time.AfterFunc(timeout, func() { cancel(ErrNoProgress) })
	return ctx, w
}

// reset restarts the timeout. It is called when data is received.
func (w *watchdog) reset() { w.timer.Reset(w.timeout) }

// limitToHeartbeats shortens the timeout to maxMissedHeartbeats intervals of the
// announced heartbeat, if there is one, and restarts it.
func (w *watchdog) limitToHeartbeats(heartbeat time.Duration) {
	if heartbeat > 0 {
		w.timeout = min(w.timeout, maxMissedHeartbeats*heartbeat)
	}
	w.reset()
}

// stop ends the watchdog and cancels its context.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// asNoProgress returns err, joined with ErrNoProgress if the watchdog cancelled
// ctx.
func asNoProgress(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), ErrNoProgress) {
		return errors.Join(ErrNoProgress, err)
	}
	return err
}
