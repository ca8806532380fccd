package prepaid

import (
	"math"
	"time"
)

// decayingRate is an exponentially decaying average of tokens per second.
type decayingRate struct {
	sum       float64
	updatedAt time.Duration
	startedAt time.Duration // When the first tokens were counted; 0 if none were.
}

// rateHalfLife is short enough for the rate to follow a burst within seconds.
const rateHalfLife = 4 * time.Second

func (r *decayingRate) decay(now time.Duration) {
	r.sum *= math.Exp2(-float64(now-r.updatedAt) / float64(rateHalfLife))
	r.updatedAt = now
}

func (r *decayingRate) addTokens(tokens float64, now time.Duration) {
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

// steadyPerSecond returns the rate under the assumption that the flow began at startedAt and
// is constant: it compensates for the time before, which perSecond counts as idle.
func (r *decayingRate) steadyPerSecond(now time.Duration) float64 {
	counted := max(minCountedTime, now-r.startedAt)
	return r.perSecond(now) / (1 - math.Exp2(-float64(counted)/float64(rateHalfLife)))
}

// minCountedTime limits the compensation in steadyPerSecond for a flow that has just begun.
const minCountedTime = time.Second
