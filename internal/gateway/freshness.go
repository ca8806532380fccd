package gateway

import (
	"sync/atomic"
	"time"
)

// maxResponseDelay is how long a full link may hold the begin of an answer.
const maxResponseDelay = 500 * time.Millisecond

// freshness knows how current a followed topic is, and whether that is too old to act on.
// It is safe for concurrent use.
//
// A topic that can't be read because the store is out of reach is never too old: a zone
// that is cut off goes on from what it knows. An instance is behind where the answer is on
// its way, or where its own link is too full to carry one. Others then know more, and
// callers are better served there.
type freshness struct {
	maxAge time.Duration // After which a change has to be known.
	clock  func() time.Duration

	// Times are those of clock, in nanoseconds.
	readStartedAt      atomic.Int64 // When the last read began.
	responseStartedAt  atomic.Int64 // When its answer began to come; 0 before.
	confirmedAt        atomic.Int64 // When the last answer was made that reached the topic's end; 0 for none.
	responseInProgress atomic.Bool  // More is to be read, and the last read has not failed.
}

func newFreshness(maxAge time.Duration, clock func() time.Duration) *freshness {
	return &freshness{maxAge: maxAge, clock: clock}
}

// onReadStart is called before each read.
func (f *freshness) onReadStart() {
	f.responseStartedAt.Store(0)
	f.readStartedAt.Store(int64(f.clock()))
}

// onReceive is called when a part of an answer has come.
func (f *freshness) onReceive() {
	f.responseStartedAt.CompareAndSwap(0, int64(f.clock()))
	f.responseInProgress.Store(true)
}

// onReadFailure is called after a read that failed: the store may be out of reach.
func (f *freshness) onReadFailure() { f.responseInProgress.Store(false) }

// onCaughtUp is called after a read that reached the topic's end: every change that was
// acknowledged before the answer was made is known. A read may wait long for a change
// before that, and the answer may take long to come.
func (f *freshness) onCaughtUp() {
	sentAt := max(f.readStartedAt.Load(), f.responseStartedAt.Load()-int64(maxResponseDelay))
	f.confirmedAt.Store(sentAt)
	f.responseInProgress.Store(false)
}

// age is how long a change may have gone unseen; 0 before the first read.
func (f *freshness) age() time.Duration {
	confirmed := f.confirmedAt.Load()
	if confirmed == 0 {
		return 0
	}
	return f.clock() - time.Duration(confirmed)
}

// isOutdated says whether a change may have gone unseen for too long though the store is in
// reach; crowded says that the own link is nearly full.
func (f *freshness) isOutdated(linkCongested bool) bool {
	return f.age() > f.maxAge-readDeadlineMargin && (linkCongested || f.responseInProgress.Load())
}
