package run

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/endpoint"
	"guavapier/internal/record"
)

// The causes with which a run's context is cancelled early.
var (
	errCallerLeft     = eris.New("run: caller disconnected")
	errNoAnswerInTime = eris.New("run: no answer within the caller's maximum wait")
)

// attachedCaller is the caller that receives a run's tokens. The run depends on the
// caller's connection: when the caller of a request without an Idempotency-Key
// disconnects, the run is cancelled at once, since no retry can refer to it. With a
// key the run goes on for Limits.LingerTimeout, so that a retry finds it.
type attachedCaller struct {
	workCtx         context.Context // The run executes under it, not under the caller's context.
	cancel          context.CancelCauseFunc
	sink            TokenSink
	firstTokenTimer *time.Timer // Cancels the run unless the first token stops it.
	markLeft        func()      // Treats the caller as disconnected, as the end of its context does.
	callerLeft      bool        // The sink failed; no further token is passed to it.
}

// attachCaller attaches q's caller to a run. ctx ends when the caller disconnects.
// The run is cancelled with errNoAnswerInTime unless its first token comes within
// q.MaxWait. stop must be called.
func (r *Runner) attachCaller(ctx context.Context, q Request, sink TokenSink) *attachedCaller {
	callerCtx, markLeft := context.WithCancel(ctx)
	workCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	lingerTimeout := time.Duration(0)
	if q.HasCallerKey {
		lingerTimeout = r.Limits.LingerTimeout
	}
	context.AfterFunc(callerCtx, func() {
		timer := time.NewTimer(lingerTimeout)
		defer timer.Stop()
		select {
		case <-timer.C:
			cancel(errCallerLeft)
		case <-workCtx.Done():
		}
	})
	firstTokenTimer := time.AfterFunc(q.MaxWait, func() { cancel(errNoAnswerInTime) })
	return &attachedCaller{workCtx: workCtx, cancel: cancel, sink: sink, firstTokenTimer: firstTokenTimer, markLeft: markLeft}
}

// deliver passes a token to the caller, unless the sink has failed before.
func (c *attachedCaller) deliver(run record.RunID, t endpoint.Token) {
	c.firstTokenTimer.Stop()
	if c.callerLeft {
		return
	}
	if err := c.sink(run, t); err != nil {
		c.callerLeft = true
		c.markLeft()
	}
}

// stop releases the timers and contexts at the end of the run.
func (c *attachedCaller) stop() {
	c.firstTokenTimer.Stop()
	c.cancel(context.Canceled)
	c.markLeft()
}

// withCause returns err, joined with the cause of the run's cancellation if it was
// cancelled.
func (c *attachedCaller) withCause(err error) error {
	if err == nil {
		return nil
	}
	if cause := context.Cause(c.workCtx); cause != nil {
		return errors.Join(cause, err)
	}
	return err
}

// answerText accumulates the text of an answer's tokens.
type answerText struct{ text strings.Builder }

func (t *answerText) add(token endpoint.Token) { t.text.WriteString(token.Text) }

// String returns the text so far. It does not copy it.
func (t *answerText) String() string { return t.text.String() }
