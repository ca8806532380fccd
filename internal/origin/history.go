package origin

import (
	"sync"
	"time"
)

// historyRetention is how long a version is remembered that is listed no more.
const historyRetention = 10 * time.Minute

// History records which software versions of each service the endpoint list has shown, and
// when. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	started  bool
	since    time.Duration // From when on no version has gone unseen.
	lastSeen map[string]map[string]time.Duration
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{lastSeen: map[string]map[string]time.Duration{}} }

// Observe records that the list has an endpoint of this version, or has just lost it.
func (h *History) Observe(service, version string, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	versions := h.lastSeen[service]
	if versions == nil {
		versions = map[string]time.Duration{}
		h.lastSeen[service] = versions
	}
	versions[version] = now
}

// Start records that the whole list was read, after a time in which entries may have come and
// gone unseen.
func (h *History) Start(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started, h.since = true, now
}

// Only returns the one version of the service that the list has shown within the given duration;
// false if there were several, or if the history doesn't go back so far. It never goes back
// further than historyRetention.
func (h *History) Only(service string, duration, now time.Duration) (version string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.started || now-h.since < duration || duration > historyRetention {
		return "", false
	}
	found := 0
	for v, at := range h.lastSeen[service] {
		if now-at < duration {
			version = v
			found++
		}
	}
	return version, found == 1
}

// HasOther reports whether the list has shown another version of the service within the given
// duration.
func (h *History) HasOther(service, version string, duration, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for v, at := range h.lastSeen[service] {
		if v != version && now-at < duration {
			return true
		}
	}
	return false
}

// agesMS returns how long ago each version was seen, in milliseconds, by service.
func (h *History) agesMS(now time.Duration) map[string]map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	ages := map[string]map[string]int64{}
	for service, versions := range h.lastSeen {
		ages[service] = map[string]int64{}
		for v, at := range versions {
			ages[service][v] = (now - at).Milliseconds()
		}
	}
	return ages
}

// Sweep removes versions that were last seen longer ago than historyRetention.
func (h *History) Sweep(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, versions := range h.lastSeen {
		for v, at := range versions {
			if now-at >= historyRetention {
				delete(versions, v)
			}
		}
		if len(versions) == 0 {
			delete(h.lastSeen, service)
		}
	}
}
