package linkload

import (
	"sync"
	"time"
)

const (
	// shedThreshold is the utilisation of the link above which shedding starts.
	// Traffic that is not counted (packet headers, calls to other instances and to
	// the store) takes up to a fifth of the link, and queues grow before it is full.
	shedThreshold = 0.65
	// clearThreshold is the utilisation at or below which shedding ends. A large caller that
	// comes back brings half a link within a second.
	clearThreshold = 0.4
	// congestedThreshold is the utilisation above which the instance takes on no work for
	// others.
	congestedThreshold = 0.5
	// keptLoad is the utilisation that callers may cause who are not asked to leave their
	// connections.
	keptLoad = 0.35
	// maxCloseShare is the largest share of answers that ask callers to leave. If all of a
	// large caller's connections came to the next instance at once, they would fill its link
	// before it notices.
	maxCloseShare = 0.2
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
	// maxShedDuration bounds a phase of shedding in which callers still come: if all
	// instances are equally loaded, they gain nothing by going elsewhere.
	maxShedDuration = 6 * time.Second
	// cooldownAfterTimeout is the minimum time from the end of such a phase to the next one.
	cooldownAfterTimeout = 12 * time.Second
	// outOfRotationRatio is the rate of new connections, relative to the one before a phase of
	// shedding, up to which the load balancer has found other instances for callers.
	outOfRotationRatio = 0.25
)

// Shedder decides when callers are sent to other instances because this instance's link
// is nearly full. The load balancer spreads callers unevenly, and a full link delays all
// traffic, including the instance's own calls. Shedder does no I/O and has no clock:
// callers pass the current time as a duration since a fixed origin. It is safe for
// concurrent use.
//
// The share of answers that ask callers to leave grows with the utilisation, so that those who
// stay fill no more than keptLoad.
type Shedder struct {
	bytesPerSecond float64          // Capacity of the link in each direction; 0 for unknown.
	zone           func() ZoneLinks // What is known of the zone's links.

	mu          sync.Mutex // Guards the fields below.
	samples     []sample   // Those within rateWindow and the last before it, oldest first.
	load        float64    // Utilisation of the busier direction; 1 is full.
	connections float64    // New connections per second within rateWindow.
	shedding    bool
	usualRate   float64       // New connections per second at the start of the latest phase.
	shedStart   time.Duration // Start of the latest phase of shedding.
	cooldownEnd time.Duration // Earliest start of the next phase of shedding.
}

// sample is a reading of the Meter.
type sample struct {
	at    time.Duration
	total Counts
}

// BytesPerMbit converts a link's capacity from Mbit/s to bytes per second.
const BytesPerMbit = 1e6 / 8

// NewShedder returns a Shedder for a link with this capacity in Mbit/s. 0 stands for an
// unknown capacity, with which the Shedder never sheds. zone returns what is known of the
// zone's links.
func NewShedder(linkMbps float64, zone func() ZoneLinks) *Shedder {
	return &Shedder{bytesPerSecond: linkMbps * BytesPerMbit, zone: zone}
}

// Sample updates the utilisation with a reading of the Meter, and reports whether shedding
// has started or ended.
func (s *Shedder) Sample(total Counts, now time.Duration) (changed bool) {
	zone := s.zone()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateLoad(total, now)
	switch {
	case s.bytesPerSecond <= 0:
		return false
	case s.shedding && s.load <= clearThreshold:
		s.shedding = false
	case s.shedding && now-s.shedStart >= maxShedDuration && !s.isRelieved(zone):
		s.shedding, s.cooldownEnd = false, now+cooldownAfterTimeout
	case !s.shedding && s.load > shedThreshold && now >= s.cooldownEnd && (!zone.Known || zone.HasRoom()):
		s.shedding, s.shedStart, s.usualRate = true, now, s.connections
	default:
		return false
	}
	return true
}

// isRelieved reports whether other instances take this one's callers: by what is known of their
// links, else by the connections that callers still make here.
func (s *Shedder) isRelieved(zone ZoneLinks) bool {
	if zone.Known {
		return zone.HasRoom()
	}
	return s.connections < outOfRotationRatio*s.usualRate
}

// updateLoad computes the load from the bytes that were transferred within rateWindow.
// Until the samples cover that time it stays 0.
func (s *Shedder) updateLoad(total Counts, now time.Duration) {
	s.samples = append(s.samples, sample{now, total})
	for len(s.samples) > 2 && now-s.samples[1].at >= rateWindow {
		s.samples = s.samples[1:]
	}
	oldest := s.samples[0]
	if elapsed := now - oldest.at; elapsed >= rateWindow && s.bytesPerSecond > 0 {
		transferred := max(total.In-oldest.total.In, total.Out-oldest.total.Out)
		s.load = float64(transferred) / elapsed.Seconds() / s.bytesPerSecond
		s.connections = float64(total.Connections-oldest.total.Connections) / elapsed.Seconds()
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
func (s *Shedder) IsCongested() bool { return s.Load() > congestedThreshold }

// IsFull reports whether the link can carry no more.
func (s *Shedder) IsFull() bool { return s.Load() >= fullThreshold }

// IsShedding reports whether the load balancer should send no new callers.
func (s *Shedder) IsShedding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedding
}

// CloseShare returns the share of answers that should ask callers to close their connections,
// which they then open again to another instance.
func (s *Shedder) CloseShare(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.shedding || now-s.shedStart < balancerReactionTime {
		return 0
	}
	return maxCloseShare * min(max((s.load-keptLoad)/(fullThreshold-keptLoad), 0), 1)
}
