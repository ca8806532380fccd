package gateway

import (
	"sync/atomic"
	"time"
)

// freshness knows how current a followed topic is, and whether that is too old to act on.
// It is safe for concurrent use.
//
// A topic that can't be read because the store is out of reach is never too old: a zone
// that is cut off goes on from what it knows. An instance is behind where the answer is on
// its way, or where its own link is too full to carry one. Others then know more, and
// callers are better served there.
type freshness struct {
	within time.Duration // After which a change has to be known.
	clock  func() time.Duration

	began     atomic.Int64 // When the last read began, of clock, in nanoseconds.
	confirmed atomic.Int64 // When the last read that reached the topic's end began; 0 for never.
	coming    atomic.Bool  // More is to be read, and the last read has not failed.
}

func newFreshness(within time.Duration, clock func() time.Duration) *freshness {
	return &freshness{within: within, clock: clock}
}

// begin is called before each read.
func (f *freshness) begin() { f.began.Store(int64(f.clock())) }

// came is called when a part of an answer has come.
func (f *freshness) came() { f.coming.Store(true) }

// fail is called after a read that failed: the store may be out of reach.
func (f *freshness) fail() { f.coming.Store(false) }

// confirm is called after a read that reached the topic's end: what was acknowledged
// before it began is known.
func (f *freshness) confirm() {
	f.confirmed.Store(f.began.Load())
	f.coming.Store(false)
}

// age is how long ago the last read began that reached the topic's end; 0 before.
func (f *freshness) age() time.Duration {
	confirmed := f.confirmed.Load()
	if confirmed == 0 {
		return 0
	}
	return f.clock() - time.Duration(confirmed)
}

// outdated says whether a change may be unknown for longer than it may be while it could
// be known; crowded says that the own link is nearly full.
func (f *freshness) outdated(crowded bool) bool {
	return f.age() > f.within-readSpare && (crowded || f.coming.Load())
}
