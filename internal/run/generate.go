package run

import (
	"context"
	"errors"
	"time"

	"guavapier/internal/decide"
	"guavapier/internal/dispatch"
	"guavapier/internal/endpoint"
	"guavapier/internal/record"
)

// generate has the answer generated at one endpoint after the other until one
// brings it to its end. Each goes on from the tokens that the caller has. An
// endpoint that has brought tokens starts the count of endpoints anew, so that
// a long answer outlives any number of them.
func (r *Runner) generate(ctx context.Context, g *generation) error {
	defer func() { r.cancelSuperseded(ctx, g, g.completingBase) }()
	deadline := r.Placer.Now() + g.chat.MaxWait
	var lastErr error
	for tries := 0; tries < r.Limits.MaxEndpoints; tries++ {
		placement, err := r.Placer.Submit(ctx, g.placementRequest(max(deadline, r.Placer.Now()+g.continuationTimeout())))
		if err != nil {
			if !r.awaitEndpoint(ctx, g, err) {
				return errors.Join(lastErr, err)
			}
			tries = -1
			continue
		}
		before := g.order.From
		lastErr = r.generateAt(ctx, placement, g)
		if lastErr == nil || ctx.Err() != nil || errors.Is(lastErr, endpoint.ErrRejected) {
			return lastErr
		}
		g.excluded = append(g.excluded, placement.Endpoint)
		if g.order.From > before {
			tries = -1
		}
	}
	return lastErr
}

// awaitEndpoint waits where no endpoint takes a begun answer now, and says whether to
// try again: its caller has a part of it and is worth more patience than a new
// one. An answer that has not begun gets its final answer at once instead. All
// endpoints may be tried again then, at most for the caller's wait after the
// last token.
func (r *Runner) awaitEndpoint(ctx context.Context, g *generation, err error) bool {
	var refusal *dispatch.Refusal
	if g.order.From == 0 || !errors.As(err, &refusal) {
		return false
	}
	pause := max(refusal.RetryAfter, minPlacementRetryInterval)
	if time.Since(g.lastTokenTime)+pause > g.chat.MaxWait {
		return false
	}
	g.excluded = nil
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// minPlacementRetryInterval keeps a begun answer from asking in a tight loop.
const minPlacementRetryInterval = 100 * time.Millisecond

func (g *generation) placementRequest(deadline decide.Time) decide.Request {
	c := g.chat
	return decide.Request{
		Team: c.Team.Name, Session: c.Session.ID, Model: c.Model, Priority: c.Priority,
		Deadline: deadline, PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens, Avoid: g.excluded,
		Repeatable: true,
	}
}

// continuationTimeout is how long a begun answer may wait for its next endpoint; the
// caller's wait is for the first token only.
func (g *generation) continuationTimeout() time.Duration {
	if g.order.From == 0 {
		return 0
	}
	return g.chat.MaxWait
}

// generateAt runs the order at one endpoint. A connection that fails is
// replaced at once by one that resumes the run.
func (r *Runner) generateAt(ctx context.Context, p *dispatch.Placement, g *generation) (err error) {
	meter := newAttemptMeter(p)
	defer func() { meter.finish(ctx, err) }()
	base, ok := r.Endpoints.URL(p.Endpoint)
	if !ok {
		return endpoint.ErrRefused
	}
	r.Claims.Place(ctx, g.chat.Key, p.Endpoint)
	mayBeRunning := false
	for emptyConnections := 0; emptyConnections <= r.Limits.MaxResumes; emptyConnections++ {
		before := g.order.From
		err = r.streamFrom(ctx, base, g, meter)
		if errors.Is(err, endpoint.ErrRefused) {
			r.reportLeaving(p.Endpoint, err)
			break
		}
		mayBeRunning = true
		if err == nil || ctx.Err() != nil || errors.Is(err, errStalled) {
			break
		}
		if g.order.From > before {
			emptyConnections = 0
		}
	}
	if mayBeRunning {
		g.openAttempts = append(g.openAttempts, attempt{base: base, number: g.order.Attempt})
	}
	return err
}

// attempt is the last attempt of a run at one endpoint.
type attempt struct {
	base   string
	number int
}

// cancelSuperseded stops the attempts elsewhere than at base, so that nothing is
// generated for nobody: as soon as base has brought a token, and at the run's
// end. Until then the run may come back to one of them.
func (r *Runner) cancelSuperseded(ctx context.Context, g *generation, base string) {
	remaining := g.openAttempts[:0]
	for _, a := range g.openAttempts {
		if a.base == base {
			remaining = append(remaining, a)
			continue
		}
		r.cancelInBackground(ctx, a.base, g.order.Run, a.number)
	}
	g.openAttempts = remaining
}

// streamFrom reads the answer over one connection, from the offset that the
// caller is at.
func (r *Runner) streamFrom(ctx context.Context, base string, g *generation, m *attemptMeter) error {
	ctx, progress := r.watchProgress(ctx, g.order.From > 0)
	defer progress.stop()
	g.order.Attempt++
	g.order.Prior = g.text.String()
	stream, err := r.Engines.Start(ctx, base, g.order)
	if !errors.Is(err, endpoint.ErrRefused) {
		g.lastBase, g.mayHaveRun = base, true
	}
	if err != nil {
		return progress.withCause(err)
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if endpoint.Whole(err) {
			g.setResult(stream.Usage(), stream.Finish())
			g.completingBase = base
			return nil
		}
		if err != nil {
			return progress.withCause(err)
		}
		if token.Index >= g.chat.MaxTokens {
			return r.truncate(ctx, base, g)
		}
		progress.onToken()
		m.onToken()
		g.deliver(token)
		r.cancelSuperseded(ctx, g, base)
	}
}

// finishReasonLength is the finish reason of an answer at its maximum length.
const finishReasonLength = "length"

// truncate ends an answer whose engine goes on past the maximum. What comes after
// it was not ordered, so it is neither passed on nor billed.
func (r *Runner) truncate(ctx context.Context, base string, g *generation) error {
	usage := endpoint.Usage{Prompt: int64(g.chat.PromptTokens)}
	if state, err := r.Engines.State(ctx, base, g.order.Run); err == nil {
		usage = state.Usage
	}
	g.setResult(usage, finishReasonLength)
	return nil
}

// reportLeaving passes an endpoint's own word on, before anything else is sent there.
func (r *Runner) reportLeaving(name string, err error) {
	if errors.Is(err, endpoint.ErrLeaving) {
		r.OnEndpointLeaving(name)
	}
}

const cancelRetryInterval = 500 * time.Millisecond

// cancelInBackground stops a run at an endpoint that was given up, so that it doesn't
// generate for nobody. An endpoint that does not answer is asked again for as
// long as Limits.Control.
func (r *Runner) cancelInBackground(ctx context.Context, base string, run record.RunID, attempt int) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), r.Limits.ControlTimeout)
	r.background.Go(func() {
		defer stop()
		for r.Engines.Cancel(ctx, base, run, attempt) != nil {
			timer := time.NewTimer(cancelRetryInterval)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
	})
}
