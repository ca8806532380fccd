package linkload

import (
	"sync"
	"time"
)

const (
	// fullShare is the part of a link's speed above which callers are sent elsewhere.
	// What is not counted (headers of packets, calls to other instances and the store)
	// takes up to a fifth, and queues grow before a link is full.
	fullShare = 0.7
	// clearShare is the part below which they are taken again.
	clearShare = 0.5
	// rateOver is the time over which the rate is taken: prompts come in bursts.
	rateOver = time.Second
	// outOfRotation is how long it takes until a balancer that asks once a second sends
	// no new connections: answers that close connections before would bring the callers
	// back at once.
	outOfRotation = 2 * time.Second
	// longestShed ends a shedding that did not clear the link: where all instances are
	// as full, callers gain nothing by going elsewhere.
	longestShed = 6 * time.Second
	// restCleared and restInVain are how long callers are taken again after one that
	// cleared the link, and after one that did not.
	restCleared = 2 * time.Second
	restInVain  = 12 * time.Second
)

// Shedder decides when callers are sent to other instances because the own link is
// nearly full: the balancer spreads callers unevenly, and on a full link nothing comes
// in time, the instance's own calls included. It does no input or output and has no
// clock. Times are since any one origin. It is safe for concurrent use.
type Shedder struct {
	perSecond float64 // Bytes that the link carries in one direction; 0 for unknown.

	mu       sync.Mutex
	looks    []look // Of the last rateOver, the oldest first.
	load     float64
	shedding bool
	since    time.Duration // When the shedding began.
	notUntil time.Duration // When it may begin again.
}

// look is one reading of the Meter.
type look struct {
	at    time.Duration
	total Bytes
}

// NewShedder returns a Shedder for a link of so many Mbit/s; 0 for unknown, which never
// sheds.
func NewShedder(linkMbps float64) *Shedder {
	const bytesPerMbit = 1e6 / 8
	return &Shedder{perSecond: linkMbps * bytesPerMbit}
}

// Look takes a reading of the Meter and returns whether that began or ended the
// shedding.
func (s *Shedder) Look(total Bytes, now time.Duration) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate(total, now)
	switch {
	case s.perSecond <= 0:
		return false
	case s.shedding && s.load <= clearShare:
		s.shedding, s.notUntil = false, now+restCleared
	case s.shedding && now-s.since >= longestShed:
		s.shedding, s.notUntil = false, now+restInVain
	case !s.shedding && s.load > fullShare && now >= s.notUntil:
		s.shedding, s.since = true, now
	default:
		return false
	}
	return true
}

// rate renews the load from what crossed the link in the last rateOver.
func (s *Shedder) rate(total Bytes, now time.Duration) {
	s.looks = append(s.looks, look{now, total})
	for len(s.looks) > 2 && now-s.looks[1].at >= rateOver {
		s.looks = s.looks[1:]
	}
	first := s.looks[0]
	if took := now - first.at; took >= rateOver && s.perSecond > 0 {
		crossed := max(total.In-first.total.In, total.Out-first.total.Out)
		s.load = float64(crossed) / took.Seconds() / s.perSecond
	}
}

// Load returns the fuller direction's part of the link's speed.
func (s *Shedder) Load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

// Crowded says whether the link is too full to take callers.
func (s *Shedder) Crowded() bool { return s.Load() > clearShare }

// Sheds says whether the balancer is told to send no new callers.
func (s *Shedder) Sheds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedding
}

// SendsAway says whether answers ask callers to leave their connections.
func (s *Shedder) SendsAway(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedding && now-s.since >= outOfRotation
}
