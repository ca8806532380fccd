package endpoint

import (
	"context"
	"errors"
	"time"
)

// missedHeartbeats is after how many announced heartbeats a stream counts as
// silent: one may be late and one be lost in a retransmission.
const missedHeartbeats = 3

// watchdog cancels a request that brings nothing for too long. Cancelling
// closes the request's own connection.
type watchdog struct {
	cancel context.CancelCauseFunc
	limit  time.Duration
	timer  *time.Timer
}

// watch starts a watchdog over the returned context.
func watch(ctx context.Context, limit time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{cancel: cancel, limit: limit}
	w.timer = time.AfterFunc(limit, func() { cancel(ErrSilent) })
	return ctx, w
}

// heard starts the time anew.
func (w *watchdog) heard() { w.timer.Reset(w.limit) }

// expect shortens the limit to a few of the announced heartbeats.
func (w *watchdog) expect(heartbeat time.Duration) {
	if heartbeat > 0 {
		w.limit = min(w.limit, missedHeartbeats*heartbeat)
	}
	w.heard()
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// explain returns err, as ErrSilent where the watchdog caused it.
func explain(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), ErrSilent) {
		return errors.Join(ErrSilent, err)
	}
	return err
}
