package linkload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"guavapier/internal/linkload"
)

const sampleInterval = 250 * time.Millisecond

// simulatedZone is a simulatedZone's instances behind a balancer that asks once a second whether they
// take callers, leaves out those that did not twice in a row, and uses all where fewer
// than half are left. Callers keep their connections.
type simulatedZone struct {
	t         *testing.T
	rng       *rand.Rand
	linkMbps  float64
	instances []*simulatedInstance
	now       time.Duration
}

type simulatedInstance struct {
	shedder      *linkload.Shedder
	total        linkload.ByteCounts
	failedChecks int     // Questions in a row without a yes.
	callerMbps   float64 // Mbit/s that callers with kept connections send.
	shedTime     time.Duration
	fullTime     time.Duration
}

func newSimulatedZone(t *testing.T, n int, linkMbps float64) *simulatedZone {
	t.Helper()
	z := &simulatedZone{t: t, rng: rand.New(rand.NewPCG(1, 2)), linkMbps: linkMbps}
	for range n {
		z.instances = append(z.instances, &simulatedInstance{shedder: linkload.NewShedder(linkMbps)})
	}
	return z
}

// inRotation lists the instances that get new connections.
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

// advance lets time pass. Callers that are sent away choose another instance.
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

func (z *simulatedZone) runHealthChecks() {
	for _, i := range z.instances {
		i.failedChecks++
		if !i.shedder.IsShedding() {
			i.failedChecks = 0
		}
	}
}

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
	if i.shedder.ShouldCloseConnections(z.now) {
		z.moveCallersFrom(i)
	}
}

// moveCallersFrom moves a quarter of an instance's callers, in small parts.
func (z *simulatedZone) moveCallersFrom(i *simulatedInstance) {
	const parts = 16
	leaving := i.callerMbps / 4
	i.callerMbps -= leaving
	targets := z.inRotation()
	for range parts {
		targets[z.rng.IntN(len(targets))].callerMbps += leaving / parts
	}
}

// One instance of ten has nine tenths of its link full, the others a tenth: after some
// seconds none is full, and stays so.
func TestAFullLinkIsCleared(t *testing.T) {
	z := newSimulatedZone(t, 10, 10)
	for _, i := range z.instances {
		i.callerMbps = 1
	}
	z.instances[0].callerMbps = 9.5
	z.advance(8 * time.Second)
	for n, i := range z.instances {
		if i.shedder.Load() > 0.7 {
			t.Errorf("instance %d has %.2f of its link full", n, i.shedder.Load())
		}
		i.fullTime = 0
	}
	z.advance(time.Minute)
	for n, i := range z.instances {
		if i.fullTime > 0 || i.shedder.IsShedding() {
			t.Errorf("instance %d full for %s later", n, i.fullTime)
		}
	}
}

// Where all are as full, sending callers around gains nothing: most of the time nobody
// is sent away.
func TestAFullFleetSeldomSheds(t *testing.T) {
	z := newSimulatedZone(t, 10, 10)
	for _, i := range z.instances {
		i.callerMbps = 9.5
	}
	const simulatedTime = 2 * time.Minute
	z.advance(simulatedTime)
	for n, i := range z.instances {
		if i.shedTime > simulatedTime*4/10 {
			t.Errorf("instance %d shed for %s of %s", n, i.shedTime, simulatedTime)
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
				t.Errorf("shed for %s", z.instances[0].shedTime)
			}
		})
	}
}

// A prompt that fills the link for a moment sends nobody away.
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
		t.Errorf("shed for %s", z.instances[0].shedTime)
	}
}
