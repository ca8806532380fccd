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
	defer func() { r.cancelSuperseded(ctx, g, g.wholeAt) }()
	deadline := r.Placer.Now() + g.chat.Wait
	var last error
	for tries := 0; tries < r.Limits.Endpoints; tries++ {
		placement, err := r.Placer.Submit(ctx, g.place(max(deadline, r.Placer.Now()+g.patience())))
		if err != nil {
			if !r.holdOn(ctx, g, err) {
				return errors.Join(last, err)
			}
			tries = -1
			continue
		}
		before := g.order.ResumeFrom
		last = r.atEndpoint(ctx, placement, g)
		if last == nil || ctx.Err() != nil || errors.Is(last, endpoint.ErrRejected) {
			return last
		}
		g.avoid = append(g.avoid, placement.Endpoint)
		if g.order.ResumeFrom > before {
			tries = -1
		}
	}
	return last
}

// holdOn waits where no endpoint takes a begun answer now, and says whether to
// try again: its caller has a part of it and is worth more patience than a new
// one. An answer that has not begun gets its final answer at once instead. All
// endpoints may be tried again then, at most for the caller's wait after the
// last token.
func (r *Runner) holdOn(ctx context.Context, g *generation, err error) bool {
	var refusal *dispatch.Refusal
	if g.order.ResumeFrom == 0 || !errors.As(err, &refusal) {
		return false
	}
	pause := max(refusal.RetryAfter, minHold)
	if time.Since(g.moved)+pause > g.chat.Wait {
		return false
	}
	g.avoid = nil
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// minHold keeps a begun answer from asking in a tight loop.
const minHold = 100 * time.Millisecond

func (g *generation) place(deadline decide.Time) decide.Request {
	c := g.chat
	return decide.Request{
		Team: c.Team.Name, Session: c.Session.ID, Model: c.Model, Priority: c.Priority,
		Deadline: deadline, PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens, Avoid: g.avoid,
		Repeatable: true,
	}
}

// patience is how long a begun answer may wait for its next endpoint; the
// caller's wait is for the first token only.
func (g *generation) patience() time.Duration {
	if g.order.ResumeFrom == 0 {
		return 0
	}
	return g.chat.Wait
}

// atEndpoint runs the order at one endpoint. A connection that fails is
// replaced at once by one that resumes the run.
func (r *Runner) atEndpoint(ctx context.Context, p *dispatch.Placement, g *generation) (err error) {
	meter := newMeter(p)
	defer func() { meter.done(ctx, err) }()
	base, ok := r.Endpoints.URL(p.Endpoint)
	if !ok {
		return endpoint.ErrRefused
	}
	r.Claims.Place(ctx, g.chat.Key, p.Endpoint)
	begun := false
	for misses := 0; misses <= r.Limits.Resumes; misses++ {
		before := g.order.ResumeFrom
		err = r.connect(ctx, base, g, meter)
		if errors.Is(err, endpoint.ErrRefused) {
			r.heed(p.Endpoint, err)
			break
		}
		begun = true
		if err == nil || ctx.Err() != nil || errors.Is(err, errStalled) {
			break
		}
		if g.order.ResumeFrom > before {
			misses = 0
		}
	}
	if begun {
		g.began = append(g.began, attempt{base: base, number: g.order.Attempt})
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
	kept := g.began[:0]
	for _, a := range g.began {
		if a.base == base {
			kept = append(kept, a)
			continue
		}
		r.cancelLater(ctx, a.base, g.order.Run, a.number)
	}
	g.began = kept
}

// connect reads the answer over one connection, from the offset that the
// caller is at.
func (r *Runner) connect(ctx context.Context, base string, g *generation, m *meter) error {
	ctx, progress := r.watchProgress(ctx, g.order.ResumeFrom > 0)
	defer progress.stop()
	g.order.Attempt++
	g.order.PriorText = g.text.String()
	stream, err := r.Engines.Start(ctx, base, g.order)
	if !errors.Is(err, endpoint.ErrRefused) {
		g.base, g.started = base, true
	}
	if err != nil {
		return progress.explain(err)
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if endpoint.IsComplete(err) {
			g.finish(stream.Usage(), stream.Finish())
			g.wholeAt = base
			return nil
		}
		if err != nil {
			return progress.explain(err)
		}
		if token.Index >= g.chat.MaxTokens {
			return r.cut(ctx, base, g)
		}
		progress.token()
		m.token()
		g.take(token)
		r.cancelSuperseded(ctx, g, base)
	}
}

// finishLength is the finish reason of an answer at its maximum length.
const finishLength = "length"

// cut ends an answer whose engine goes on past the maximum. What comes after
// it was not ordered, so it is neither passed on nor billed.
func (r *Runner) cut(ctx context.Context, base string, g *generation) error {
	usage := endpoint.Usage{Prompt: int64(g.chat.PromptTokens)}
	if state, err := r.Engines.State(ctx, base, g.order.Run); err == nil {
		usage = state.Usage
	}
	g.finish(usage, finishLength)
	return nil
}

// heed passes an endpoint's own word on, before anything else is sent there.
func (r *Runner) heed(name string, err error) {
	if errors.Is(err, endpoint.ErrLeaving) {
		r.Leaving(name)
	}
}

const cancelEvery = 500 * time.Millisecond

// cancelLater stops a run at an endpoint that was given up, so that it doesn't
// generate for nobody. An endpoint that does not answer is asked again for as
// long as Limits.Control.
func (r *Runner) cancelLater(ctx context.Context, base string, run record.RunID, attempt int) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), r.Limits.Control)
	r.background.Go(func() {
		defer stop()
		for r.Engines.Cancel(ctx, base, run, attempt) != nil {
			timer := time.NewTimer(cancelEvery)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
	})
}
