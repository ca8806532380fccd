package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"guavapier/internal/discovery"
	"guavapier/internal/endpointload"
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

// steps lets n steps pass.
func (f *loadFleet) steps(n int) {
	for range n {
		f.step()
	}
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
	f.steps(4)
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
		f.steps(6)
		f.expectOthers(9)
		f.down[collector] = true
	}
	f.steps(8)
	f.expectOthers(9)
}

// The load of an instance that has fallen silent is forgotten, and that of its next process told.
func TestARestartedInstanceIsToldAnew(t *testing.T) {
	f := newLoadFleet(t, 2, 4)
	f.send("a-3", 3)
	f.send("b-3", 1)
	f.steps(4)
	f.down["a-3"] = true
	f.steps(8)
	f.expectOthers(1)
	delete(f.instances, f.named("a-3").details.Process)
	f.down["a-3"] = false
	f.add("a-3", "a", false, 2)
	f.updateLists()
	f.send("a-3", 2)
	f.steps(4)
	f.expectOthers(3)
}

// In a zone that is cut off, the instances know each other's loads and no longer those of the
// other zone.
func TestACutZoneKnowsItsOwnLoads(t *testing.T) {
	f := newLoadFleet(t, 2, 4)
	f.send("a-2", 3)
	f.send("b-2", 1)
	f.steps(4)
	for _, name := range []string{"b-0", "b-1", "b-2", "b-3"} {
		f.down[name] = true
	}
	f.steps(8)
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
		f.steps(16)
		if last.ageMS() < 1000 || last.zoneLinks().Known {
			t.Errorf("the view of %s is %d ms old, the links are %+v", alone, last.ageMS(), last.zoneLinks())
		}
	}
}

// BenchmarkMember measures what one exchange costs the instance that makes it, if the others have
// requests at all endpoints and it has some at a tenth: its statement, the encoding of both
// messages, and the sums' way into placement. The collector's part is in there; see
// endpointload.BenchmarkExchange.
func BenchmarkMember(b *testing.B) {
	for _, endpoints := range []int{63, 145, 640} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			f := &loadFleet{now: time.Second, instances: map[record.InstanceID]*fleetInstance{}, down: map[string]bool{}}
			f.add("a-0", "a", true, 1)
			f.add("a-1", "a", true, 1)
			f.add("a-2", "a", false, 1)
			f.updateLists()
			other := endpointload.Statement{Sender: endpointload.Sender{Name: "b-0", Started: 1, Seq: 1}, Links: endpointload.LinkSum{Instances: 20}}
			for n := range endpoints {
				id := fmt.Sprint("endpoint-", n)
				for _, i := range f.instances {
					i.endpoints.Put(discovery.Endpoint{ID: id, Service: "s", Address: "e:1", Zone: "a", Slots: 4}, 0)
				}
				other.Loads = append(other.Loads, endpointload.KeyedLoad{Key: endpointload.KeyOf(id, 0), Load: endpointload.Load{Requests: 30, Waiting: 4, Prefill: 40 * time.Millisecond, Tokens: 200_000}})
			}
			for _, i := range f.instances {
				i.service.table.TellPart("b", other, f.now)
			}
			member := f.named("a-2")
			for range endpoints / 10 {
				member.endpoints.Place(placement.Query{Service: "s", Tokens: 900}, f.now)
			}
			for b.Loop() {
				member.exchange(context.Background())
			}
		})
	}
}

// Exchanges are rarer in a large zone, without requests, where they take long and where the link
// is full.
func TestExchangesAreAsFrequentAsTheyAreWorth(t *testing.T) {
	for _, c := range []struct {
		zoneSize int
		last     lastExchange
		want     time.Duration
	}{
		{20, lastExchange{took: 4 * time.Millisecond}, 200 * time.Millisecond},
		{20, lastExchange{took: 4 * time.Millisecond, isIdle: true}, 600 * time.Millisecond},
		{138, lastExchange{took: 4 * time.Millisecond}, 345 * time.Millisecond},
		{20, lastExchange{took: 25 * time.Millisecond, linkLoad: 0.4}, 500 * time.Millisecond},
		{20, lastExchange{took: 300 * time.Millisecond, isIdle: true}, 800 * time.Millisecond},
		{20, lastExchange{took: 4 * time.Millisecond, linkLoad: 0.6}, 800 * time.Millisecond},
		{20, lastExchange{took: 4 * time.Millisecond, isUnused: true}, 800 * time.Millisecond},
	} {
		if got := c.last.pause(c.zoneSize); got != c.want {
			t.Errorf("the pause is %s for %+v", got, c)
		}
	}
}

// oneAddress is a peer.Addresses with one address for all.
type oneAddress string

func (a oneAddress) PeerAddr(record.InstanceID) (string, bool) { return string(a), true }

// Both methods of a collector can be called over the network.
func TestCollectorsAreCalledOverTheNetwork(t *testing.T) {
	f := newLoadFleet(t, 1, 2)
	f.send("a-0", 3)
	f.step()
	collector := f.named("a-0")
	server := peer.NewServer(collector.details.Process)
	if err := server.Register(endpointLoadServiceName, collector.service); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { _ = server.Serve(listener); close(done) }()
	pool := peer.NewPool("asker", oneAddress(listener.Addr().String()), peer.Options{CallTimeout: 20 * time.Second})
	defer func() { _ = listener.Close(); server.Close(); pool.Close(); <-done }()
	var reply ExchangeReply
	if err := pool.Call(context.Background(), collector.details.Process, endpointLoadServiceName+".Exchange", ExchangeArgs{}, &reply); err != nil {
		t.Fatal(err)
	}
	var part PartMessage
	if err := pool.Call(context.Background(), collector.details.Process, endpointLoadServiceName+".ExchangeParts", PartMessage{}, &part); err != nil {
		t.Fatal(err)
	}
	if len(reply.Loads) != 1 || reply.Loads[0].Requests != 3 || !slices.Equal(part.Statement.Loads, reply.Loads) {
		t.Errorf("told %+v and the part %+v", reply, part)
	}
}
