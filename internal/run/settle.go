package run

import (
	"context"

	"guavapier/internal/ledger"
)

// settleInBackground settles a run without delaying the caller's final answer by a
// slow log or a dead endpoint. The reservation stays in force until then.
func (r *Runner) settleInBackground(ctx context.Context, g *generation, reserved ledger.Reservation, err error) {
	ctx = context.WithoutCancel(ctx)
	r.background.Go(func() { r.settle(ctx, g, reserved, err) })
}

// settle bills a run once. A completed answer is billed by its usage, a run that
// this request never sent costs nothing (the reservation of a previous runner bills
// what that one sent), and any other run is billed by the usage that
// its endpoint reports, or by the whole reservation without such a report. The
// team never pays more than was reserved, and no executed run is free.
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

// usageWithoutAnswer cancels the run at its last endpoint and returns the tokens
// that the endpoint reports for it. It returns the whole reservation if the
// endpoint does not confirm the cancellation or does not report.
func (r *Runner) usageWithoutAnswer(ctx context.Context, g *generation, reserved ledger.Reservation) int64 {
	ctx, stop := context.WithTimeout(ctx, r.Limits.ControlTimeout)
	defer stop()
	if err := r.Engines.Cancel(ctx, g.lastBase, g.runRequest.Run, g.runRequest.Attempt); err != nil {
		return reserved.Tokens
	}
	state, err := r.Engines.State(ctx, g.lastBase, g.runRequest.Run)
	if err != nil {
		return reserved.Tokens
	}
	return state.Prompt + max(state.AnswerTokens(), int64(g.runRequest.ResumeFrom))
}
