package run

import (
	"context"

	"guavapier/internal/ledger"
)

// settleLater settles a run after its caller has its final answer: neither a
// slow log nor a dead endpoint may hold that back. Until then the reservation
// stands.
func (r *Runner) settleLater(ctx context.Context, g *generation, reserved ledger.Reservation, err error) {
	ctx = context.WithoutCancel(ctx)
	r.background.Go(func() { r.settle(ctx, g, reserved, err) })
}

// settle bills a run once: what it used, what its endpoint says it used where
// it has no whole answer, or else the whole reservation. The team never pays
// more than was reserved, and nothing runs free.
func (r *Runner) settle(ctx context.Context, g *generation, reserved ledger.Reservation, err error) {
	used := g.result.Usage.Prompt + g.result.Usage.Completion
	switch {
	case err != nil && !g.started:
		used = 0
	case err != nil:
		used = r.usedWithoutAnswer(ctx, g, reserved)
	}
	used = min(used, reserved.Tokens)
	if err := r.Accounts.Settle(ctx, g.chat.Team.Budget, reserved, used); err != nil {
		r.OnError(err)
	}
}

// usedWithoutAnswer stops the run and asks its endpoint what it came to.
func (r *Runner) usedWithoutAnswer(ctx context.Context, g *generation, reserved ledger.Reservation) int64 {
	ctx, stop := context.WithTimeout(ctx, r.Limits.Control)
	defer stop()
	if err := r.Engines.Cancel(ctx, g.base, g.order.Run, g.order.Attempt); err != nil {
		return reserved.Tokens
	}
	state, err := r.Engines.State(ctx, g.base, g.order.Run)
	if err != nil {
		return reserved.Tokens
	}
	return state.Prompt + max(state.AnswerTokens(), int64(g.order.ResumeFrom))
}
