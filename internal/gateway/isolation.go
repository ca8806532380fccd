package gateway

import (
	"sync/atomic"
	"time"

	"guavapier/internal/placement"
)

// isolationDelay is how long no endpoint may be reachable before callers are sent to other
// instances. It is longer than a short silence of the network.
const isolationDelay = 2 * time.Second

// isolation tells when this instance reaches no endpoint at all, not even through other
// instances, so that its callers are better served elsewhere. The zero value is ready for use.
type isolation struct {
	since    time.Duration // When the last endpoint became unreachable; 0 while one is reachable.
	isolated atomic.Bool
}

// update takes account of the reach at now, which is not 0, and reports whether the result has
// changed. hasOthers states that other instances exist.
func (i *isolation) update(byService map[string]placement.Reach, hasOthers bool, now time.Duration) (changed bool) {
	listed, unreachable := 0, 0
	for _, reach := range byService {
		listed += reach.Listed
		unreachable += reach.Unreachable
	}
	switch {
	case !hasOthers || listed == 0 || unreachable < listed:
		i.since = 0
	case i.since == 0:
		i.since = now
	}
	isolated := i.since > 0 && now-i.since >= isolationDelay
	return i.isolated.Swap(isolated) != isolated
}

// isIsolated reports whether callers are to be sent to other instances.
func (i *isolation) isIsolated() bool { return i.isolated.Load() }
