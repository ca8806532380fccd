package linkload

import (
	"sync"
	"time"
)

const (
	// shedThreshold is the utilisation of the link above which shedding starts.
	// Traffic that is not counted (packet headers, calls to other instances and to
	// the store) takes up to a fifth of the link, and queues grow before it is full.
	shedThreshold = 0.7
	// clearThreshold is the utilisation at or below which shedding ends.
	clearThreshold = 0.5
	// fullThreshold is the counted utilisation at which the link is full, with the
	// traffic that is not counted.
	fullThreshold = 0.8
	// rateWindow is the time over which the utilisation is averaged, because prompts
	// arrive in bursts.
	rateWindow = time.Second
	// balancerReactionTime is how long a load balancer that checks once a second takes
	// to stop sending new connections. Callers whose connections are closed before that
	// would be sent back at once.
	balancerReactionTime = 2 * time.Second
	// maxShedDuration bounds a phase of shedding that does not clear the link: if all
	// instances are equally loaded, callers gain nothing by going elsewhere.
	maxShedDuration = 6 * time.Second
	// cooldownAfterClear is the minimum time from the end of a phase of shedding that
	// cleared the link to the next one, cooldownAfterTimeout after one that did not.
	cooldownAfterClear   = 2 * time.Second
	cooldownAfterTimeout = 12 * time.Second
)

// Shedder decides when callers are sent to other instances because this instance's link
// is nearly full. The load balancer spreads callers unevenly, and a full link delays all
// traffic, including the instance's own calls. Shedder does no I/O and has no clock:
// callers pass the current time as a duration since a fixed origin. It is safe for
// concurrent use.
type Shedder struct {
	bytesPerSecond float64 // Capacity of the link in each direction; 0 for unknown.

	mu          sync.Mutex // Guards the fields below.
	samples     []sample   // Those within rateWindow and the last before it, oldest first.
	load        float64    // Utilisation of the busier direction; 1 is full.
	shedding    bool
	shedStart   time.Duration // Start of the latest phase of shedding.
	cooldownEnd time.Duration // Earliest start of the next phase of shedding.
}

// sample is a reading of the Meter.
type sample struct {
	at    time.Duration
	total ByteCounts
}

// NewShedder returns a Shedder for a link with this capacity in Mbit/s. 0 stands for an
// unknown capacity, with which the Shedder never sheds.
func NewShedder(linkMbps float64) *Shedder {
	const bytesPerMbit = 1e6 / 8
	return &Shedder{bytesPerSecond: linkMbps * bytesPerMbit}
}

// Sample updates the utilisation with a reading of the Meter, and reports whether shedding
// has started or ended.
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

// updateLoad computes the load from the bytes that were transferred within rateWindow.
// Until the samples cover that time it stays 0.
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

// Load returns the utilisation of the busier direction, as a share of the link's capacity;
// 0 if that is unknown.
func (s *Shedder) Load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

// IsCongested reports whether the utilisation is too high to take on more callers.
func (s *Shedder) IsCongested() bool { return s.Load() > clearThreshold }

// IsFull reports whether the link can carry no more.
func (s *Shedder) IsFull() bool { return s.Load() >= fullThreshold }

// IsShedding reports whether the load balancer should send no new callers.
func (s *Shedder) IsShedding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedding
}

// ShouldCloseConnections reports whether answers should ask callers to close their
// connections, which they then open again to another instance.
func (s *Shedder) ShouldCloseConnections(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedding && now-s.shedStart >= balancerReactionTime
}
