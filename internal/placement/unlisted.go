package placement

import "time"

const (
	// unlistedRetention is how long an endpoint is remembered after its entry has ended. It covers a loss of the
	// endpoint's zone for an hour.
	unlistedRetention = 2 * time.Hour
	// maxUnlisted bounds the endpoints that are remembered; the oldest ones are forgotten first.
	maxUnlisted = 4096
)

// process identifies the process of an endpoint, whether or not it is listed.
type process struct {
	id   string
	born int64
}

// unlistedEndpoint is an endpoint whose entry has ended, or names another process now.
type unlistedEndpoint struct {
	*endpointState
	since time.Duration
}

// unlisted remembers endpoints without an entry. An entry may be deleted, expire or be unreadable for a while
// although its process goes on, which is then bound by all that it has stated before.
type unlisted map[process]unlistedEndpoint

// keep remembers an endpoint whose entry has ended. What is known of the way to it ends with its entry.
func (u unlisted) keep(e *endpointState, now time.Duration) {
	if len(u) >= maxUnlisted {
		u.dropOldest()
	}
	e.forgetWay()
	u[process{e.ID, e.Born}] = unlistedEndpoint{endpointState: e, since: now}
}

// take returns the endpoint of a process that is listed again, and forgets it here; nil if there is none.
func (u unlisted) take(p process) *endpointState {
	e := u[p].endpointState
	delete(u, p)
	return e
}

// dropOldest forgets the endpoint whose entry ended first.
func (u unlisted) dropOldest() {
	var oldest process
	first := true
	for p, e := range u {
		if first || e.since < u[oldest].since {
			oldest, first = p, false
		}
	}
	delete(u, oldest)
}

// sweep forgets endpoints that are not listed again, and what the others no longer hold.
func (u unlisted) sweep(now time.Duration) {
	for p, e := range u {
		if now-e.since >= unlistedRetention {
			delete(u, p)
			continue
		}
		e.held.Sweep(now)
	}
}

// findProcess returns the endpoint of a process, listed or not; nil if it is not known.
func (t *Table) findProcess(p process) *endpointState {
	if e := t.endpoints[p.id]; e != nil && e.Born == p.born {
		return e
	}
	return t.unlisted[p].endpointState
}

// findProcesses returns all endpoints with this ID, listed or not.
func (t *Table) findProcesses(id string) (found []*endpointState) {
	if e := t.endpoints[id]; e != nil {
		found = append(found, e)
	}
	for p, e := range t.unlisted {
		if p.id == id {
			found = append(found, e.endpointState)
		}
	}
	return found
}
