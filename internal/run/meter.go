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

// meter measures one placement for the decisions.
type meter struct {
	placement *dispatch.Placement
	began     time.Time
	result    decide.Result
}

func newMeter(p *dispatch.Placement) *meter { return &meter{placement: p, began: time.Now()} }

func (m *meter) token() {
	if m.result.Tokens == 0 {
		m.result.FirstToken = time.Since(m.began)
		m.placement.ObserveFirstToken(m.result.FirstToken)
	}
	m.result.Tokens++
}

// done ends the placement. ctx is the run's: an attempt that failed because it
// ended says nothing about the endpoint.
func (m *meter) done(ctx context.Context, err error) {
	m.result.Total = time.Since(m.began)
	m.result.Failed = err != nil
	m.result.Abandoned = err != nil && ctx.Err() != nil
	m.result.Stalled = errors.Is(err, endpoint.ErrNoProgress) || errors.Is(err, errStalled)
	m.placement.Done(m.result)
}

// errStalled says that an endpoint's connection lives but brings no token.
var errStalled = eris.New("run: no token within the progress limit")

// progress gives up an answer that has begun and stands still.
type progress struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	limit  time.Duration
	timer  *time.Timer
}

// watchProgress watches from the first token on, or at once for an answer that
// has begun on another connection.
func (r *Runner) watchProgress(ctx context.Context, begun bool) (context.Context, *progress) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progress{ctx: ctx, cancel: cancel, limit: r.Limits.Progress}
	p.timer = time.AfterFunc(p.limit, func() { cancel(errStalled) })
	if !begun {
		p.timer.Stop()
	}
	return ctx, p
}

func (p *progress) token() { p.timer.Reset(p.limit) }

func (p *progress) stop() {
	p.timer.Stop()
	p.cancel(context.Canceled)
}

func (p *progress) explain(err error) error {
	if errors.Is(context.Cause(p.ctx), errStalled) {
		return errors.Join(errStalled, err)
	}
	return err
}
