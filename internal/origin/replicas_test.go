package origin

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// testFleet draws a fleet of instances in several zones.
func testFleet(t *rapid.T) []Instance {
	var fleet []Instance
	zones := rapid.IntRange(1, 5).Draw(t, "zones")
	for zone := range zones {
		for i := range rapid.IntRange(1, 5).Draw(t, "instances") {
			fleet = append(fleet, Instance{Name: fmt.Sprintf("%d-%d", zone, i), Zone: fmt.Sprint(zone)})
		}
	}
	return fleet
}

func without(fleet []Instance, gone func(Instance) bool) []Instance {
	return slices.DeleteFunc(slices.Clone(fleet), gone)
}

// Any instance of the fleet finds the record of any other one, as long as a replica is left.
func TestEachInstanceAsksBothReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := testFleet(t)
		if len(fleet) < 2 {
			return
		}
		id := StreamID(rapid.Uint64().Draw(t, "stream"))
		server := rapid.SampledFrom(fleet).Draw(t, "server")
		asking := rapid.SampledFrom(fleet).Draw(t, "asking")
		replicas := replicasFor(id, server.Zone, without(fleet, func(i Instance) bool { return i == server }))
		first := replicas[:min(copies, len(replicas))]
		asked := instancesToAsk(id, asking.Zone, without(fleet, func(i Instance) bool { return i == asking }))
		for _, r := range first {
			if r != asking && !slices.Contains(asked, r) {
				t.Errorf("%v of %v does not ask %v, a replica of %v", asking, fleet, r, server)
			}
		}
	})
}

func TestReplicasAreInTheOwnZoneAndInAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := testFleet(t)
		server := rapid.SampledFrom(fleet).Draw(t, "server")
		others := without(fleet, func(i Instance) bool { return i == server })
		id := StreamID(rapid.Uint64().Draw(t, "stream"))
		replicas := replicasFor(id, server.Zone, others)
		isLocal := func(i Instance) bool { return i.Zone == server.Zone }
		first := replicas[:min(copies, len(replicas))]
		if slices.ContainsFunc(others, isLocal) && !slices.ContainsFunc(first, isLocal) {
			t.Errorf("no replica in the zone of %v: %v", server, replicas)
		}
		isRemote := func(i Instance) bool { return !isLocal(i) }
		if slices.ContainsFunc(others, isRemote) && !slices.ContainsFunc(first, isRemote) {
			t.Errorf("no replica in another zone than %v: %v", server, replicas)
		}
		for i, r := range replicas {
			if r == server || slices.Contains(replicas[:i], r) {
				t.Errorf("%v is not a replica of its own, or one twice: %v", server, replicas)
			}
		}
	})
}
