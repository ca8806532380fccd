package run

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/decide"
	"guavapier/internal/dispatch"
	"guavapier/internal/endpoint"
)

// attemptMeter measures one attempt and reports the result to the dispatcher,
// which uses it for later placements.
type attemptMeter struct {
	placement *dispatch.Placement
	startTime time.Time
	result    decide.Result
}

// newAttemptMeter starts measuring an attempt. finish must be called once.
func newAttemptMeter(p *dispatch.Placement) *attemptMeter {
	return &attemptMeter{placement: p, startTime: time.Now()}
}

// onToken counts a token; the first one is reported at once.
func (m *attemptMeter) onToken() {
	if m.result.Tokens == 0 {
		m.result.FirstToken = time.Since(m.startTime)
		m.placement.ObserveFirstToken(m.result.FirstToken)
	}
	m.result.Tokens++
}

// finish ends the placement with its result. ctx is the run's context: an attempt
// that failed because the run was ended is marked as abandoned, since the
// failure says nothing about the endpoint.
func (m *attemptMeter) finish(ctx context.Context, err error) {
	m.result.Total = time.Since(m.startTime)
	m.result.Failed = err != nil
	m.result.Abandoned = err != nil && ctx.Err() != nil
	m.result.Stalled = errors.Is(err, endpoint.ErrSilent) || errors.Is(err, errStalled)
	m.placement.Done(m.result)
}

// errStalled is returned for an endpoint whose connection is alive, but brings no
// token for Limits.ProgressTimeout.
var errStalled = eris.New("run: no token within the progress timeout")

// progressWatch cancels the reading of an answer that has tokens but gets no
// further ones in time.
type progressWatch struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timeout time.Duration
	timer   *time.Timer
}

// watchProgress returns a context that is cancelled with errStalled when the
// answer stalls. The timeout runs from the first token on, or from now if
// hasTokens says that the answer has tokens from an earlier connection. stop must
// be called.
func (r *Runner) watchProgress(ctx context.Context, hasTokens bool) (context.Context, *progressWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progressWatch{ctx: ctx, cancel: cancel, timeout: r.Limits.ProgressTimeout}
	p.timer = time.AfterFunc(p.timeout, func() { cancel(errStalled) })
	if !hasTokens {
		p.timer.Stop()
	}
	return ctx, p
}

// onToken restarts the timeout.
func (p *progressWatch) onToken() { p.timer.Reset(p.timeout) }

// stop ends the watch and cancels its context.
func (p *progressWatch) stop() {
	p.timer.Stop()
	p.cancel(context.Canceled)
}

// withCause returns err, joined with errStalled if the watch cancelled the reading.
func (p *progressWatch) withCause(err error) error {
	if errors.Is(context.Cause(p.ctx), errStalled) {
		return errors.Join(errStalled, err)
	}
	return err
}
