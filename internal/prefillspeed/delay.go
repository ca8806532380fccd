package prefillspeed

import "time"

// Delay is by how much the first tokens of an endpoint have lately come later than expected
// without a queue: what keeps it busy beside the prompts that are known to wait, as a slowdown.
type Delay struct {
	ms         float64
	observedAt time.Duration
}

const (
	// delayRise and delayFall are the weights of a new answer that came later, or earlier, than
	// the last ones: what an instance or its link adds for itself isn't the endpoint's.
	delayRise, delayFall = 0.25, 0.6
	// delayMemory is the time in which a delay falls to 0 without further answers.
	delayMemory = time.Second
)

// Observe records that an answer has come this much later.
func (d *Delay) Observe(ms float64, now time.Duration) {
	last, gain := d.At(now), delayRise
	if ms < last {
		gain = delayFall
	}
	d.ms, d.observedAt = last+gain*(ms-last), now
}

// At returns the delay to expect now, in milliseconds.
func (d *Delay) At(now time.Duration) float64 {
	age := now - d.observedAt
	if d.ms == 0 || age >= delayMemory {
		return 0
	}
	return d.ms * (1 - float64(age)/float64(delayMemory))
}
