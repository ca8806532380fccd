package linkload

import (
	"sync"
	"time"
)

const (
	// shedThreshold is the part of a link's speed above which callers are sent elsewhere.
	// What is not counted (headers of packets, calls to other instances and the store)
	// takes up to a fifth, and queues grow before a link is full.
	shedThreshold = 0.7
	// clearThreshold is the part below which they are taken again.
	clearThreshold = 0.5
	// rateWindow is the time over which the rate is taken: prompts come in bursts.
	rateWindow = time.Second
	// balancerReactionTime is how long it takes until a balancer that asks once a second sends
	// no new connections: answers that close connections before would bring the callers
	// back at once.
	balancerReactionTime = 2 * time.Second
	// maxShedDuration ends a shedding that did not clear the link: where all instances are
	// as full, callers gain nothing by going elsewhere.
	maxShedDuration = 6 * time.Second
	// cooldownAfterClear and restInVain are how long callers are taken again after one that
	// cleared the link, and after one that did not.
	cooldownAfterClear   = 2 * time.Second
	cooldownAfterTimeout = 12 * time.Second
)

// Shedder decides when callers are sent to other instances because the own link is
// nearly full: the balancer spreads callers unevenly, and on a full link nothing comes
// in time, the instance's own calls included. It does no input or output and has no
// clock. Times are since any one origin. It is safe for concurrent use.
type Shedder struct {
	bytesPerSecond float64 // Bytes that the link carries in one direction; 0 for unknown.

	mu          sync.Mutex
	samples     []sample // Of the last rateOver, the oldest first.
	load        float64
	shedding    bool
	shedStart   time.Duration // When the shedding began.
	cooldownEnd time.Duration // When it may begin again.
}

// sample is one reading of the Meter.
type sample struct {
	at    time.Duration
	total ByteCounts
}

// NewShedder returns a Shedder for a link of so many Mbit/s; 0 for unknown, which never
// sheds.
func NewShedder(linkMbps float64) *Shedder {
	const bytesPerMbit = 1e6 / 8
	return &Shedder{bytesPerSecond: linkMbps * bytesPerMbit}
}

// Sample takes a reading of the Meter and returns whether that began or ended the
// shedding.
func (s *Shedder) Sample(total ByteCounts, now time.Duration) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateLoad(total, now)
	switch {
	case s.bytesPerSecond <= 0:
		return false
	case s.shedding && s.load <= clearThreshold:
		s.shedding, s.cooldownEnd = false, now+cooldownAfterClear
	case s.shedding && now-s.shedStart >= maxShedDuration:
		s.shedding, s.cooldownEnd = false, now+cooldownAfterTimeout
	case !s.shedding && s.load > shedThreshold && now >= s.cooldownEnd:
		s.shedding, s.shedStart = true, now
	default:
		return false
	}
	return true
}

// updateLoad renews the load from what crossed the link in the last rateOver.
func (s *Shedder) updateLoad(total ByteCounts, now time.Duration) {
	s.samples = append(s.samples, sample{now, total})
	for len(s.samples) > 2 && now-s.samples[1].at >= rateWindow {
		s.samples = s.samples[1:]
	}
	oldest := s.samples[0]
	if elapsed := now - oldest.at; elapsed >= rateWindow && s.bytesPerSecond > 0 {
		transferred := max(total.In-oldest.total.In, total.Out-oldest.total.Out)
		s.load = float64(transferred) / elapsed.Seconds() / s.bytesPerSecond
	}
}

// Load returns the fuller direction's part of the link's speed.
func (s *Shedder) Load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

// IsCongested says whether the link is too full to take callers.
func (s *Shedder) IsCongested() bool { return s.Load() > clearThreshold }

// IsShedding says whether the balancer is told to send no new callers.
func (s *Shedder) IsShedding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedding
}

// ShouldCloseConnections says whether answers ask callers to leave their connections.
func (s *Shedder) ShouldCloseConnections(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedding && now-s.shedStart >= balancerReactionTime
}
