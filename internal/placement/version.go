package placement

import "time"

// versionDoubt is how likely an endpoint is of another software version than its entry states,
// as it may have started again under its ID.
type versionDoubt uint8

const (
	versionConfirmed versionDoubt = iota
	// versionUncertain: a connection broke. It may be continued at if there is no other.
	versionUncertain
	// versionUnknown: connections failed, as they do while a process is down.
	versionUnknown
)

// matches reports whether the endpoint is of the service and, if that matters, of the version
// that the query asks for.
func (e *endpointState) matches(q *Query) bool {
	return e.Service == q.Service && (!q.VersionOnly || e.Version == q.Version && e.versionDoubt <= q.maxDoubt)
}

// isVersionKnown reports whether endpoints of the query's version are known to be of one version.
// Those that state none are if no endpoint of the service states any.
func (t *Table) isVersionKnown(q *Query) bool {
	if q.Version != "" {
		return true
	}
	for _, e := range t.endpoints {
		if e.Service == q.Service && e.Version != "" {
			return false
		}
	}
	return true
}

// cheapestByVersion is cheapest, but prefers endpoints whose version is confirmed if the query
// asks for one.
func (t *Table) cheapestByVersion(q *Query, now time.Duration, wanted Use) *endpointState {
	if !q.VersionOnly {
		return t.cheapest(q, now, wanted)
	}
	doubting := *q
	doubting.maxDoubt = versionConfirmed
	if confirmed := t.cheapest(&doubting, now, wanted); confirmed != nil {
		return confirmed
	}
	doubting.maxDoubt = versionUncertain
	return t.cheapest(&doubting, now, wanted)
}

// HasVersion reports whether an endpoint of the service and version may get requests, now or
// later.
func (t *Table) HasVersion(service, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := Query{Service: service, Version: version, VersionOnly: true, maxDoubt: versionUnknown}
	if !t.isVersionKnown(&q) {
		return false
	}
	for _, e := range t.endpoints {
		if e.matches(&q) && !e.isLeaving() && !e.replaced {
			return true
		}
	}
	return false
}

// HasSameVersion reports whether the endpoint's entry still states the version that it had when
// the assignment was made. If not, the process that the request reached may have been of either.
// An endpoint whose entry is gone has not changed its version.
func (a *Assignment) HasSameVersion() bool {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	e := a.table.endpoints[a.Endpoint.ID]
	return e == nil || e.Version == a.Endpoint.Version
}

// DoubtVersion records that the process of an endpoint may have ended: another one of another version may have started
// under its ID. An unknown process is ignored.
func (t *Table) DoubtVersion(endpoint string, born int64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.findProcess(process{endpoint, born}); e != nil {
		e.doubtVersion(versionUnknown, now)
	}
}

// ListedProcess returns the start time and version of the endpoint's process, and whether they are in doubt since connections
// have failed; false if it is not listed.
func (t *Table) ListedProcess(endpoint string) (born int64, version string, doubted, listed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[endpoint]
	if e == nil {
		return 0, "", false, false
	}
	return e.Born, e.Version, e.versionDoubt == versionUnknown, true
}
