package quarantine

import (
	"context"
	"time"

	"guavapier/internal/logstore"
)

const (
	// claimTimeout bounds how long a request waits to acquire a canary or a retest, which takes
	// some round trips to the log. claimPollInterval is how often the table is checked
	// meanwhile.
	claimTimeout, claimPollInterval = 500 * time.Millisecond, 5 * time.Millisecond
)

// claimKind is a right to send a request once on behalf of the whole fleet. The first claim of
// each round on the log acquires it.
type claimKind struct {
	name string
	// claim returns the record that claims the next round; nil if none may begin, since another
	// one has or the subject was cleared, which cleared reports.
	claim func(t *Table, f Fingerprint, now time.Time) (r *entryRecord, cleared bool)
	// round is the round that a record claims.
	round func(r *entryRecord) int
	// result reports whether a round was acquired, and whether by this instance.
	result func(t *Table, f Fingerprint, round int) (decided, won bool)
}

// The kinds of claim.
var (
	retestClaim = claimKind{"retest", (*Table).retestClaim, func(r *entryRecord) int { return r.RetestRound }, (*Table).retestResult}
	canaryClaim = claimKind{"canary", (*Table).canaryClaim, func(r *entryRecord) int { return r.CanaryRound }, (*Table).canaryResult}
)

// acquireRetest claims the next retest on the log and reports whether the calling request
// may run it.
func (s *Syncer) acquireRetest(ctx context.Context, f Fingerprint) bool {
	return s.acquire(ctx, retestClaim, f)
}

// acquireCanary claims the next canary and reports whether the calling request may run it. While
// the log is unavailable the instance runs canaries by itself.
func (s *Syncer) acquireCanary(ctx context.Context, f Fingerprint) bool {
	if s.logUnavailable.Load() {
		return s.Table.beginLocalCanary(f, time.Now())
	}
	return s.acquire(ctx, canaryClaim, f)
}

// acquire claims the next round on the log and reports whether the calling request has acquired
// it. Concurrent calls share one claim.
func (s *Syncer) acquire(ctx context.Context, kind claimKind, f Fingerprint) bool {
	acquired := false
	_, _, _ = s.claimGroup.Do(kind.name+f.String(), func() (any, error) {
		r, cleared := kind.claim(s.Table, f, time.Now())
		if r == nil {
			acquired = cleared
			return nil, nil
		}
		s.enqueue(f, r)
		logstore.Notify(s.writeNow)
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		for decided := false; !decided && ctx.Err() == nil; {
			logstore.Pause(ctx, claimPollInterval, nil)
			decided, acquired = kind.result(s.Table, f, kind.round(r))
		}
		return nil, nil
	})
	return acquired // Of concurrent calls only the one that ran the function sets this.
}
