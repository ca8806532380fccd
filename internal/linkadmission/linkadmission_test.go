package linkadmission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"guavapier/internal/linkadmission"
	"guavapier/internal/linkload"
)

const (
	tick     = 10 * time.Millisecond
	linkMbps = 10
	// countedShare is the part of the link that counted bytes can take.
	countedShare = 0.95
	// requestBytes is the mean size of a request, and answerBytes that of its answer.
	requestBytes, answerBytes = 4000, 2000
)

// instance is an instance whose link carries its callers' requests and the answers to them in
// the order of their arrival; what it can't carry at once waits. A connection that is turned
// away brings no request.
type instance struct {
	controller *linkadmission.Controller
	zone       linkload.ZoneLinks
	rng        *rand.Rand
	now        time.Duration
	total      linkload.Counts
	waiting    float64       // Bytes that wait for the link.
	longest    time.Duration // The longest that bytes had to wait.
}

func newInstance(mbps float64, zone linkload.ZoneLinks) *instance {
	return &instance{controller: linkadmission.New(mbps), zone: zone, rng: rand.New(rand.NewPCG(1, 2))}
}

// play runs for this time. Callers send keptRate requests a second on connections that they
// have, and newRate on new ones. It returns the share of new connections that was turned away.
func (i *instance) play(d time.Duration, keptRate, newRate float64) float64 {
	const linkBytes = linkMbps * linkload.BytesPerMbit
	before := i.controller.Counts()
	for end := i.now + d; i.now < end; i.now += tick {
		carried := min(i.waiting, countedShare*linkBytes*tick.Seconds())
		i.waiting -= carried
		i.total.In += int64(carried)
		i.longest = max(i.longest, time.Duration(i.waiting/linkBytes*float64(time.Second)))
		i.waiting += float64(i.draw(keptRate)) * (requestBytes + answerBytes)
		for range i.draw(newRate) {
			if i.controller.AdmitConnection(i.zone, i.total, i.rng.Float64(), i.now) {
				i.waiting += requestBytes + answerBytes
			}
		}
	}
	after := i.controller.Counts()
	turnedAway := after.TurnedAway - before.TurnedAway
	return float64(turnedAway) / float64(max(1, turnedAway+after.Admitted-before.Admitted))
}

// draw returns the requests of one tick at this rate a second.
func (i *instance) draw(rate float64) int {
	n := rate * tick.Seconds()
	if i.rng.Float64() < n-float64(int(n)) {
		return int(n) + 1
	}
	return int(n)
}

// withRoom is a zone whose other instances are nearly idle.
var withRoom = linkload.ZoneLinks{Known: true, Mean: 0.2, Instances: 18}

// A large caller sends twice what the link carries. About half of its connections are turned
// away, no request waits long for the link, and the link is well used. If all were taken, they
// would wait over 5 s.
func TestALargeCallerIsTurnedAwayByWhatTheLinkCantCarry(t *testing.T) {
	i := newInstance(linkMbps, withRoom)
	share := i.play(10*time.Second, 40, 380)
	if share < 0.35 || share > 0.7 {
		t.Errorf("%.2f of the connections turned away, want 0.35 to 0.7", share)
	}
	if i.longest > 400*time.Millisecond {
		t.Errorf("bytes waited up to %s for the link, want at most 400 ms", i.longest)
	}
	if used := float64(i.total.In) / linkMbps / linkload.BytesPerMbit / i.now.Seconds(); used < 0.7 {
		t.Errorf("%.2f of the link was used, want at least 0.7: too many were turned away", used)
	}
	i.play(time.Second, 40, 60)
	if share := i.play(5*time.Second, 40, 60); share > 0 {
		t.Errorf("%.2f of the connections turned away after the overload, want none", share)
	}
}

// At half of the link's capacity, and with a burst of ten requests in one tick, every
// connection is taken.
func TestNobodyIsTurnedAwayWhereTheLinkHasRoom(t *testing.T) {
	i := newInstance(linkMbps, withRoom)
	share := i.play(10*time.Second, 40, 60)
	share += i.play(tick, 40, 10/tick.Seconds())
	if share += i.play(time.Second, 40, 60); share > 0 {
		t.Errorf("connections turned away, want none")
	}
}

// The share that is turned away in an overload depends on who else can serve the callers.
func TestFewAreTurnedAwayIfNobodyElseHasRoom(t *testing.T) {
	for name, c := range map[string]struct {
		zone linkload.ZoneLinks
		most float64
	}{
		"alone":            {linkload.ZoneLinks{Instances: 1}, 0},
		"all full":         {linkload.ZoneLinks{Known: true, Mean: 0.9, Instances: 18}, 0.3},
		"most shed":        {linkload.ZoneLinks{Known: true, Mean: 0.2, Instances: 18, Shedding: 9}, 0.3},
		"others not known": {linkload.ZoneLinks{Instances: 18}, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			if got := newInstance(linkMbps, c.zone).play(10*time.Second, 40, 1500); got > c.most+0.02 {
				t.Errorf("%.2f of the connections turned away, want at most %.2f", got, c.most)
			}
		})
	}
}

// An instance whose link's capacity is not known, or is a hundred times what callers send,
// takes every connection.
func TestNobodyIsTurnedAwayOnAFastOrUnknownLink(t *testing.T) {
	for _, mbps := range []float64{0, 1000} {
		if got := newInstance(mbps, withRoom).play(5*time.Second, 40, 380); got > 0 {
			t.Errorf("%.2f of the connections turned away at %g Mbit/s, want none", got, mbps)
		}
	}
}

// No connection is made for two seconds after an overload, in which the link becomes idle. The
// next one is taken.
func TestALinkThatBecameIdleUnnoticedTurnsNobodyAway(t *testing.T) {
	i := newInstance(linkMbps, withRoom)
	i.play(time.Second, 40, 380)
	for range 20 {
		i.play(tick, 0, 0)
		i.now += 100*time.Millisecond - tick
		i.controller.Sample(i.total, i.now)
	}
	if !i.controller.AdmitConnection(withRoom, i.total, 0, i.now) {
		t.Error("the connection was turned away, want it taken")
	}
}
