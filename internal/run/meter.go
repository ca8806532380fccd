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

// attemptMeter measures one placement for the decisions.
type attemptMeter struct {
	placement *dispatch.Placement
	startTime time.Time
	result    decide.Result
}

func newAttemptMeter(p *dispatch.Placement) *attemptMeter {
	return &attemptMeter{placement: p, startTime: time.Now()}
}

func (m *attemptMeter) onToken() {
	if m.result.Tokens == 0 {
		m.result.FirstToken = time.Since(m.startTime)
		m.placement.ObserveFirstToken(m.result.FirstToken)
	}
	m.result.Tokens++
}

// finish ends the placement. ctx is the run's: an attempt that failed because it
// ended says nothing about the endpoint.
func (m *attemptMeter) finish(ctx context.Context, err error) {
	m.result.Total = time.Since(m.startTime)
	m.result.Failed = err != nil
	m.result.Abandoned = err != nil && ctx.Err() != nil
	m.result.Stalled = errors.Is(err, endpoint.ErrSilent) || errors.Is(err, errStalled)
	m.placement.Done(m.result)
}

// errStalled says that an endpoint's connection lives but brings no token.
var errStalled = eris.New("run: no token within the progress limit")

// progressWatch gives up an answer that has begun and stands still.
type progressWatch struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timeout time.Duration
	timer   *time.Timer
}

// watchProgress watches from the first token on, or at once for an answer that
// has begun on another connection.
func (r *Runner) watchProgress(ctx context.Context, hasTokens bool) (context.Context, *progressWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progressWatch{ctx: ctx, cancel: cancel, timeout: r.Limits.ProgressTimeout}
	p.timer = time.AfterFunc(p.timeout, func() { cancel(errStalled) })
	if !hasTokens {
		p.timer.Stop()
	}
	return ctx, p
}

func (p *progressWatch) onToken() { p.timer.Reset(p.timeout) }

func (p *progressWatch) stop() {
	p.timer.Stop()
	p.cancel(context.Canceled)
}

func (p *progressWatch) withCause(err error) error {
	if errors.Is(context.Cause(p.ctx), errStalled) {
		return errors.Join(errStalled, err)
	}
	return err
}
