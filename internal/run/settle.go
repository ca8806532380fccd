package run

import (
	"context"

	"guavapier/internal/ledger"
)

// settleInBackground settles a run after its caller has its final answer: neither a
// slow log nor a dead endpoint may hold that back. Until then the reservation
// stands.
func (r *Runner) settleInBackground(ctx context.Context, g *generation, reserved ledger.Reservation, err error) {
	ctx = context.WithoutCancel(ctx)
	r.background.Go(func() { r.settle(ctx, g, reserved, err) })
}

// settle bills a run once: what it used, what its endpoint says it used where
// it has no whole answer, or else the whole reservation. The team never pays
// more than was reserved, and nothing runs free.
func (r *Runner) settle(ctx context.Context, g *generation, reserved ledger.Reservation, err error) {
	used := g.result.Usage.Prompt + g.result.Usage.Completion
	switch {
	case err != nil && !g.mayHaveRun:
		used = 0
	case err != nil:
		used = r.usageWithoutAnswer(ctx, g, reserved)
	}
	used = min(used, reserved.Tokens)
	if err := r.Budgets.Settle(ctx, g.chat.Team.Budget, reserved, used); err != nil {
		r.OnError(err)
	}
}

// usageWithoutAnswer stops the run and asks its endpoint what it came to.
func (r *Runner) usageWithoutAnswer(ctx context.Context, g *generation, reserved ledger.Reservation) int64 {
	ctx, stop := context.WithTimeout(ctx, r.Limits.ControlTimeout)
	defer stop()
	if err := r.Engines.Cancel(ctx, g.lastBase, g.order.Run, g.order.Attempt); err != nil {
		return reserved.Tokens
	}
	state, err := r.Engines.State(ctx, g.lastBase, g.order.Run)
	if err != nil {
		return reserved.Tokens
	}
	return state.Prompt + max(state.Answer(), int64(g.order.From))
}
