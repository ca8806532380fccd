package route

import "time"

const (
	// MaxAttempts bounds the endpoints tried for one request, including those that were
	// unreachable or replaced. If one of four availability zones is cut off, 1 of 250
	// requests would find only unreachable endpoints in four attempts.
	MaxAttempts = 5
	// attemptTimeoutFactor and minAttemptTimeout determine when an attempt of an idempotent
	// request is given up for another endpoint. An endpoint that is unreachable never answers;
	// one with a queue answers within a few times the target.
	attemptTimeoutFactor = 3
	minAttemptTimeout    = 250 * time.Millisecond
)

// AttemptTimeout returns when an attempt is given up for another endpoint; false if it is not
// given up before the request's own timeout.
func (r *Route) AttemptTimeout() (timeout time.Duration, limited bool) {
	if r.Repeat != Idempotent || r.LatencyTarget <= 0 {
		return 0, false
	}
	return max(attemptTimeoutFactor*r.LatencyTarget, minAttemptTimeout), true
}

// AttemptsWithinTimeout returns how many of the route's MaxEndpoints can be tried within its
// timeout if none of them answers.
func (r *Route) AttemptsWithinTimeout() int {
	attempts := min(r.MaxEndpoints, MaxAttempts)
	timeout, limited := r.AttemptTimeout()
	if !limited || r.Timeout <= 0 {
		return attempts
	}
	return min(attempts, int((r.Timeout-1)/timeout)+1)
}
