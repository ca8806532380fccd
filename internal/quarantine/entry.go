package quarantine

import (
	"slices"
	"time"

	"guavapier/internal/record"
)

const (
	// crashesToQuarantine is how many endpoints have to end under a request, one after the other,
	// for it to be held.
	crashesToQuarantine = 3
	// minCrashSpacing is how long after an end another one counts that was learned from the log:
	// endpoints that are lost at one moment end under the same requests, and reports of
	// them come within some reads of the log.
	minCrashSpacing = 500 * time.Millisecond
	// reportGracePeriod is how long the reports of an end take to come from all instances: only
	// then it is known under which of the requests there most endpoints have ended.
	reportGracePeriod = 500 * time.Millisecond
	// initialQuarantine is how long a request is held; each retest that fails makes it holdFactor
	// times longer, up to longestHold.
	initialQuarantine      = 2 * time.Minute
	quarantineGrowthFactor = 4
	maxQuarantine          = time.Hour
	// entryTTL is how long the last end, or the end of a hold, is remembered.
	entryTTL = 10 * time.Minute
	// maxEndpointsPerEntry bounds the endpoints that an entry names.
	maxEndpointsPerEntry = 16
)

// entry is what is known of one request's content.
type entry struct {
	team             record.Team
	endpoints        []string // That ended, the latest last.
	crashes          int      // Those that ended one after the other.
	lastCrash        time.Time
	seenLocally      bool // The last end was seen by this instance itself.
	retestRound      int  // Retests.
	retestBy         record.InstanceID
	quarantinedUntil time.Time // Held until then, if it is to blame.
	writer           record.InstanceID
	// orphanGracePeriod is for how long the entry may be stale until its writer counts as gone.
	orphanGracePeriod time.Duration
}

// quarantineDuration is how long a request is held after so many retests.
func quarantineDuration(retests int) time.Duration {
	duration := initialQuarantine
	for range retests {
		if duration = quarantineGrowthFactor * duration; duration >= maxQuarantine {
			return maxQuarantine
		}
	}
	return duration
}

// addCrash notes that an endpoint ended under the request, which began to run there at began.
// Endpoints that were lost at one moment count as one. It returns the endpoint that the
// entry names no more; "" for none.
func (e *entry) addCrash(endpoint string, startedAt, now time.Time, local bool) (dropped string) {
	e.endpoints = append(e.endpoints, endpoint)
	if len(e.endpoints) > maxEndpointsPerEntry {
		dropped, e.endpoints = e.endpoints[0], e.endpoints[1:]
	}
	countsFrom := e.lastCrash.Add(minCrashSpacing)
	if local && e.seenLocally {
		countsFrom = e.lastCrash
	}
	if e.crashes > 0 && startedAt.Before(countsFrom) {
		return dropped
	}
	e.crashes, e.lastCrash, e.seenLocally = e.crashes+1, now, local
	if e.crashes >= crashesToQuarantine {
		e.extendQuarantine(now.Add(quarantineDuration(e.retestRound)))
	}
	return dropped
}

func (e *entry) hasEndpoint(endpoint string) bool { return slices.Contains(e.endpoints, endpoint) }

// extendQuarantine holds the request until then, if it was not held for longer.
func (e *entry) extendQuarantine(until time.Time) {
	if until.After(e.quarantinedUntil) {
		e.quarantinedUntil = until
	}
}

// staleFor is for how long the entry has not been worth keeping; negative if it is.
func (e *entry) staleFor(now time.Time) time.Duration {
	last := e.lastCrash
	if e.quarantinedUntil.After(last) {
		last = e.quarantinedUntil
	}
	return now.Sub(last) - entryTTL
}
