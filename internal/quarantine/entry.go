package quarantine

import (
	"slices"
	"time"

	"guavapier/internal/record"
)

const (
	// crashesToQuarantine is the number of endpoints that have to crash while serving
	// requests with a subject, one after the other, for it to be quarantined.
	crashesToQuarantine = 3
	// minCrashSpacing is how long after a crash the request has to start on another
	// endpoint for a crash there to count, unless it started at this instance, after it knew
	// of the crash. Endpoints that are lost at the same moment crash with the same requests,
	// and the records of that arrive over several reads of the log.
	minCrashSpacing = 500 * time.Millisecond
	// reportGracePeriod is how long the records of a crash may take to arrive from all
	// instances. Only then is it known which of the requests that were in progress on
	// the endpoint has the most crashes.
	reportGracePeriod = 500 * time.Millisecond
	// initialQuarantine is the duration of the first quarantine of a request. Each
	// retest that fails multiplies it by quarantineGrowthFactor, up to maxQuarantine.
	initialQuarantine      = 2 * time.Minute
	quarantineGrowthFactor = 4
	maxQuarantine          = time.Hour
	// entryTTL is how long an entry is kept after the last crash or the end of the
	// quarantine, whichever is later.
	entryTTL = 10 * time.Minute
	// maxEndpointsPerEntry bounds the endpoints in an entry; the oldest are dropped.
	maxEndpointsPerEntry = 16
)

// entry is what the table knows of one subject.
type entry struct {
	team             record.Team
	part             string            // ID of the part of the prompt; "" for the content of a request.
	endpoints        []string          // Incarnations of the crashed endpoints, the latest last.
	ownEndpoints     []string          // Those whose crash this instance has reported.
	crashes          int               // Those that count, being one after the other.
	countedBy        record.InstanceID // Who has found that there are so many.
	lastCrash        time.Time         // The last one that counts.
	retestRound      int               // Number of retests.
	retestBy         record.InstanceID // Who may run the latest retest.
	quarantinedUntil time.Time         // Only applies while the subject is to blame.
	canaryRound      int               // Number of canaries.
	canaryBy         record.InstanceID // Who may run the latest canary.
	canaryUntil      time.Time         // Until when no other canary may begin; zero after a crash.
	writer           record.InstanceID // Of the latest record.
	// orphanGracePeriod is how long after its expiry the entry is cleared although
	// another instance has written it, which is then assumed to be gone.
	orphanGracePeriod time.Duration
}

// quarantineDuration returns the duration of a quarantine after this number of retests.
func quarantineDuration(retests int) time.Duration {
	duration := initialQuarantine
	for range retests {
		if duration = quarantineGrowthFactor * duration; duration >= maxQuarantine {
			return maxQuarantine
		}
	}
	return duration
}

// addCrash records that an endpoint crashed while serving the request, which had started
// there at startedAt; local states that this instance has sent it. Endpoints that are lost
// at the same moment count as one crash. The result is the endpoint that was dropped from
// the entry to make room; "" for none.
func (e *entry) addCrash(endpoint string, startedAt, now time.Time, local bool) (dropped string) {
	e.endpoints = append(e.endpoints, endpoint)
	if len(e.endpoints) > maxEndpointsPerEntry {
		dropped, e.endpoints = e.endpoints[0], e.endpoints[1:]
	}
	e.canaryUntil = time.Time{}
	countsFrom := e.lastCrash.Add(minCrashSpacing)
	if local {
		countsFrom = e.lastCrash
	}
	if e.crashes > 0 && startedAt.Before(countsFrom) {
		return dropped
	}
	e.crashes, e.lastCrash, e.countedBy = e.crashes+1, now, ""
	if e.crashes >= crashesToQuarantine {
		e.extendQuarantine(now.Add(quarantineDuration(e.retestRound)))
	}
	return dropped
}

func (e *entry) hasEndpoint(endpoint string) bool { return slices.Contains(e.endpoints, endpoint) }

// extendQuarantine moves the end of the quarantine to until, unless it is later already.
func (e *entry) extendQuarantine(until time.Time) {
	if until.After(e.quarantinedUntil) {
		e.quarantinedUntil = until
	}
}

// staleFor returns the time since the entry expired; negative if it has not.
func (e *entry) staleFor(now time.Time) time.Duration {
	last := e.lastCrash
	if e.quarantinedUntil.After(last) {
		last = e.quarantinedUntil
	}
	return now.Sub(last) - entryTTL
}
