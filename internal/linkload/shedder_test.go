package linkload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"guavapier/internal/linkload"
)

const sampleInterval = 250 * time.Millisecond

// simulatedZone is an availability zone of instances behind a load balancer. The balancer
// checks once a second whether they take callers, leaves out those that failed two checks
// in a row, and uses all if fewer than half remain. Callers keep their connections.
type simulatedZone struct {
	t         *testing.T
	rng       *rand.Rand
	linkMbps  float64
	instances []*simulatedInstance
	now       time.Duration
}

// simulatedInstance is an instance with the traffic of its callers.
type simulatedInstance struct {
	shedder      *linkload.Shedder
	total        linkload.Counts
	failedChecks int           // Consecutive failed health checks.
	callerMbps   float64       // Traffic that callers send on open connections, in Mbit/s.
	shedTime     time.Duration // Total time of shedding.
	fullTime     time.Duration // Total time with more than 90 % of the link in demand.
}

// newSimulatedZone returns a zone of n instances with links of this capacity in Mbit/s.
func newSimulatedZone(t *testing.T, n int, linkMbps float64) *simulatedZone {
	t.Helper()
	z := &simulatedZone{t: t, rng: rand.New(rand.NewPCG(1, 2)), linkMbps: linkMbps}
	for range n {
		z.instances = append(z.instances, &simulatedInstance{shedder: linkload.NewShedder(linkMbps, func() linkload.ZoneLinks { return linkload.ZoneLinks{Instances: max(n, 2)} })})
	}
	return z
}

// inRotation returns the instances to which the load balancer sends new connections.
func (z *simulatedZone) inRotation() []*simulatedInstance {
	var list []*simulatedInstance
	for _, i := range z.instances {
		if i.failedChecks < 2 {
			list = append(list, i)
		}
	}
	if 2*len(list) < len(z.instances) {
		return z.instances
	}
	return list
}

// advance simulates the zone for this time. Callers whose connections are closed connect
// to another instance.
func (z *simulatedZone) advance(d time.Duration) {
	for end := z.now + d; z.now < end; z.now += sampleInterval {
		if z.now%time.Second == 0 {
			z.runHealthChecks()
		}
		for _, i := range z.instances {
			z.sampleLink(i)
		}
	}
}

// runHealthChecks runs one check of the load balancer on each instance.
func (z *simulatedZone) runHealthChecks() {
	for _, i := range z.instances {
		i.failedChecks++
		if !i.shedder.IsShedding() {
			i.failedChecks = 0
		}
	}
}

// sampleLink transfers an instance's traffic of one sampleInterval and samples its link.
func (z *simulatedZone) sampleLink(i *simulatedInstance) {
	const bytesPerMbit = 1e6 / 8
	carried := min(i.callerMbps, z.linkMbps)
	i.total.In += int64(carried * bytesPerMbit * sampleInterval.Seconds())
	i.shedder.Sample(i.total, z.now)
	if i.shedder.IsShedding() {
		i.shedTime += sampleInterval
	}
	if i.callerMbps > 0.9*z.linkMbps {
		i.fullTime += sampleInterval
	}
	if share := i.shedder.CloseShare(z.now); share > 0 {
		z.moveCallersFrom(i, share)
	}
}

// moveCallersFrom moves an instance's traffic to instances in rotation, in 16 parts that choose
// at random: a quarter if all answers ask callers to leave, and less if only this share does.
func (z *simulatedZone) moveCallersFrom(i *simulatedInstance, share float64) {
	const parts = 16
	leaving := share * i.callerMbps / 4
	i.callerMbps -= leaving
	targets := z.inRotation()
	for range parts {
		targets[z.rng.IntN(len(targets))].callerMbps += leaving / parts
	}
}

// One instance of ten has 95 % of its link in use, the others 10 %. After 8 s no link is
// above the threshold, and it stays so.
func TestAFullLinkIsCleared(t *testing.T) {
	z := newSimulatedZone(t, 10, 10)
	for _, i := range z.instances {
		i.callerMbps = 1
	}
	z.instances[0].callerMbps = 9.5
	z.advance(8 * time.Second)
	for n, i := range z.instances {
		if i.shedder.Load() > 0.7 {
			t.Errorf("the link utilisation of instance %d is %.2f after 8 s, want at most 0.7", n, i.shedder.Load())
		}
		i.fullTime = 0
	}
	z.advance(time.Minute)
	for n, i := range z.instances {
		if i.fullTime > 0 || i.shedder.IsShedding() {
			t.Errorf("the link of instance %d was full for %s of the next minute or is still shedding", n, i.fullTime)
		}
	}
}

// If the links of all instances are equally full, moving callers between them gains
// nothing. Instances shed for at most 40 % of the time.
func TestEquallyFullLinksSeldomShed(t *testing.T) {
	z := newSimulatedZone(t, 10, 10)
	for _, i := range z.instances {
		i.callerMbps = 9.5
	}
	const simulatedTime = 2 * time.Minute
	z.advance(simulatedTime)
	for n, i := range z.instances {
		if i.shedTime > simulatedTime*4/10 {
			t.Errorf("instance %d was shedding for %s of %s, want at most 40 %%", n, i.shedTime, simulatedTime)
		}
	}
}

func TestNoSheddingBelowTheThresholdOrAtUnknownSpeed(t *testing.T) {
	for name, c := range map[string]struct {
		linkMbps, callerMbps float64
	}{
		"half full":     {10, 6},
		"fast link":     {1000, 200},
		"unknown speed": {0, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			z := newSimulatedZone(t, 1, c.linkMbps)
			z.instances[0].callerMbps = c.callerMbps
			z.linkMbps = max(c.linkMbps, c.callerMbps)
			z.advance(time.Minute)
			if z.instances[0].shedTime > 0 {
				t.Errorf("the instance was shedding for %s of a minute, want never", z.instances[0].shedTime)
			}
		})
	}
}

// A prompt that fills the link for 250 ms every three seconds causes no shedding.
func TestABurstIsNoFullLink(t *testing.T) {
	z := newSimulatedZone(t, 1, 10)
	for second := range 60 {
		z.instances[0].callerMbps = 2
		if second%3 == 0 {
			z.instances[0].callerMbps = 10
		}
		z.advance(sampleInterval)
		z.instances[0].callerMbps = 2
		z.advance(time.Second - sampleInterval)
	}
	if z.instances[0].shedTime > 0 {
		t.Errorf("the instance was shedding for %s, want never", z.instances[0].shedTime)
	}
}

// A link stays full after the load balancer has left the instance out, because what callers have
// sent still waits for it. As long as they make few new connections, shedding goes on; if they
// come on as before, the other instances are as full, and it ends after 6 s.
func TestSheddingGoesOnWhileCallersGoElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		connectionsLater int64 // New connections a second once the balancer has reacted.
		wantShedding     bool
	}{
		"callers go elsewhere": {5, true},
		"callers still come":   {90, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := linkload.NewShedder(10, func() linkload.ZoneLinks { return linkload.ZoneLinks{Instances: 10} })
			var total linkload.Counts
			for now := time.Duration(0); now < 10*time.Second; now += sampleInterval {
				connections := int64(100)
				if now >= 3*time.Second {
					connections = c.connectionsLater
				}
				total.In += int64(0.95 * 10 * linkload.BytesPerMbit * sampleInterval.Seconds())
				total.Connections += connections / 4
				s.Sample(total, now)
			}
			if got := s.IsShedding(); got != c.wantShedding {
				t.Errorf("after 10 s of a full link: shedding %t, want %t", got, c.wantShedding)
			}
		})
	}
}

// Callers aren't sent away if the zone is known to be full, nor if half of it sheds: the load
// balancer would use all instances then. An instance that sheds ends that when it becomes known.
func TestNoSheddingInAFullZone(t *testing.T) {
	for name, full := range map[string]linkload.ZoneLinks{
		"all full":   {Known: true, Mean: 0.8, Instances: 10},
		"half sheds": {Known: true, Mean: 0.3, Instances: 10, Shedding: 4},
	} {
		t.Run(name, func(t *testing.T) {
			zone := full
			s := linkload.NewShedder(10, func() linkload.ZoneLinks { return zone })
			var total linkload.Counts
			now := time.Duration(0)
			play := func(d time.Duration) {
				for end := now + d; now < end; now += sampleInterval {
					total.In += int64(0.95 * 10 * linkload.BytesPerMbit * sampleInterval.Seconds())
					s.Sample(total, now)
				}
			}
			play(5 * time.Second)
			if s.IsShedding() {
				t.Error("sheds, want not: nobody has room")
			}
			zone = linkload.ZoneLinks{Known: true, Mean: 0.2, Instances: 10}
			play(2 * time.Second)
			if !s.IsShedding() {
				t.Error("does not shed once others have room")
			}
			zone = full
			play(6 * time.Second)
			if s.IsShedding() {
				t.Error("sheds 6 s after the others have become full")
			}
		})
	}
}

// The share of callers who are asked to leave grows with the load, from none at 35 % of the
// link, and nobody is asked before the load balancer sends callers elsewhere.
func TestMoreCallersAreAskedToLeaveAFullerLink(t *testing.T) {
	shareAt := func(mbps float64, d time.Duration) float64 {
		s := linkload.NewShedder(10, func() linkload.ZoneLinks { return linkload.ZoneLinks{Instances: 10} })
		var total linkload.Counts
		for now := time.Duration(0); now <= d; now += sampleInterval {
			total.In += int64(mbps * linkload.BytesPerMbit * sampleInterval.Seconds())
			s.Sample(total, now)
		}
		return s.CloseShare(d)
	}
	if early := shareAt(9.5, 2*time.Second); early > 0 {
		t.Errorf("%.2f of the callers are asked to leave 1 s after the start of shedding, want none", early)
	}
	half, all := shareAt(7, 4*time.Second), shareAt(9.5, 4*time.Second)
	if half < 0.05 || half >= all || all > 0.25 {
		t.Errorf("%.2f and %.2f of the callers are asked to leave at 70 and 95 %% of the link, want at least 0.05, and more at the fuller one, up to 0.25", half, all)
	}
}
