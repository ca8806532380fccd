package placement

import "time"

// resumeTime is how long after a rest an instance sends the endpoint one request at a time, unless
// one is answered.
const resumeTime = time.Second

// rest is the time in which an endpoint wants nothing from this instance. Other instances are not
// concerned.
type rest struct {
	restsUntil time.Duration
	// resuming is set from the beginning of a rest until the endpoint has taken a request after
	// it, so that not all that waits is sent as it ends.
	resuming bool
}

// onRest records that the endpoint has asked for a rest. Of several the last to end counts.
func (r *rest) onRest(length, now time.Duration) {
	if length <= 0 {
		return
	}
	r.restsUntil = max(r.restsUntil, now+length)
	r.resuming = true
}

// onTaken records that the endpoint has taken a request that was sent at a time.
func (r *rest) onTaken(sentAt time.Duration) {
	if sentAt >= r.restsUntil {
		r.resuming = false
	}
}

// wantsNothing reports whether nothing may be sent now, if unanswered requests are under way.
func (r *rest) wantsNothing(unanswered int, now time.Duration) bool {
	return now < r.restsUntil || r.resuming && unanswered > 0 && now < r.restsUntil+resumeTime
}

// RestEndsIn returns when the first of the endpoints that can be reached is back, if all of them
// rest; false if not.
func (t *Table) RestEndsIn(q Query, now time.Duration) (endsIn time.Duration, rests bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q.maxDoubt = versionUncertain
	for _, e := range t.endpoints {
		if !e.matches(&q) || !e.mayGetRequests() || e.replaced || e.unreachable {
			continue
		}
		if now >= e.restsUntil {
			return 0, false
		}
		if left := e.restsUntil - now; !rests || left < endsIn {
			endsIn, rests = left, true
		}
	}
	return endsIn, rests
}
