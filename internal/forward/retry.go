package forward

import (
	"context"
	"net/http"
	"time"

	"guavapier/internal/route"
)

// minRetryTimeLeft is the least time before the deadline at which a request is still retried:
// with less, it would hardly reach another endpoint in time.
const minRetryTimeLeft = 20 * time.Millisecond

// forward sends the request to endpoints until there is a final answer, and returns its
// status. The context caller ends when the caller disconnects, ctx also at the deadline.
func (c *call) forward(ctx, caller context.Context) int {
	for {
		if !c.mayHaveRun && c.mayOutliveInstance() {
			return c.refuse(notRun(ReasonShuttingDown, defaultRetryAfter))
		}
		if !c.mayHaveRun && c.f.IsOutdated() {
			return c.refuse(notRun(ReasonOutdated, defaultRetryAfter))
		}
		result := c.attempt(ctx)
		if result.final {
			return result.status
		}
		if result.noEndpoint && c.reason != "" {
			result.reason = c.reason // Why the endpoints that were tried have not answered.
		}
		c.reason = result.reason
		switch {
		case caller.Err() != nil:
			c.abortDisconnected()
		case ctx.Err() != nil || time.Until(c.deadline) < minRetryTimeLeft:
			return c.fail(ReasonTimeout, http.StatusGatewayTimeout, result)
		case !c.mayRetry(result):
			return c.fail(result.reason, http.StatusBadGateway, result)
		case result.sent && !c.f.Retries.Allow(c.service, c.f.Clock()):
			// An attempt that could not connect puts no load on endpoints and uses no retry budget.
			return c.fail(result.reason, http.StatusBadGateway, result)
		case c.crashes >= maxCrashes:
			return c.fail(ReasonQuarantined, http.StatusBadGateway, result)
		}
		if !result.sent {
			continue
		}
		if refused := c.checkQuarantine(ctx); refused != nil {
			return c.fail(refused.reason, http.StatusBadGateway, result)
		}
	}
}

// mayRetry reports whether the request may be sent to another endpoint after result.
func (c *call) mayRetry(result attemptResult) bool {
	if result.noEndpoint || c.reachedCount >= c.route.MaxEndpoints || c.attempts >= route.MaxAttempts {
		return false
	}
	if !c.mayHaveRun {
		return true
	}
	if c.route.Streams {
		return c.route.Resumable && c.mayContinue()
	}
	return c.route.Repeat == route.Idempotent && !c.headerSent
}

// fail ends a request without a successful answer and returns the status sent. It aborts
// an answer that has begun, refuses a request that has certainly not run as such, and
// else passes on the endpoint's 5xx answer if there is one, or sends unknownStatus.
func (c *call) fail(reason Reason, unknownStatus int, lastResult attemptResult) int {
	switch {
	case c.headerSent:
		c.reason = reason
		c.abort()
	case !c.mayHaveRun && lastResult.noEndpoint:
		return c.refuse(c.noEndpointRefusal(reason))
	case !c.mayHaveRun:
		return c.refuse(notRun(reason, defaultRetryAfter))
	case lastResult.failure != nil && reason != ReasonTimeout:
		c.reason = reason
		return c.writeBuffered(lastResult.failure)
	}
	return c.refuse(&refusal{status: unknownStatus, reason: reason})
}
