package quarantine

import (
	"slices"
	"time"

	"guavapier/internal/record"
)

const (
	// endsToHold is how many endpoints have to end under a request, one after the other,
	// for it to be held.
	endsToHold = 3
	// apart is how long after an end another one counts that was learned from the log:
	// endpoints that are lost at one moment end under the same requests, and reports of
	// them come within some reads of the log.
	apart = 500 * time.Millisecond
	// settleFor is how long the reports of an end take to come from all instances: only
	// then it is known under which of the requests there most endpoints have ended.
	settleFor = 500 * time.Millisecond
	// firstHold is how long a request is held; each retest that fails makes it holdFactor
	// times longer, up to longestHold.
	firstHold   = 2 * time.Minute
	holdFactor  = 4
	longestHold = time.Hour
	// keepFor is how long the last end, or the end of a hold, is remembered.
	keepFor = 10 * time.Minute
	// mostEndpoints bounds the endpoints that an entry names.
	mostEndpoints = 16
)

// entry is what is known of one request's content.
type entry struct {
	team      record.Team
	endpoints []string // That ended, the latest last.
	ends      int      // Those that ended one after the other.
	lastEnd   time.Time
	seenHere  bool // The last end was seen by this instance itself.
	round     int  // Retests.
	retestBy  record.InstanceID
	until     time.Time // Held until then, if it is to blame.
	writer    record.InstanceID
	// orphanAfter is for how long the entry may be stale until its writer counts as gone.
	orphanAfter time.Duration
}

// holdOf is how long a request is held after so many retests.
func holdOf(retests int) time.Duration {
	hold := firstHold
	for range retests {
		if hold = holdFactor * hold; hold >= longestHold {
			return longestHold
		}
	}
	return hold
}

// end notes that an endpoint ended under the request, which began to run there at began.
// Endpoints that were lost at one moment count as one. It returns the endpoint that the
// entry names no more; "" for none.
func (e *entry) end(endpoint string, began, now time.Time, here bool) (dropped string) {
	e.endpoints = append(e.endpoints, endpoint)
	if len(e.endpoints) > mostEndpoints {
		dropped, e.endpoints = e.endpoints[0], e.endpoints[1:]
	}
	after := e.lastEnd.Add(apart)
	if here && e.seenHere {
		after = e.lastEnd
	}
	if e.ends > 0 && began.Before(after) {
		return dropped
	}
	e.ends, e.lastEnd, e.seenHere = e.ends+1, now, here
	if e.ends >= endsToHold {
		e.hold(now.Add(holdOf(e.round)))
	}
	return dropped
}

func (e *entry) has(endpoint string) bool { return slices.Contains(e.endpoints, endpoint) }

// hold holds the request until then, if it was not held for longer.
func (e *entry) hold(until time.Time) {
	if until.After(e.until) {
		e.until = until
	}
}

// staleFor is for how long the entry has not been worth keeping; negative if it is.
func (e *entry) staleFor(now time.Time) time.Duration {
	last := e.lastEnd
	if e.until.After(last) {
		last = e.until
	}
	return now.Sub(last) - keepFor
}
