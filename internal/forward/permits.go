package forward

import (
	"context"
	"time"

	"guavapier/internal/placement"
)

// maxPermitWait bounds how long a request that no other endpoint may get waits for a permit of
// an instance that owns a part of an endpoint's request limit: some round trips.
const maxPermitWait = 100 * time.Millisecond

// Permits asks other instances for permits to send requests to endpoints that limit them.
type Permits interface {
	// Changed returns a channel that is closed when another instance has replied.
	Changed() <-chan struct{}
}

// place places the next attempt. It waits for permits while some may arrive; the result is nil
// if no endpoint may get the request.
func (c *call) place(ctx context.Context) *placement.Assignment {
	query := c.query()
	end := time.NewTimer(maxPermitWait)
	defer end.Stop()
	for {
		changed := c.f.Permits.Changed()
		assignment := c.f.Endpoints.Place(query, c.f.Clock())
		if assignment != nil || !c.f.Endpoints.AwaitsPermits(query, c.f.Clock()) {
			return assignment
		}
		select {
		case <-changed:
		case <-end.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// requestLimitRefusal returns the refusal of a request that no endpoint may get for their request
// limits; nil if these are not why. Urgent callers come back sooner, and none waits for more
// than a part of the time that is left to it.
func (c *call) requestLimitRefusal() *refusal {
	const partOfTimeLeft = 3
	delay, limited := c.f.Endpoints.RequestLimitDelay(c.query(), c.f.Clock())
	if !limited {
		return nil
	}
	delay = time.Duration(float64(delay) * c.config.PriorityShare(c.route, c.org))
	delay = min(delay, time.Until(c.deadline)/partOfTimeLeft)
	return notRun(ReasonRequestLimit, max(delay, defaultRetryAfter))
}
