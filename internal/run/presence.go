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

// The causes that end a run's work early.
var (
	errCallerLeft     = eris.New("run: the caller left")
	errNoAnswerInTime = eris.New("run: no token within the caller's wait")
)

// callerBinding ties a run's work to its caller. The work ends at once when the
// caller of a request without an Idempotency-Key leaves, since no retry can
// name the run. With a key it lingers, so that the retry finds the run.
type callerBinding struct {
	// workCtx is the context of the run's workCtx.
	workCtx         context.Context
	cancel          context.CancelCauseFunc
	sink            TokenSink
	firstTokenTimer *time.Timer
	markLeft        func() // Marks the caller as gone.
	callerLeft      bool
}

// bindCaller begins a run's work for a caller.
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

// deliver passes a token to the caller unless it has left.
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

func (b *callerBinding) stop() {
	b.firstTokenTimer.Stop()
	b.cancel(context.Canceled)
	b.markLeft()
}

// withCause returns err, with the cause that ended the work if one did.
func (b *callerBinding) withCause(err error) error {
	if err == nil {
		return nil
	}
	if cause := context.Cause(b.workCtx); cause != nil {
		return errors.Join(cause, err)
	}
	return err
}

// answerText collects the text of an answer.
type answerText struct{ text strings.Builder }

func (t *answerText) add(token endpoint.Token) { t.text.WriteString(token.Text) }

// String returns the text so far without a copy.
func (t *answerText) String() string { return t.text.String() }
