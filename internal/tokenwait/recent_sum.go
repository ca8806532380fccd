package tokenwait

import "time"

// recentSum sums up recent amounts. It tells the mean amount of one period, taken over the last one
// to two periods.
type recentSum struct {
	period            time.Duration
	current, previous int64
	startedAt         time.Duration // Start of the current period.
}

// add adds an amount.
func (r *recentSum) add(amount int64, now time.Duration) {
	r.advance(now)
	r.current += amount
}

// perPeriod returns the mean amount of one period.
func (r *recentSum) perPeriod(now time.Duration) int64 {
	r.advance(now)
	covered := r.period + now - r.startedAt
	return int64(float64(r.current+r.previous) * float64(r.period) / float64(covered))
}

func (r *recentSum) advance(now time.Duration) {
	switch elapsed := now - r.startedAt; {
	case elapsed >= 2*r.period:
		r.current, r.previous, r.startedAt = 0, 0, now
	case elapsed >= r.period:
		r.current, r.previous, r.startedAt = 0, r.current, r.startedAt+r.period
	}
}
