package gateway

import (
	"testing"
	"time"
)

// A copy of a topic is outdated if it is too old and the reason is a response still on its
// way or a congested link, but not if the store is unreachable.
func TestWhenAFollowedTopicIsTooOld(t *testing.T) {
	const maxAge = 3 * time.Second
	for name, c := range map[string]struct {
		events func(f *freshness, now *time.Duration)
		link   linkUse
		want   bool
	}{
		"never read": {events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onReceive()
			*now += 2 * maxAge
		}},
		"current": {link: linkCongested, events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onReceive()
			f.onCaughtUp()
			*now += maxAge / 2
		}},
		"out of reach": {events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onCaughtUp()
			f.onReadStart()
			*now += 2 * maxAge
		}},
		"out of reach in the middle of an answer": {events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onCaughtUp()
			f.onReadStart()
			f.onReceive()
			*now += 2 * maxAge
			f.onReadFailure()
		}},
		"an answer on its way": {want: true, events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onCaughtUp()
			f.onReadStart()
			f.onReceive()
			*now += maxAge
		}},
		"behind after a whole answer": {want: true, events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onCaughtUp()
			f.onReadStart()
			f.onReceive()
			*now += maxAge
			f.onReadStart()
		}},
		"catching up after the store was out of reach": {events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onReceive()
			f.onCaughtUp()
			f.onReadStart()
			*now += 3 * maxAge
			f.onReadFailure()
			f.onReadStart()
			f.onReceive()
			*now += maxAge / 2
			f.onReceive()
		}},
		"not caught up long after the store was out of reach": {want: true, events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onReceive()
			f.onCaughtUp()
			f.onReadStart()
			*now += 3 * maxAge
			f.onReadFailure()
			f.onReadStart()
			for range 6 {
				f.onReceive()
				*now += maxAge / 6
			}
		}},
		"reads that fail while parts of answers come": {want: true, events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onReceive()
			f.onCaughtUp()
			for range 3 {
				f.onReadStart()
				*now += maxAge / 3
				f.onReceive()
				f.onReadFailure()
			}
			f.onReadStart()
			f.onReceive()
		}},
		"own link full": {link: linkFull, want: true, events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onCaughtUp()
			f.onReadStart()
			*now += maxAge
			f.onReadFailure()
		}},
		"own link congested, another topic's answers come": {link: linkCongested, want: true, events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onCaughtUp()
			f.onReadStart()
			*now += maxAge
			f.contact.receivedAt.Store(int64(*now - contactTimeout/2))
			f.onReadFailure()
		}},
		"own link congested, nothing comes from the store": {link: linkCongested, events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onReceive()
			f.onCaughtUp()
			f.onReadStart()
			*now += maxAge
			f.onReadFailure()
		}},
		"confirmed by an answer that came long": {want: true, events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			f.onReceive()
			*now += maxAge
			f.onReceive()
			f.onCaughtUp()
			f.onReadStart()
			f.onReceive()
		}},
		"confirmed by a read that waited long": {link: linkCongested, events: func(f *freshness, now *time.Duration) {
			f.onReadStart()
			*now += maxAge
			f.onReceive()
			f.onCaughtUp()
			f.onReadStart()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			f := newFreshness(maxAge, func() time.Duration { return now }, &storeContact{})
			c.events(f, &now)
			if got := f.isOutdated(c.link); got != c.want {
				t.Errorf("isOutdated returned %v at age %s, want %v", got, f.age(), c.want)
			}
		})
	}
}
