// Package linkadmission decides which callers' connections an instance takes while its network
// link is nearly full. A connection that it does not take is closed before anything is read
// from it, so that its caller knows that no request has run, and is served by another instance.
package linkadmission

import (
	"sync"
	"time"

	"guavapier/internal/linkload"
)

const (
	// startThreshold is the utilisation of the link above which connections are turned away,
	// and fullThreshold that at which all are. Queues on the link grow before it is full,
	// because requests arrive in bursts, and a part of it is taken by traffic that is not
	// counted.
	startThreshold, fullThreshold = 0.8, 0.9
	// rateWindow is the time over which the utilisation is averaged. A queue that grows for
	// longer delays answers by more than the tightest latency targets, of 150 ms.
	rateWindow = 200 * time.Millisecond
	// minSampleInterval bounds the number of readings that are kept.
	minSampleInterval = 20 * time.Millisecond
	// maxBlindShare is the largest share that is turned away if nothing is known of the zone's
	// other instances, and maxFullZoneShare if they are full: a caller that is turned away
	// there too seldom tries a third time.
	maxBlindShare, maxFullZoneShare = 0.8, 0.3
)

// Counts are numbers of decisions on connections since the start.
type Counts struct {
	Admitted   int64 `json:"admitted"`
	TurnedAway int64 `json:"turned_away"`
}

// Controller decides on connections by the link's utilisation: the share that it turns away
// grows with it. It does no I/O and has no clock, and is safe for concurrent use.
//
// The load that it answers: the balancer sends a caller's connections all to one instance. When
// an organisation sends three times as much as usual, that instance gets twice what its link of
// 10 Mbit/s carries, while the others of its zone use a fifth of theirs. Requests then wait
// seconds for the link, and callers give up. Bodies of requests are most of what is received, so
// that it is too late to refuse a request once it is read.
type Controller struct {
	bytesPerSecond float64 // Capacity of the link in each direction; 0 for unknown.

	mu      sync.Mutex
	samples []sample // Those within rateWindow and the last before it, oldest first.
	load    float64  // Utilisation of the busier direction.
	counts  Counts
}

// sample is a reading of the link's meter.
type sample struct {
	at    time.Duration
	total linkload.Counts
}

// New returns a Controller for a link with this capacity in Mbit/s. 0 stands for an unknown
// capacity, with which every connection is admitted.
func New(linkMbps float64) *Controller {
	return &Controller{bytesPerSecond: linkMbps * linkload.BytesPerMbit}
}

// Sample updates the utilisation with a reading of the link's meter at now. It is to be called
// periodically, since connections may be seldom.
func (c *Controller) Sample(total linkload.Counts, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLoad(total, now)
}

// AdmitConnection reports whether a connection is to be taken. total is a reading of the link's
// meter at now, and draw is a random number from 0 to 1.
func (c *Controller) AdmitConnection(zone linkload.ZoneLinks, total linkload.Counts, draw float64, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLoad(total, now)
	if draw < c.share(zone) {
		c.counts.TurnedAway++
		return false
	}
	c.counts.Admitted++
	return true
}

// share returns the share of connections to turn away, from 0 to 1.
func (c *Controller) share(zone linkload.ZoneLinks) float64 {
	share := min(max((c.load-startThreshold)/(fullThreshold-startThreshold), 0), 1)
	switch {
	case zone.Instances <= 1:
		return 0 // No other instance would serve them.
	case !zone.Known:
		return min(share, maxBlindShare)
	case !zone.HasRoom():
		return min(share, maxFullZoneShare)
	}
	return share
}

// updateLoad computes the utilisation over rateWindow. Until the samples cover that time it
// stays 0.
func (c *Controller) updateLoad(total linkload.Counts, now time.Duration) {
	if c.bytesPerSecond <= 0 {
		return
	}
	if n := len(c.samples); n > 0 && now-c.samples[n-1].at < minSampleInterval {
		return
	}
	c.samples = append(c.samples, sample{now, total})
	for len(c.samples) > 2 && now-c.samples[1].at >= rateWindow {
		c.samples = c.samples[1:]
	}
	oldest := c.samples[0]
	if elapsed := now - oldest.at; elapsed >= rateWindow {
		transferred := max(total.In-oldest.total.In, total.Out-oldest.total.Out)
		c.load = float64(transferred) / elapsed.Seconds() / c.bytesPerSecond
	}
}

// Counts returns the numbers of decisions.
func (c *Controller) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}
