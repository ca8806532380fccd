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

// callerBinding ties the execution of a run to its caller's connection. When the
// caller of a request without an Idempotency-Key disconnects, the run is
// cancelled at once, since no retry can refer to it. With a key the run goes on
// for Limits.LingerTimeout, so that a retry finds it.
type callerBinding struct {
	workCtx         context.Context // The run executes under it, not under the caller's context.
	cancel          context.CancelCauseFunc
	sink            TokenSink
	firstTokenTimer *time.Timer // Cancels the run unless the first token stops it.
	markLeft        func()      // Treats the caller as disconnected, as the end of its context does.
	callerLeft      bool        // The sink failed; no further token is passed to it.
}

// bindCaller returns the binding for a run of q's caller, whose connection ctx
// stands for. The run is cancelled with errNoAnswerInTime unless its first token
// comes within q.MaxWait. stop must be called.
func (r *Runner) bindCaller(ctx context.Context, q Request, sink TokenSink) *callerBinding {
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
	return &callerBinding{workCtx: workCtx, cancel: cancel, sink: sink, firstTokenTimer: firstTokenTimer, markLeft: markLeft}
}

// deliver passes a token to the caller, unless the sink has failed before.
func (b *callerBinding) deliver(run record.RunID, t endpoint.Token) {
	b.firstTokenTimer.Stop()
	if b.callerLeft {
		return
	}
	if err := b.sink(run, t); err != nil {
		b.callerLeft = true
		b.markLeft()
	}
}

// stop releases the binding's timers and contexts at the end of the run.
func (b *callerBinding) stop() {
	b.firstTokenTimer.Stop()
	b.cancel(context.Canceled)
	b.markLeft()
}

// withCause returns err, joined with the cause of the run's cancellation if it was
// cancelled.
func (b *callerBinding) withCause(err error) error {
	if err == nil {
		return nil
	}
	if cause := context.Cause(b.workCtx); cause != nil {
		return errors.Join(cause, err)
	}
	return err
}

// answerText accumulates the text of an answer's tokens.
type answerText struct{ text strings.Builder }

func (t *answerText) add(token endpoint.Token) { t.text.WriteString(token.Text) }

// String returns the text so far. It does not copy it.
func (t *answerText) String() string { return t.text.String() }
