package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"guavapier/internal/discovery"
	"guavapier/internal/peer"
	"guavapier/internal/placement"
	"guavapier/internal/record"
	"guavapier/internal/registry"
)

// loadFleet is a fleet whose exchanges run step by step, on a clock of its own and without a
// network. It implements peer.Caller.
type loadFleet struct {
	t         *testing.T
	now       time.Duration
	instances map[record.InstanceID]*fleetInstance
	down      map[string]bool // Names of the instances that answer no call.
}

// fleetInstance is one instance of a loadFleet.
type fleetInstance struct {
	*loadExchange
	parts   *loadParts
	details registry.Details
}

// newLoadFleet returns a fleet of zones "a", "b" and so on with n instances each, named "a-0" and
// so on; numbers 0 and 1 have fast links. All have the endpoint "e".
func newLoadFleet(t *testing.T, zones, n int) *loadFleet {
	t.Helper()
	f := &loadFleet{t: t, now: time.Second, instances: map[record.InstanceID]*fleetInstance{}, down: map[string]bool{}}
	for z := range zones {
		for i := range n {
			zone := string(rune('a' + z))
			f.add(fmt.Sprintf("%s-%d", zone, i), zone, i < 2, 1)
		}
	}
	f.updateLists()
	return f
}

// add adds a process of an instance.
func (f *loadFleet) add(name, zone string, fast bool, started int64) {
	details := registry.Details{Process: record.InstanceID(fmt.Sprintf("%s.%d", name, started)), Zone: zone, Peer: name, LinkMbps: 10}
	if fast {
		details.LinkMbps = 200
	}
	clock := func() time.Duration { return f.now }
	endpoints := placement.New(1, 0)
	endpoints.Put(discovery.Endpoint{ID: "e", Service: "s", Address: "e:1", Zone: zone, Slots: 4, Born: 1}, 0)
	x := newLoadExchange(details, name, started, f, endpoints, clock, zerolog.Nop())
	f.instances[details.Process] = &fleetInstance{x, newLoadParts(x), details}
}

// updateLists gives all instances the list of all.
func (f *loadFleet) updateLists() {
	for _, i := range f.instances {
		others := map[string]registry.Details{}
		for _, other := range f.instances {
			if other.name != i.name {
				others[other.name] = other.details
			}
		}
		i.setInstances(i.details, others)
	}
}

// named returns the process of an instance.
func (f *loadFleet) named(name string) *fleetInstance {
	for _, i := range f.instances {
		if i.name == name {
			return i
		}
	}
	f.t.Fatalf("the fleet has no instance %s", name)
	return nil
}

// Call implements peer.Caller. All messages are encoded.
func (f *loadFleet) Call(_ context.Context, to record.InstanceID, method string, args, reply any) error {
	called := f.instances[to]
	if called == nil || f.down[called.name] {
		return peer.ErrUnreachable
	}
	switch method {
	case endpointLoadServiceName + ".Exchange":
		return callEncoded(called.service.Exchange, args, reply)
	case endpointLoadServiceName + ".ExchangeParts":
		return callEncoded(called.service.ExchangeParts, args, reply)
	}
	return errors.New("no method " + method)
}

// callEncoded calls a method with arguments and a reply that pass through messages.
func callEncoded[A, R any](method func(A, *R) error, args, reply any) error {
	var decodedArgs A
	var result R
	data, err := cbor.Marshal(args)
	if err == nil {
		err = cbor.Unmarshal(data, &decodedArgs)
	}
	if err == nil {
		err = method(decodedArgs, &result)
	}
	if err == nil {
		data, err = cbor.Marshal(result)
	}
	if err == nil {
		err = cbor.Unmarshal(data, reply)
	}
	return err
}

// step lets 250 ms pass, in which all living instances make an exchange and collectors exchange
// parts.
func (f *loadFleet) step() {
	f.now += 250 * time.Millisecond
	processes := slices.Collect(maps.Values(f.instances))
	slices.SortFunc(processes, func(a, b *fleetInstance) int { return strings.Compare(a.name, b.name) })
	for _, i := range processes {
		if !f.down[i.name] {
			i.exchange(context.Background())
			i.parts.startCalls(context.Background())
			i.parts.calls.Wait() // One after the other: the fleet is not safe for concurrent use.
		}
	}
}

// send places n requests of an instance on the endpoint.
func (f *loadFleet) send(name string, n int) {
	for range n {
		if f.named(name).endpoints.Place(placement.Query{Service: "s"}, f.now) == nil {
			f.t.Fatalf("%s has placed no request", name)
		}
	}
}

// expectOthers fails unless each living instance knows this many requests of the others.
func (f *loadFleet) expectOthers(total int) {
	f.t.Helper()
	for _, i := range f.instances {
		if f.down[i.name] {
			continue
		}
		own := i.endpoints.OwnLoads(f.now)["e"].Requests
		if got := i.view().Others["e"].Requests; got != total-own {
			f.t.Errorf("%s knows %d requests of the others, want %d", i.name, got, total-own)
		}
	}
}

// Instances that don't know each other's requests know their sum, within and between zones.
func TestInstancesAreToldTheLoadsOfAllOthers(t *testing.T) {
	f := newLoadFleet(t, 3, 6)
	f.send("a-3", 3)
	f.send("a-4", 2)
	f.send("b-0", 1)
	f.send("c-5", 4)
	for range 4 {
		f.step()
	}
	f.expectOthers(10)
	if links := f.named("b-4").zoneLinks(); !links.Known || links.Instances != 6 {
		t.Errorf("the links of the zone are %+v, want those of 6 instances", links)
	}
}

// A collector that ends is replaced by the other one, and two that end by instances that stand in.
func TestTheLoadsAreToldWithoutTheCollectors(t *testing.T) {
	f := newLoadFleet(t, 2, 6)
	f.send("a-3", 3)
	f.send("a-4", 2)
	f.send("b-5", 4)
	for _, collector := range []string{"a-0", "a-1"} {
		for range 6 {
			f.step()
		}
		f.expectOthers(9)
		f.down[collector] = true
	}
	for range 8 {
		f.step()
	}
	f.expectOthers(9)
}

// The load of an instance that has fallen silent is forgotten, and that of its next process told.
func TestARestartedInstanceIsToldAnew(t *testing.T) {
	f := newLoadFleet(t, 2, 4)
	f.send("a-3", 3)
	f.send("b-3", 1)
	for range 4 {
		f.step()
	}
	f.down["a-3"] = true
	for range 8 {
		f.step()
	}
	f.expectOthers(1)
	delete(f.instances, f.named("a-3").details.Process)
	f.down["a-3"] = false
	f.add("a-3", "a", false, 2)
	f.updateLists()
	f.send("a-3", 2)
	for range 4 {
		f.step()
	}
	f.expectOthers(3)
}

// In a zone that is cut off, the instances know each other's loads and no longer those of the
// other zone.
func TestACutZoneKnowsItsOwnLoads(t *testing.T) {
	f := newLoadFleet(t, 2, 4)
	f.send("a-2", 3)
	f.send("b-2", 1)
	for range 4 {
		f.step()
	}
	for name := range map[string]bool{"b-0": true, "b-1": true, "b-2": true, "b-3": true} {
		f.down[name] = true
	}
	for range 8 {
		f.step()
	}
	f.expectOthers(3)
}

// An instance that reaches no other one doesn't take their loads for none.
func TestAnInstanceAloneKeepsNoView(t *testing.T) {
	for _, alone := range []string{"a-0", "a-5"} {
		f := newLoadFleet(t, 1, 6)
		f.step()
		last := f.named(alone)
		for _, i := range f.instances {
			f.down[i.name] = i.name != alone
		}
		for range 16 {
			f.step()
		}
		if last.ageMS() < 1000 || last.zoneLinks().Known {
			t.Errorf("the view of %s is %d ms old, the links are %+v", alone, last.ageMS(), last.zoneLinks())
		}
	}
}
