package quota

import "time"

// burstTime is the time whose requests an owner may send at one moment, beyond the first.
const burstTime = 250 * time.Millisecond

// bucket admits requests at a rate, with a small burst (GCRA).
type bucket struct {
	interval time.Duration // Between two requests at the rate.
	// dueAt is when the next request is due at the rate. A request may be sent burstTime before.
	dueAt time.Duration
}

// setInterval changes the rate.
func (b *bucket) setInterval(interval, now time.Duration) {
	b.interval = interval
	b.dueAt = min(b.dueAt, now+interval)
}

// startAt makes the first request wait.
func (b *bucket) startAt(at time.Duration) { b.dueAt = max(b.dueAt, at) }

func (b *bucket) hasRoom(now time.Duration) bool { return now >= b.dueAt-burstTime }

func (b *bucket) take(now time.Duration) { b.dueAt = max(b.dueAt, now) + b.interval }

// giveBack undoes a take.
func (b *bucket) giveBack() { b.dueAt -= b.interval }

// roomIn returns the time until there is room.
func (b *bucket) roomIn(now time.Duration) time.Duration { return max(0, b.dueAt-burstTime-now) }

// usedAt returns when the last request was due at the rate; before the first one, when it would have been.
func (b *bucket) usedAt() time.Duration { return b.dueAt - b.interval }
