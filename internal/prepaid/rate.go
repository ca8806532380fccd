package prepaid

import (
	"math"
	"time"
)

// decayingRate is a decaying decayingRate of tokens a second.
type decayingRate struct {
	sum       float64
	updatedAt time.Duration
	startedAt time.Duration // When the first tokens were counted; 0 for never.
}

// rateHalfLife follows a burst within seconds.
const rateHalfLife = 4 * time.Second

func (r *decayingRate) decay(now time.Duration) {
	r.sum *= math.Exp2(-float64(now-r.updatedAt) / float64(rateHalfLife))
	r.updatedAt = now
}

func (r *decayingRate) add(tokens float64, now time.Duration) {
	if r.startedAt == 0 {
		r.startedAt = now
	}
	r.decay(now)
	r.sum += tokens
}

func (r *decayingRate) perSecond(now time.Duration) float64 {
	r.decay(now)
	return max(0, r.sum) * math.Ln2 / rateHalfLife.Seconds()
}

// steadyPerSecond is the rate of a flow that began a short time ago and goes on: what was not
// counted yet does not make it smaller.
func (r *decayingRate) steadyPerSecond(now time.Duration) float64 {
	counted := max(minCountedTime, now-r.startedAt)
	return r.perSecond(now) / (1 - math.Exp2(-float64(counted)/float64(rateHalfLife)))
}

// minCountedTime bounds what a flow's first tokens tell.
const minCountedTime = time.Second
