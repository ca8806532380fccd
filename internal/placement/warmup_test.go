package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"guavapier/internal/discovery"
	"guavapier/internal/placement"
)

const (
	// maxColdRequests is the bound of requests to a cold endpoint in any second, of which the
	// endpoint bears 9.5 for good. coldTime is how long it is cold.
	maxColdRequests = 9.5*1.5 + 5
	coldTime        = 3 * time.Second
	// minColdUse is the part of maxColdRequests that must be used while callers wait.
	minColdUse = 0.7
	// tick is the step of the simulated clock.
	tick = 10 * time.Millisecond
)

// coldFleet simulates instances that place requests on one endpoint that turns cold, and that
// each learn of it at another moment. Callers wait at each of them.
type coldFleet struct {
	rng       *rand.Rand
	instances []*coldInstance
	now       time.Duration
	arrivals  []time.Duration // Of requests at the endpoint.
}

// coldInstance is one instance across its restarts.
type coldInstance struct {
	name  string
	names []string // The instances that it knows.
	table *placement.Table
	lag   time.Duration // From an entry's publication until it is read.
	down  bool
	sends []coldSend
}

// coldSend is a request that was placed and waits for its connection.
type coldSend struct {
	at         time.Duration
	assignment *placement.Assignment
}

func newColdFleet(seed uint64, n int) *coldFleet {
	f := &coldFleet{rng: rand.New(rand.NewPCG(seed, 0)), now: time.Minute}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("instance-%d", i))
	}
	for _, name := range names {
		i := &coldInstance{name: name, names: names, lag: time.Duration(f.rng.Int64N(int64(400 * time.Millisecond)))}
		f.instances = append(f.instances, i)
		i.start(0)
	}
	return f
}

// start begins a new process of the instance, which knows the others at once.
func (i *coldInstance) start(now time.Duration) {
	i.table, i.down, i.sends = placement.New(1, now), false, nil
	i.table.SetWarmUps(map[string]placement.WarmUp{"s": {Duration: coldTime, MaxPerSecond: maxColdRequests}})
	i.table.SetInstances(i.name, i.names)
}

// put lets the instance read an entry of the endpoint.
func (i *coldInstance) put(warming, now time.Duration) {
	i.table.Put(discovery.Endpoint{ID: "e", Service: "s", Zone: "z", Warming: warming}, now)
}

// step places one request at each instance that can, if callers wait there, and sends those
// whose connection is made.
func (f *coldFleet) step(waiting func(i *coldInstance) bool) {
	f.now += tick
	for _, i := range f.instances {
		if i.down {
			continue
		}
		if waiting(i) {
			if a := i.table.Place(placement.Query{Service: "s", Zone: "z"}, f.now); a != nil {
				dial := time.Duration(f.rng.Int64N(int64(5 * time.Millisecond)))
				if f.rng.IntN(10) == 0 {
					dial = time.Duration(f.rng.Int64N(int64(300 * time.Millisecond)))
				}
				i.sends = append(i.sends, coldSend{f.now + dial, a})
			}
		}
		i.sends = slices.DeleteFunc(i.sends, func(s coldSend) bool {
			if s.at > f.now {
				return false
			}
			s.assignment.OnSend(f.now)
			s.assignment.Done(placement.Answered, f.now)
			f.arrivals = append(f.arrivals, f.now)
			return true
		})
	}
}

// mostInASecond returns the largest number of arrivals in any second from a time on.
func (f *coldFleet) mostInASecond(from time.Duration) (most int) {
	var window []time.Duration
	for _, at := range f.arrivals {
		if at < from {
			continue
		}
		window = append(window, at)
		window = slices.DeleteFunc(window, func(earlier time.Duration) bool { return earlier <= at-time.Second })
		most = max(most, len(window))
	}
	return most
}

// countBetween returns the number of arrivals in a time span.
func (f *coldFleet) countBetween(from, until time.Duration) (n int) {
	for _, at := range f.arrivals {
		if at >= from && at < until {
			n++
		}
	}
	return n
}

// everybody lets callers wait at all instances.
func everybody(*coldInstance) bool { return true }

// coldFleetSizes are the sizes of fleet for which a cold endpoint's bound is shown.
var coldFleetSizes = []int{1, 3, 8, 15, 16, 19, 20, 59, 300, 413}

// A new endpoint is cold. The instances read its entry at different moments.
func TestANewEndpointGetsItsShareWhileItIsCold(t *testing.T) {
	for _, n := range coldFleetSizes {
		for seed := range uint64(3) {
			f := newColdFleet(seed, n)
			const coldTime = 10 * time.Second
			born := f.now
			known := map[*coldInstance]bool{}
			for f.now < born+coldTime+time.Second {
				for _, i := range f.instances {
					if !known[i] && f.now >= born+i.lag {
						known[i] = true
						i.put(coldTime-(f.now-born), f.now)
					}
				}
				f.step(everybody)
			}
			if most := f.mostInASecondUntil(born + coldTime); float64(most) > maxColdRequests {
				t.Errorf("%d instances, seed %d: %d requests in a second while the endpoint was cold, allowed are %g", n, seed, most, maxColdRequests)
			}
			const allKnow = 400 * time.Millisecond // The longest lag.
			if used := f.countBetween(born+allKnow, born+coldTime); float64(used) < minColdUse*maxColdRequests*(coldTime-allKnow).Seconds() {
				t.Errorf("%d instances, seed %d: %d requests in %s, want %g of %g a second", n, seed, used, coldTime-allKnow, minColdUse, maxColdRequests)
			}
			if after := f.countBetween(born+coldTime+allKnow, f.now); after < n {
				t.Errorf("%d instances, seed %d: %d requests after the warm-up, want the usual", n, seed, after)
			}
		}
	}
}

// mostInASecondUntil is mostInASecond for the arrivals before a time.
func (f *coldFleet) mostInASecondUntil(until time.Duration) int {
	all := f.arrivals
	defer func() { f.arrivals = all }()
	n := 0
	for n < len(all) && all[n] < until {
		n++
	}
	f.arrivals = all[:n]
	return f.mostInASecond(0)
}

// All processes are killed and started anew while the endpoint is cold.
func TestAKillOfAllInstancesKeepsTheColdBound(t *testing.T) {
	for _, n := range coldFleetSizes {
		f := newColdFleet(uint64(n), n)
		const restarts = 6
		begin := f.now
		for range restarts {
			for _, i := range f.instances {
				i.start(f.now)
				i.put(time.Hour, f.now)
			}
			for end := f.now + time.Duration(f.rng.Int64N(int64(2*time.Second))); f.now < end; {
				f.step(everybody)
			}
			for _, i := range f.instances {
				i.down = true
			}
			f.step(everybody)
		}
		if most := f.mostInASecond(begin); float64(most) > maxColdRequests {
			t.Errorf("%d instances: %d requests in a second over %d kills of all, allowed are %g", n, most, restarts, maxColdRequests)
		}
	}
}

// Instances are added behind a partition: a part of the fleet does not know them, and they
// know all.
func TestInstancesThatKnowFewerOthersKeepTheColdBound(t *testing.T) {
	for _, n := range coldFleetSizes {
		added := n / 10
		f := newColdFleet(uint64(n), n+added)
		for k, i := range f.instances[:n] {
			if k%2 == 0 {
				i.names = i.names[:n]
			}
			i.start(0)
		}
		begin := f.now
		for _, i := range f.instances {
			i.put(time.Hour, f.now)
		}
		for f.now < begin+5*time.Second {
			f.step(everybody)
		}
		if most := f.mostInASecond(begin); float64(most) > maxColdRequests {
			t.Errorf("%d instances of which half know %d more: %d requests in a second, allowed are %g", n, added, most, maxColdRequests)
		}
	}
}

// An endpoint that is in use turns cold, and the instances learn of it at different moments
// after the first entry. Until then each sends it what it usually does, six requests a second
// all together; those that know of it add their share to that.
func TestAnEndpointThatTurnsColdInUseGetsNoMoreThanItsShare(t *testing.T) {
	for _, n := range coldFleetSizes {
		f := newColdFleet(uint64(n), n)
		for _, i := range f.instances {
			i.put(0, f.now)
		}
		usual := func() bool { return f.rng.Float64() < 6*tick.Seconds()/float64(n) }
		known := map[*coldInstance]bool{}
		turnsCold := f.now + 2*time.Second
		for f.now < turnsCold+coldTime {
			for _, i := range f.instances {
				if !known[i] && f.now >= turnsCold+i.lag {
					known[i] = true
					i.put(turnsCold+coldTime-f.now, f.now)
				}
			}
			f.step(func(i *coldInstance) bool { return known[i] || usual() })
		}
		if most := f.mostInASecond(0); float64(most) > maxColdRequests {
			t.Errorf("%d instances: %d requests in a second, allowed are %g", n, most, maxColdRequests)
		}
		if used := f.countBetween(turnsCold+2*time.Second, f.now); used == 0 {
			t.Errorf("%d instances: the endpoint gets nothing any more", n)
		}
	}
}

// Without the names of the fleet's instances nothing is sent to a cold endpoint.
func TestAColdEndpointGetsNothingUntilTheFleetIsKnown(t *testing.T) {
	p := placement.New(1, 0)
	p.SetWarmUps(map[string]placement.WarmUp{"s": {Duration: coldTime, MaxPerSecond: maxColdRequests}})
	p.Put(discovery.Endpoint{ID: "e", Service: "s", Warming: time.Minute}, 0)
	if a := p.Place(placement.Query{Service: "s"}, 10*time.Second); a != nil {
		t.Errorf("placed on %s", a.Endpoint.ID)
	}
	p.SetInstances("me", []string{"me"})
	if a := p.Place(placement.Query{Service: "s"}, 10*time.Second); a == nil {
		t.Error("not placed by the only instance")
	}
}

// The endpoints of a zone whose cordon was taken back may be cold before their entries say so.
func TestAnEndpointIsColdAfterACordon(t *testing.T) {
	p := newTable(1)
	p.SetWarmUps(map[string]placement.WarmUp{"s": {Duration: coldTime, MaxPerSecond: maxColdRequests}})
	p.SetInstances("me", []string{"me"})
	now := time.Minute
	p.SetCordons(map[string]bool{"z0": true}, now)
	p.SetCordons(nil, now)
	placed := 0
	for p.Place(placement.Query{Service: "s"}, now+coldTime-tick) != nil {
		placed++
	}
	if float64(placed) > maxColdRequests || placed == 0 {
		t.Errorf("%d requests are placed at once after a cordon, want 1 to %g", placed, maxColdRequests)
	}
	if p.Place(placement.Query{Service: "s"}, now+coldTime) == nil {
		t.Error("nothing is placed after the warm-up")
	}
}

// An endpoint that was unreachable may be cold; others come first until its entry tells.
func TestAnEndpointThatIsBackIsUsedAfterOthersUntilItsEntryTells(t *testing.T) {
	p := newTable(2)
	p.SetWarmUps(map[string]placement.WarmUp{"s": {Duration: coldTime, MaxPerSecond: maxColdRequests}})
	p.Place(placement.Query{Service: "s", Exclude: []string{"e1"}}, 0).Done(placement.Unreachable, 0)
	p.MarkReachable("e0", 0)
	for range 20 {
		if a := p.Place(placement.Query{Service: "s", Zone: "z0"}, 0); a.Endpoint.ID == "e0" {
			t.Error("placed on an endpoint that is just back, want the other one")
		}
	}
	if a := p.Place(placement.Query{Service: "s", Exclude: []string{"e1"}}, 0); a == nil {
		t.Error("not placed on an endpoint that is just back, though there is no other")
	}
	p.Put(discovery.Endpoint{ID: "e0", Service: "s", Zone: "z0", Born: 1}, 0)
	if a := p.Place(placement.Query{Service: "s", Zone: "z0"}, 0); a.Endpoint.ID != "e0" {
		t.Errorf("placed on %s, want e0, whose entry says that it is warm", a.Endpoint.ID)
	}
}
