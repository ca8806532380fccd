package gateway

import (
	"sync/atomic"
	"time"
)

// longestDelay is how long a full link may hold the begin of an answer.
const longestDelay = 500 * time.Millisecond

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

	// Times are those of clock, in nanoseconds.
	began     atomic.Int64 // When the last read began.
	answered  atomic.Int64 // When its answer began to come; 0 before.
	confirmed atomic.Int64 // When the last answer was made that reached the topic's end; 0 for none.
	coming    atomic.Bool  // More is to be read, and the last read has not failed.
}

func newFreshness(within time.Duration, clock func() time.Duration) *freshness {
	return &freshness{within: within, clock: clock}
}

// begin is called before each read.
func (f *freshness) begin() {
	f.answered.Store(0)
	f.began.Store(int64(f.clock()))
}

// came is called when a part of an answer has come.
func (f *freshness) came() {
	f.answered.CompareAndSwap(0, int64(f.clock()))
	f.coming.Store(true)
}

// fail is called after a read that failed: the store may be out of reach.
func (f *freshness) fail() { f.coming.Store(false) }

// confirm is called after a read that reached the topic's end: every change that was
// acknowledged before the answer was made is known. A read may wait long for a change
// before that, and the answer may take long to come.
func (f *freshness) confirm() {
	made := max(f.began.Load(), f.answered.Load()-int64(longestDelay))
	f.confirmed.Store(made)
	f.coming.Store(false)
}

// age is how long a change may have gone unseen; 0 before the first read.
func (f *freshness) age() time.Duration {
	confirmed := f.confirmed.Load()
	if confirmed == 0 {
		return 0
	}
	return f.clock() - time.Duration(confirmed)
}

// outdated says whether a change may have gone unseen for too long though the store is in
// reach; crowded says that the own link is nearly full.
func (f *freshness) outdated(crowded bool) bool {
	return f.age() > f.within-readSpare && (crowded || f.coming.Load())
}
