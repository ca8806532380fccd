package forward

import (
	"context"
	"errors"
	"time"

	"guavapier/internal/origin"
	"guavapier/internal/placement"
	"guavapier/internal/processcheck"
)

const (
	// attemptsOfStream is how many times the route's timeout a stream's origin is kept at least:
	// a caller whose try has ended continues it with another one.
	attemptsOfStream = 2
	// defaultStreamLifetime applies to routes without a timeout.
	defaultStreamLifetime = attemptsOfStream * defaultCallerTimeout
	// versionRetryAfter applies when endpoints of the stream's version are listed, but none
	// may be used: the list shows within about a second which of them still run.
	versionRetryAfter = time.Second
)

// continuesStream reports whether the caller holds events of a stream and asks for the next.
func (c *call) continuesStream() bool { return c.route.Streams && c.LastEventID != "" }

// streamLifetime returns for how long the stream's origin is kept: the time that the caller states
// for all of its tries, which the route's timeout does not limit, and at least two tries.
func (c *call) streamLifetime() time.Duration {
	if c.route.Timeout <= 0 {
		return max(defaultStreamLifetime, c.Timeout)
	}
	return max(attemptsOfStream*c.route.Timeout, c.Timeout)
}

// findOrigin determines where the stream began that the caller continues, and makes that the
// only service and version to get the request. It returns the refusal of a stream whose origin
// is not known or no longer served, else nil.
func (c *call) findOrigin(ctx context.Context) *refusal {
	query := origin.Query{Organisation: c.team()}
	if c.Resumes != c.ID {
		query.Request = c.Resumes
	}
	start := time.Now()
	finding, err := c.f.Origins.Find(ctx, query)
	c.logOrigin(finding, err, time.Since(start))
	switch {
	case errors.Is(err, origin.ErrUnconfirmed):
		return notRun(ReasonOriginUnknown, defaultRetryAfter)
	case err != nil:
		return notRun(ReasonOriginUnknown, 0) // No later try will find it.
	case !c.route.AllowsService(finding.Origin.Service) || !c.f.Endpoints.HasVersion(finding.Origin.Service, finding.Origin.Version):
		return notRun(ReasonVersionGone, 0)
	}
	c.service, c.origin = finding.Origin.Service, &finding.Origin
	c.f.Retries.CountRequest(c.service, c.f.Clock())
	return nil
}

// recordOrigin records where the stream began whose next event is about to be sent. It is
// called for each event, and reports whether that may be sent: not if the endpoint may be of
// another version than the one that the stream continues at.
func (c *call) recordOrigin(ctx context.Context, assignment *placement.Assignment) bool {
	if !c.route.Resumable {
		return true
	}
	if c.origin == nil {
		c.origin = &origin.Origin{Service: c.service, Version: assignment.Endpoint.Version}
		if c.isReplaced(ctx, assignment) {
			c.markAmbiguous()
		}
	}
	if !c.originRecorded {
		c.originRecorded = true
		c.shareOrigin(*c.origin)
	}
	if !c.originAmbiguous && !assignment.HasSameVersion() {
		c.markAmbiguous()
	}
	return !c.originAmbiguous || c.resumedAfter == ""
}

// markAmbiguous records that it is not known which version the stream's events are of, so that no try continues it.
func (c *call) markAmbiguous() {
	c.originAmbiguous, c.originRecorded = true, true
	c.shareOrigin(origin.Origin{})
}

// isReplaced reports whether other instances know that the endpoint of the assignment has started again, which this instance
// does not, and records it.
func (c *call) isReplaced(ctx context.Context, assignment *placement.Assignment) bool {
	e := assignment.Endpoint
	if !c.f.Processes.IsReplaced(ctx, processcheck.Process{Endpoint: e.ID, Born: e.Born, Version: e.Version}) {
		return false
	}
	c.f.Endpoints.DoubtVersion(e.ID, e.Born, c.f.Clock())
	return true
}

// shareOrigin records the stream's origin for later tries of the caller.
func (c *call) shareOrigin(o origin.Origin) {
	request := c.ID
	if c.continuesStream() {
		request = c.Resumes
	}
	if request != "" {
		c.f.Origins.Began(origin.Record{Stream: origin.NewStreamID(c.team(), request), Origin: o, Lifetime: c.streamLifetime()})
	}
}

// mayContinue reports whether a stream whose first events were sent may go on at another
// endpoint. Events without IDs don't say where.
func (c *call) mayContinue() bool {
	return !c.originAmbiguous && (c.events == 0 || c.lastEventID != "")
}

// noEndpointRefusal returns the refusal of a request that no endpoint may get now.
func (c *call) noEndpointRefusal(reason Reason) *refusal {
	limited, resting := c.requestLimitRefusal(), c.restRefusal()
	switch {
	case limited != nil:
		return limited
	case resting != nil:
		return resting
	case c.origin == nil:
		return notRun(reason, defaultRetryAfter)
	case !c.f.Endpoints.HasVersion(c.origin.Service, c.origin.Version):
		return notRun(ReasonVersionGone, 0)
	default:
		return notRun(reason, versionRetryAfter)
	}
}

// Processes tells whether an endpoint has started again under its ID.
type Processes interface {
	// IsReplaced reports whether the process has ended, or may have, as far as that can be found out.
	IsReplaced(ctx context.Context, p processcheck.Process) bool
}

// maxReplacedEndpoints bounds the endpoints that one attempt finds to have started again.
const maxReplacedEndpoints = 8

// placeAtOrigin places the next attempt, that of a stream which has begun only at a process whose version is known here. The
// result is nil if no endpoint may get the request.
func (c *call) placeAtOrigin(ctx context.Context) *placement.Assignment {
	for range maxReplacedEndpoints {
		assignment := c.place(ctx)
		if assignment == nil || c.origin == nil {
			return assignment
		}
		if !c.isReplaced(ctx, assignment) {
			return assignment
		}
		assignment.Done(placement.Abandoned, c.f.Clock())
	}
	return nil
}
