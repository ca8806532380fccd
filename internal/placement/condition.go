package placement

import "time"

// Use is what an endpoint may be used for at a moment.
type Use uint8

// The values of Use.
const (
	// UseNormal endpoints are chosen by their cost.
	UseNormal Use = iota
	// UseLastResort endpoints are chosen only if no endpoint is UseNormal.
	UseLastResort
	// UseNone endpoints get no requests.
	UseNone
)

// Reason states why an endpoint is not UseNormal. State dumps and log lines have its text.
type Reason string

// The reasons, "" for UseNormal.
const (
	ReasonLeaving     Reason = "leaving"
	ReasonCordoned    Reason = "zone cordoned"
	ReasonUnreachable Reason = "unreachable"
	ReasonBackoff     Reason = "back-off"
)

const (
	// initialBackoff and maxBackoff bound how long an endpoint is avoided after
	// consecutive failures; the time doubles with each back-off. A restarted
	// endpoint is back within seconds, a lost one is removed from the list of
	// endpoints.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// failuresBeforeBackoff is the number of consecutive failures that lead to a
	// back-off; an occasional single failure does not.
	failuresBeforeBackoff = 2
)

// condition is what decides whether an endpoint may be sent requests. It has no clock and
// does no I/O. All questions of this kind go to its methods; its fields are read nowhere
// else. docs/ARCHITECTURE.md has its states as a diagram.
type condition struct {
	leaving  bool // It is about to end, by its entry.
	cordoned bool // Operators have cordoned its availability zone.
	// unreachable is set when a connection fails and cleared when one succeeds, so that
	// callers' requests don't find out one after the other that a network partition
	// persists.
	unreachable         bool
	consecutiveFailures int
	backoff             time.Duration // Length of the latest back-off; 0 for none.
	avoidedUntil        time.Duration // End of the latest back-off.
}

// use returns what the endpoint may be used for, and why not for everything.
func (c *condition) use(now time.Duration) (Use, Reason) {
	switch {
	case c.leaving:
		return UseNone, ReasonLeaving
	case c.cordoned:
		return UseNone, ReasonCordoned
	case c.unreachable:
		return UseLastResort, ReasonUnreachable
	case now < c.avoidedUntil:
		return UseLastResort, ReasonBackoff
	}
	return UseNormal, ""
}

// mayBePreferred reports whether prompts may be assigned to the endpoint by its hash. A
// back-off is too short, and known to too few instances, to move prompts elsewhere.
func (c *condition) mayBePreferred() bool {
	return !c.leaving && !c.cordoned && !c.unreachable
}

// mayBeFetchedFrom reports whether other endpoints may fetch cached parts of prompts from
// this one.
func (c *condition) mayBeFetchedFrom(now time.Duration) bool {
	use, _ := c.use(now)
	return use == UseNormal
}

// needsProbe reports whether it is to be found out without a request whether the endpoint
// can be reached.
func (c *condition) needsProbe() bool { return c.unreachable && !c.cordoned }

// failureCount returns the number of consecutive failures.
func (c *condition) failureCount() int { return c.consecutiveFailures }

// onConnected records that a connection to the endpoint could be made.
func (c *condition) onConnected() { c.unreachable = false }

// onAnswered records the complete answer to a request.
func (c *condition) onAnswered() { c.consecutiveFailures, c.backoff = 0, 0 }

// onFailed records that the endpoint failed a request.
func (c *condition) onFailed(now time.Duration) {
	c.consecutiveFailures++
	if c.consecutiveFailures >= failuresBeforeBackoff {
		c.startBackoff(now)
	}
}

// onUnreachable records that no connection could be made.
func (c *condition) onUnreachable() { c.unreachable = true }

// startBackoff avoids the endpoint for twice as long as the last time. Failures
// during a back-off don't extend it, so that concurrent ones count as one.
func (c *condition) startBackoff(now time.Duration) {
	if now < c.avoidedUntil {
		return
	}
	c.backoff = min(max(2*c.backoff, initialBackoff), maxBackoff)
	c.avoidedUntil = now + c.backoff
}
