package placement

import (
	"time"

	"guavapier/internal/heldprompts"
)

// Use is what an endpoint may be used for at a moment.
type Use uint8

// The values of Use, the best first.
const (
	// UseNormal endpoints are chosen by their cost.
	UseNormal Use = iota
	// UseReserve endpoints are chosen by their cost if no endpoint is UseNormal.
	UseReserve
	// UseLastResort endpoints, which will hardly answer, are chosen if there is no other.
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
	ReasonReplaced    Reason = "replaced"    // Another endpoint has its address.
	ReasonResting     Reason = "resting"     // It has asked this instance for rest.
	ReasonCold        Reason = "cold"        // And this instance's share of it is used up.
	ReasonUnconfirmed Reason = "unconfirmed" // Reachable again, and perhaps cold.
	ReasonUnreachable Reason = "unreachable"
	ReasonBackoff     Reason = "back-off"
	// ReasonRejections means that further requests might be more than the endpoint can reject
	// without crashing.
	ReasonRejections Reason = "rejection limit"
	// ReasonRequestLimit means that this instance may not send the endpoint one more request
	// now, by the limit that the endpoint states.
	ReasonRequestLimit Reason = "request limit"
)

const (
	// initialBackoff and maxBackoff bound how long an endpoint is avoided after
	// consecutive failures; the time doubles with each back-off. A restarted
	// endpoint is back within seconds, a lost one is removed from the list of
	// endpoints.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// maxEntryDelay is how old an entry may be when it is read, while the store is available:
	// an entry is read at the latest with the next poll of the list.
	maxEntryDelay = 1200 * time.Millisecond
	// failuresBeforeBackoff is the number of consecutive failures that lead to a
	// back-off; an occasional single failure does not.
	failuresBeforeBackoff = 2
)

// condition is what decides whether an endpoint may be sent requests. It has no clock and
// does no I/O. All questions of this kind go to its methods, which alone read its fields; the
// share of a cold endpoint is set in warmup.go. docs/ARCHITECTURE.md has the states as a
// diagram.
type condition struct {
	statements
	rest
	leaving  bool // It is about to end, by its entry.
	cordoned bool // Operators have cordoned its availability zone.
	// replaced is set when another endpoint answers at the address and cleared when the entry
	// changes. A connection that succeeds is one to the other endpoint and shows nothing.
	replaced bool
	// unreachable is set when a connection fails and cleared when one succeeds, so that
	// callers' requests don't find out one after the other that a network partition
	// persists.
	unreachable bool
	// probeFailed is set when an unreachable endpoint was probed in vain: a request would be
	// in vain too.
	probeFailed bool
	// linkLost is set while connections by the instance's own link fail. The endpoint may be
	// reachable through another instance.
	linkLost bool
	// unconfirmedUntil is until when an endpoint that was unreachable may be cold. Its next
	// entry tells earlier.
	unconfirmedUntil time.Duration
	// versionDoubt is how likely the endpoint has started again with another software version
	// under its ID. An entry that was published later clears it.
	versionDoubt        versionDoubt
	doubtedAt           time.Duration // When versionDoubt was last confirmed.
	consecutiveFailures int
	backoff             time.Duration // Length of the latest back-off; 0 for none.
	avoidedUntil        time.Duration // End of the latest back-off.

	coldUntil time.Duration // End of the warm-up; in the past if the endpoint is not cold.
	// limitedFrom is when the first request may be sent during the warm-up. It is later than
	// the warm-up's start if the endpoint may have got its share just before: from a process
	// that has ended, or because it was in use until it was known to be cold.
	limitedFrom  time.Duration
	limited      bool // Requests to the cold endpoint are limited to share.
	share        int  // How many this instance may send in any warmUpWindow.
	shareVersion int  // The fleet.version by which share was computed.
	coldSends    sendWindow
}

// isLeaving reports whether the endpoint is about to end, by its entry or by an answer, whichever
// says so first: an entry may come late, or not at all while the store is away.
func (c *condition) isLeaving() bool { return c.leaving || c.stated.Leaving }

// isCold reports whether the endpoint is warming up.
func (c *condition) isCold(now time.Duration) bool { return now < c.coldUntil }

// allowance returns how many more requests this instance may send to the endpoint now while
// it is cold.
func (c *condition) allowance(now time.Duration) int {
	if now < c.limitedFrom {
		return 0
	}
	return c.share - c.coldSends.count(now)
}

// use returns what the endpoint may be used for, and why not for everything.
func (c *condition) use(now time.Duration) (Use, Reason) {
	switch {
	case c.isLeaving():
		return UseNone, ReasonLeaving
	case c.cordoned:
		return UseNone, ReasonCordoned
	case c.replaced:
		return UseNone, ReasonReplaced
	case c.isCold(now) && c.limited && c.allowance(now) <= 0:
		return UseNone, ReasonCold
	case c.unreachable && c.probeFailed:
		return UseNone, ReasonUnreachable
	case c.unreachable:
		return UseLastResort, ReasonUnreachable
	case now < c.avoidedUntil:
		return UseLastResort, ReasonBackoff
	case now < c.unconfirmedUntil:
		return UseReserve, ReasonUnconfirmed
	}
	return UseNormal, ""
}

// mayBePreferred reports whether prompts may be assigned to the endpoint by its hash. A
// back-off and most rests are too short, and known to too few instances, to move prompts elsewhere.
func (c *condition) mayBePreferred(now time.Duration) bool {
	return !c.isLeaving() && !c.cordoned && !c.replaced && !c.unreachable && !c.isCold(now) && now+heldprompts.AssumedRetention > c.restsUntil
}

// mayBeFetchedFrom reports whether other endpoints may fetch cached parts of prompts from
// this one.
func (c *condition) mayBeFetchedFrom(now time.Duration) bool {
	use, _ := c.use(now)
	return use == UseNormal && !c.isCold(now)
}

// needsProbe reports whether it is to be found out without a request whether the endpoint
// can be reached, by the own link or at all.
func (c *condition) needsProbe() bool {
	return (c.unreachable || c.linkLost) && !c.cordoned && !c.replaced
}

// mayGetRequests reports whether operators and the endpoint itself let it have new requests.
func (c *condition) mayGetRequests() bool { return !c.isLeaving() && !c.cordoned }

// failureCount returns the number of consecutive failures.
func (c *condition) failureCount() int { return c.consecutiveFailures }

// onEntry records an entry that the endpoint has published. warming is the warm-up time that
// was left. known states that this instance knew the endpoint before, changed that its entry
// was another one.
func (c *condition) onEntry(leaving bool, warming time.Duration, known, changed bool, now time.Duration) {
	c.leaving, c.unconfirmedUntil = leaving, 0
	c.replaced = c.replaced && !changed
	if now >= c.doubtedAt+maxEntryDelay {
		c.versionDoubt = versionConfirmed
	}
	if warming <= 0 {
		return
	}
	if known && !c.isCold(now) && !c.cordoned {
		c.limitedFrom = now + warmUpWindow
	}
	c.coldUntil = max(c.coldUntil, now+warming)
}

// onCordon records whether the endpoint's zone is cordoned. Once the cordon is taken back,
// the endpoint may be cold.
func (c *condition) onCordon(cordoned bool, warmUp, now time.Duration) {
	if c.cordoned && !cordoned {
		c.coldUntil = max(c.coldUntil, now+warmUp)
	}
	c.cordoned = cordoned
}

// forgetWay forgets what was found out about the way to the endpoint, which does not depend on its process.
func (c *condition) forgetWay() {
	c.replaced, c.unreachable, c.probeFailed, c.linkLost = false, false, false, false
	c.unconfirmedUntil, c.avoidedUntil, c.backoff, c.consecutiveFailures = 0, 0, 0, 0
}

// onConnected records that a connection to the endpoint could be made.
func (c *condition) onConnected(warmUp, now time.Duration) {
	if c.unreachable {
		c.unreachable, c.probeFailed, c.unconfirmedUntil = false, false, now+warmUp
	}
}

// onAnswered records the complete answer to a request.
func (c *condition) onAnswered() { c.consecutiveFailures, c.backoff = 0, 0 }

// onFailed records that the endpoint failed a request.
func (c *condition) onFailed(now time.Duration) {
	c.consecutiveFailures++
	if c.consecutiveFailures >= failuresBeforeBackoff {
		c.startBackoff(now)
	}
}

// doubtVersion records a sign that the endpoint may have started again.
func (c *condition) doubtVersion(d versionDoubt, now time.Duration) {
	c.versionDoubt, c.doubtedAt = max(c.versionDoubt, d), now
}

// onReplaced records that another endpoint has answered at the address.
func (c *condition) onReplaced() { c.replaced = true }

// onUnreachable records that no connection could be made.
func (c *condition) onUnreachable() { c.unreachable = true }

// onProbeFailed records that a probe could make no connection either.
func (c *condition) onProbeFailed() { c.probeFailed = c.unreachable }

// startBackoff avoids the endpoint for twice as long as the last time. Failures
// during a back-off don't extend it, so that concurrent ones count as one.
func (c *condition) startBackoff(now time.Duration) {
	if now < c.avoidedUntil {
		return
	}
	c.backoff = min(max(2*c.backoff, initialBackoff), maxBackoff)
	c.avoidedUntil = now + c.backoff
}
