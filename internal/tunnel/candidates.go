package tunnel

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Candidate is another instance that may open tunnels for this one.
type Candidate struct {
	Name     string
	Zone     string // Availability zone.
	Address  string // IP:port of its peers' listener.
	LinkMbps float64
}

const (
	// initialPause and maxPause bound how long a candidate that could not help is left out.
	// The pause doubles with each time in a row.
	initialPause = 500 * time.Millisecond
	maxPause     = 8 * time.Second
	// defaultLinkMbps is assumed of an instance whose link's speed is unknown.
	defaultLinkMbps = 100
)

// Candidates chooses the instances to ask for tunnels. It does no I/O and has no clock:
// callers pass the time as a duration since a fixed origin. It is safe for concurrent use.
type Candidates struct {
	zone string // This instance's availability zone.

	mu   sync.Mutex // Guards the rest.
	rng  *rand.Rand
	list []*candidateState
}

// candidateState is a candidate with what is known of it.
type candidateState struct {
	Candidate
	open         int           // This instance's tunnels through it.
	pause        time.Duration // Length of the latest pause; 0 if it helped since.
	leftOutUntil time.Duration
}

// NewCandidates returns an empty list for an instance in the availability zone. The seed
// determines the choice between equals.
func NewCandidates(zone string, seed uint64) *Candidates {
	return &Candidates{zone: zone, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the list. What is known of a candidate whose entry stays the same is kept.
func (c *Candidates) Set(list []Candidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[Candidate]*candidateState, len(c.list))
	for _, s := range c.list {
		known[s.Candidate] = s
	}
	c.list = nil
	for _, candidate := range list {
		state := known[candidate]
		if state == nil {
			state = &candidateState{Candidate: candidate}
		}
		c.list = append(c.list, state)
	}
}

// IsEmpty reports whether there is no candidate at all.
func (c *Candidates) IsEmpty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.list) == 0
}

// Next returns the candidate to ask after those whose names are in asked: the first from the
// own availability zone, whose traffic stays there, the later ones from other zones, since
// the links of a whole zone may be lost together. The second result is false if none is left.
//
// Of two random candidates that one is chosen which has fewer tunnels for the speed of its
// link.
func (c *Candidates) Next(asked []string, now time.Duration) (Candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var own, other []*candidateState
	for _, s := range c.list {
		switch {
		case now < s.leftOutUntil || slices.Contains(asked, s.Name):
		case s.Zone == c.zone:
			own = append(own, s)
		default:
			other = append(other, s)
		}
	}
	preferred := own
	if len(own) == 0 || len(asked) > 0 && len(other) > 0 {
		preferred = other
	}
	if len(preferred) == 0 {
		return Candidate{}, false
	}
	first, second := preferred[c.rng.IntN(len(preferred))], preferred[c.rng.IntN(len(preferred))]
	if second.load() < first.load() {
		first = second
	}
	return first.Candidate, true
}

// load returns the number of tunnels through the candidate with one more, for the speed of
// its link.
func (s *candidateState) load() float64 {
	mbps := s.LinkMbps
	if mbps <= 0 {
		mbps = defaultLinkMbps
	}
	return float64(s.open+1) / mbps
}

// Opened records that a candidate has opened a tunnel.
func (c *Candidates) Opened(name string) {
	c.update(name, func(s *candidateState) {
		s.open++
		s.pause = 0
	})
}

// Closed records that a tunnel through a candidate was closed.
func (c *Candidates) Closed(name string) {
	c.update(name, func(s *candidateState) { s.open = max(0, s.open-1) })
}

// LeaveOut leaves a candidate out for a while: it can't help now, whatever the endpoint.
func (c *Candidates) LeaveOut(name string, now time.Duration) {
	c.update(name, func(s *candidateState) {
		if now < s.leftOutUntil {
			return
		}
		s.pause = min(max(2*s.pause, initialPause), maxPause)
		s.leftOutUntil = now + s.pause
	})
}

// update calls change with the candidate's state, if it is still listed.
func (c *Candidates) update(name string, change func(*candidateState)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.list {
		if s.Name == name {
			change(s)
		}
	}
}
