package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"guavapier/internal/prepaid"
	"guavapier/internal/tokenwait"
)

// reserve reserves the request's tokens in its organisation's budget. The reservation is
// nil if the request needs no tokens or the organisation has no budget.
func (c *call) reserve(ctx context.Context) (Reservation, *refusal) {
	tokens := c.PromptTokens + c.MaxOutputTokens
	if c.org == nil || c.org.PrepaidTotal == nil || tokens <= 0 {
		return nil, nil
	}
	c.phase = phaseTokens
	urgency := c.config.Urgency(c.route, c.org, 0)
	reserved, err := c.f.Budgets.Reserve(ctx, tokenwait.Request{Team: c.org.Name, Tokens: tokens, Urgency: urgency})
	if err != nil {
		c.logBudget(tokens, err)
	}
	switch {
	case errors.Is(err, prepaid.ErrExhausted):
		return nil, &refusal{status: http.StatusPaymentRequired, reason: ReasonBudgetExhausted}
	case err != nil:
		return nil, notRun(ReasonInsufficientTokens, budgetRetryAfter(err))
	}
	return reserved, nil
}

// budgetRetryAfter returns the retry delay for a request that got no tokens: until the
// tokens held by this instance become free, or as long as the shortage makes likely, plus a
// random delay. Callers that are refused at the same moment thus don't all return at once.
func budgetRetryAfter(err error) time.Duration {
	var insufficient *prepaid.InsufficientError
	if errors.As(err, &insufficient) {
		return insufficient.After + retryJitter(insufficient.After)
	}
	var shortage *prepaid.ShortageError
	if errors.As(err, &shortage) {
		return shortage.RetryAfter + retryJitter(shortage.RetryAfter)
	}
	return tokensRetryAfter
}

// retryJitter returns a random delay of up to a quarter of a retry delay, and at least tokensRetryJitter.
func retryJitter(delay time.Duration) time.Duration {
	return rand.N(max(delay/tokensRetryJitterDivisor, tokensRetryJitter))
}

// chargedTokens returns the tokens that the organisation is charged, at most limit: the
// prompt and the output that was sent to the caller. A run of which the caller received
// nothing is not charged.
func (c *call) chargedTokens(limit int64) int64 {
	if c.events == 0 {
		return 0
	}
	perEvent := int64(1)
	if s := c.config.Service(c.service); s != nil && s.TokensPerEvent > 0 {
		perEvent = s.TokensPerEvent
	}
	return min(limit, c.PromptTokens+min(c.MaxOutputTokens, c.events*perEvent))
}
