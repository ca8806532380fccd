package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// maxResponseDelay is how long a congested link may delay the first byte of a response.
	maxResponseDelay = 500 * time.Millisecond
	// contactTimeout is how long nothing comes from the store, on any followed topic, if it is
	// out of reach. A response without news comes within a second, and a link with room left
	// delays none by more than maxResponseDelay.
	contactTimeout = 2 * time.Second
)

// storeContact tracks when something was received from the store. It is safe for concurrent
// use.
type storeContact struct {
	// Readings of the clock, in nanoseconds.
	receivedAt atomic.Int64 // When something was last received.
	regainedAt atomic.Int64 // When something was received after the store was out of reach.
	readFailed atomic.Bool  // A read has failed since receivedAt.
}

// onReceive is called whenever a part of a response has arrived, on any followed topic.
func (c *storeContact) onReceive(now time.Duration) {
	failed := c.readFailed.Swap(false)
	last := time.Duration(c.receivedAt.Swap(int64(now)))
	if failed && now-last >= contactTimeout {
		c.regainedAt.Store(int64(now))
	}
}

// isRecent reports whether something was received within contactTimeout.
func (c *storeContact) isRecent(now time.Duration) bool {
	return now-time.Duration(c.receivedAt.Load()) < contactTimeout
}

// linkUse is how much of the instance's own network link is in use.
type linkUse uint8

const (
	linkFree linkUse = iota
	// linkCongested: too much to take on more callers.
	linkCongested
	// linkFull: nothing may come through in time.
	linkFull
)

// freshness tracks how current the local copy of a followed topic is, and reports whether
// it is too old to serve callers from. It is safe for concurrent use.
//
// A copy is never outdated because the store is unreachable: a zone that is partitioned
// from the store keeps serving from its last copy. It is outdated if a response is still
// being received, or if the instance's own link is too congested to carry one. Other
// instances then have a newer copy, and callers are better served there. If the link has
// room left and nothing comes from the store at all, the store is out of reach.
//
// Once the store is back, the copy has as long to catch up as a change may take: all
// instances may have lost the store together, and none is ahead of the others.
type freshness struct {
	maxAge  time.Duration // Time within which a change must be known here.
	clock   func() time.Duration
	contact *storeContact // Shared by the followed topics.

	// Readings of clock, in nanoseconds.
	readStartedAt      atomic.Int64 // Start of the last read.
	responseStartedAt  atomic.Int64 // First byte of its response; 0 before that.
	confirmedAt        atomic.Int64 // When the last response that reached the topic's end was sent; 0 for none.
	caughtUpReadAt     atomic.Int64 // Start of the last read that reached the topic's end.
	responseInProgress atomic.Bool  // Set by the first byte; cleared at the topic's end or by a failed read.
}

// newFreshness returns the state of a topic that has not been read. Its changes must be
// known within maxAge.
func newFreshness(maxAge time.Duration, clock func() time.Duration, contact *storeContact) *freshness {
	return &freshness{maxAge: maxAge, clock: clock, contact: contact}
}

// onReadStart is called before each read.
func (f *freshness) onReadStart() {
	f.responseStartedAt.Store(0)
	f.readStartedAt.Store(int64(f.clock()))
}

// onReceive is called whenever a part of a response has arrived.
func (f *freshness) onReceive() {
	now := int64(f.clock())
	f.contact.onReceive(time.Duration(now))
	f.responseStartedAt.CompareAndSwap(0, now)
	f.responseInProgress.Store(true)
}

// onReadFailure is called after a read that failed: the store may be unreachable.
func (f *freshness) onReadFailure() {
	f.contact.readFailed.Store(true)
	f.responseInProgress.Store(false)
}

// onCaughtUp is called after a read that reached the topic's end: every change acknowledged
// before the store sent the response is now known. The time of sending is estimated from
// the first byte, since a read may wait long for a change before, and the rest of the
// response may take long to arrive after.
func (f *freshness) onCaughtUp() {
	sentAt := max(f.readStartedAt.Load(), f.responseStartedAt.Load()-int64(maxResponseDelay))
	f.confirmedAt.Store(sentAt)
	f.caughtUpReadAt.Store(f.readStartedAt.Load())
	f.responseInProgress.Store(false)
}

// age returns for how long a change may have gone unseen; 0 until a read has reached the
// topic's end.
func (f *freshness) age() time.Duration {
	confirmed := f.confirmedAt.Load()
	if confirmed == 0 {
		return 0
	}
	return f.clock() - time.Duration(confirmed)
}

// maxUnseen returns for how long a change may have gone unseen at the most. Unlike age it takes no response for young that
// may have waited to be read, as after a pause of the process.
func (f *freshness) maxUnseen() time.Duration {
	return f.clock() - time.Duration(f.caughtUpReadAt.Load())
}

// isOutdated reports whether a change may have gone unseen for too long although the store
// is reachable.
func (f *freshness) isOutdated(link linkUse) bool {
	sinceRegained := f.clock() - time.Duration(f.contact.regainedAt.Load())
	if min(f.age(), sinceRegained) <= f.maxAge-readDeadlineMargin {
		return false
	}
	delayed := link == linkFull || link == linkCongested && f.contact.isRecent(f.clock())
	return delayed || f.responseInProgress.Load()
}
