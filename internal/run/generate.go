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

// generate tries endpoints in turn until one completes the answer. Each continues
// after the tokens that the caller has. At most Limits.MaxEndpoints endpoints in
// a row may fail without a token; every token resets the count, so that a long
// answer survives any number of failing endpoints.
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
		before := g.runRequest.ResumeFrom
		lastErr = r.generateAt(ctx, placement, g)
		if lastErr == nil || ctx.Err() != nil || errors.Is(lastErr, endpoint.ErrRejected) {
			return lastErr
		}
		g.excluded = append(g.excluded, placement.Endpoint)
		if g.runRequest.ResumeFrom > before {
			tries = -1
		}
	}
	return lastErr
}

// awaitEndpoint waits while no endpoint accepts the rest of a partial answer, and
// reports whether to try again. A caller that has a part of an answer would lose
// it by a refusal, so the run waits, up to the caller's MaxWait after the last
// token, and then tries all endpoints again, also those that failed before. An
// answer without tokens is refused at once.
func (r *Runner) awaitEndpoint(ctx context.Context, g *generation, err error) bool {
	var refusal *dispatch.Refusal
	if g.runRequest.ResumeFrom == 0 || !errors.As(err, &refusal) {
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

// minPlacementRetryInterval bounds how often the rest of a partial answer is
// submitted for placement, since a refusal may come without a retry delay.
const minPlacementRetryInterval = 100 * time.Millisecond

// placementRequest returns the request for the generation's next endpoint.
func (g *generation) placementRequest(deadline decide.Time) decide.Request {
	c := g.chat
	return decide.Request{
		Team: c.Team.Name, Session: c.Session.ID, Model: c.Model, Priority: c.Priority,
		Deadline: deadline, PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens, Avoid: g.excluded,
		Repeatable: true,
	}
}

// continuationTimeout is how long a partial answer may wait for its next endpoint,
// and 0 for an answer without tokens: MaxWait counts from the start of the
// request only until the first token.
func (g *generation) continuationTimeout() time.Duration {
	if g.runRequest.ResumeFrom == 0 {
		return 0
	}
	return g.chat.MaxWait
}

// generateAt generates the answer at one endpoint. It replaces a failed connection
// at once by one that resumes the run. It gives up when the endpoint refuses or
// stalls, or when more than Limits.MaxResumes connections in a row bring no
// token.
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
		before := g.runRequest.ResumeFrom
		err = r.streamFrom(ctx, base, g, meter)
		if errors.Is(err, endpoint.ErrRefused) {
			r.reportLeaving(p.Endpoint, err)
			break
		}
		mayBeRunning = true
		if err == nil || ctx.Err() != nil || errors.Is(err, errStalled) {
			break
		}
		if g.runRequest.ResumeFrom > before {
			emptyConnections = 0
		}
	}
	if mayBeRunning {
		g.openAttempts = append(g.openAttempts, attempt{base: base, number: g.runRequest.Attempt})
	}
	return err
}

// attempt identifies the last attempt of a run at one endpoint.
type attempt struct {
	base   string // The endpoint's base URL.
	number int
}

// cancelSuperseded cancels the open attempts at all endpoints but the one at base,
// so that they do not generate tokens that nobody reads. It is called once base
// has delivered a token, and at the end of the run. Before that the run may
// return to one of them.
func (r *Runner) cancelSuperseded(ctx context.Context, g *generation, base string) {
	remaining := g.openAttempts[:0]
	for _, a := range g.openAttempts {
		if a.base == base {
			remaining = append(remaining, a)
			continue
		}
		r.cancelInBackground(ctx, a.base, g.runRequest.Run, a.number)
	}
	g.openAttempts = remaining
}

// streamFrom reads the answer over one connection to the endpoint at base,
// starting after the tokens that the caller has.
func (r *Runner) streamFrom(ctx context.Context, base string, g *generation, m *attemptMeter) error {
	ctx, progress := r.watchProgress(ctx, g.runRequest.ResumeFrom > 0)
	defer progress.stop()
	g.runRequest.Attempt++
	g.runRequest.PriorText = g.text.String()
	stream, err := r.Engines.Start(ctx, base, g.runRequest)
	if !errors.Is(err, endpoint.ErrRefused) {
		g.lastBase, g.mayHaveRun = base, true
	}
	if err != nil {
		return progress.withCause(err)
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if endpoint.IsComplete(err) {
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

// finishReasonLength is the finish reason of an answer that reached max_tokens.
const finishReasonLength = "length"

// truncate completes an answer whose engine generates more than MaxTokens. The
// surplus was not requested, so it is neither delivered nor billed. Without an
// answer from the engine, the usage is the worst case of the prompt.
func (r *Runner) truncate(ctx context.Context, base string, g *generation) error {
	usage := endpoint.Usage{Prompt: int64(g.chat.PromptTokens)}
	if state, err := r.Engines.State(ctx, base, g.runRequest.Run); err == nil {
		usage = state.Usage
	}
	g.setResult(usage, finishReasonLength)
	return nil
}

// reportLeaving calls OnEndpointLeaving if err says that the endpoint is shutting
// down, so that no further request is placed there.
func (r *Runner) reportLeaving(name string, err error) {
	if errors.Is(err, endpoint.ErrLeaving) {
		r.OnEndpointLeaving(name)
	}
}

// cancelRetryInterval is the time between two tries to cancel an attempt.
const cancelRetryInterval = 500 * time.Millisecond

// cancelInBackground cancels a run's attempts, up to the given one, at an endpoint
// that was given up, so that it does not generate tokens that nobody reads. An
// endpoint that does not confirm is tried again until Limits.ControlTimeout has
// passed.
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
