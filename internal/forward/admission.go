package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"guavapier/internal/quarantine"
)

const (
	// defaultCallerTimeout bounds a request whose caller does not state how long it
	// waits.
	defaultCallerTimeout = 30 * time.Second
)

// admit reads the request and determines its route, organisation, service and deadline.
// It returns the refusal of a request that can't be served, else nil.
func (c *call) admit(r *http.Request) *refusal {
	c.config = c.f.State()
	if c.config == nil {
		return notRun(ReasonNoDesiredState, noStateRetryAfter)
	}
	if c.f.IsOutdated() {
		return notRun(ReasonOutdated, defaultRetryAfter)
	}
	if limit := c.config.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: ReasonHeaderTooLarge}
	}
	var err error
	if c.Request, err = c.f.Codec.Request(r); err != nil {
		return &refusal{status: http.StatusBadRequest, reason: ReasonBadRequest}
	}
	if c.route = c.config.Match(c.Host, c.Path); c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: ReasonNoRoute}
	}
	c.org = c.config.OrganisationByKey(c.Key)
	if c.org == nil && c.config.NeedsKey(c.route) {
		return &refusal{status: http.StatusUnauthorized, reason: ReasonUnknownKey}
	}
	if c.route.Public {
		c.org = nil
	}
	c.deadline = c.start.Add(c.callerTimeout())
	c.service = c.route.PickService(rand.Float64())
	if !c.continuesStream() {
		c.f.Retries.CountRequest(c.service, c.f.Clock()) // The service of the others is found later.
	}
	return c.readBody(r)
}

// headerBytes returns the least size in bytes that a request's first line and header can have
// had. The server has parsed them, so the exact size is unknown.
func headerBytes(r *http.Request) int {
	const separators = 2 // A colon and a line feed; whatever else there was is not known.
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// callerTimeout returns how long the request may take: the caller's timeout, at most that
// of the route.
func (c *call) callerTimeout() time.Duration {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	return timeout
}

// checkQuarantine returns the refusal of a request that is quarantined, or that has a part which
// is suspected; nil if it may be sent.
func (c *call) checkQuarantine(ctx context.Context) *refusal {
	var quarantined *quarantine.QuarantinedError
	if !errors.As(c.f.Quarantine.Admit(ctx, c.content()), &quarantined) {
		return nil
	}
	c.logQuarantined(quarantined)
	if quarantined.Suspected {
		return notRun(ReasonSuspected, max(quarantined.RetryAfter, defaultRetryAfter)+rand.N(tokensRetryJitter))
	}
	return notRun(ReasonQuarantined, max(quarantined.RetryAfter, tokensRetryAfter))
}

// mayOutliveInstance reports whether the request's deadline is after the instance's
// shutdown.
//
// Such a request is refused so that another instance serves it completely; this one would
// cut it off. It applies only close to the shutdown, since most streams end long before
// their deadline. The check is repeated before each send, because waiting for tokens or
// for an endpoint that refuses uses up the time until the shutdown.
func (c *call) mayOutliveInstance() bool {
	shutdown := c.f.ShutdownTime()
	return !shutdown.IsZero() && c.deadline.After(shutdown)
}
