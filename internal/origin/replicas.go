package origin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavapier/internal/record"
)

// Instance is another instance that may keep copies of records.
type Instance struct {
	Name    string // Kept over restarts.
	Process record.InstanceID
	Zone    string // Availability zone.
	Address string // IP:port for calls of other instances.
}

const (
	// copies is how many replicas get a record.
	copies = 2
	// askedInZone, askedZones and askedPerOtherZone are how many instances are asked for a
	// record: of the own zone, and of each of some other zones. The replicas of a lost instance
	// are among them, also where one of these could not be reached and another took its place.
	// An instance of its own zone is its replica if it is one of that zone's best two.
	askedInZone       = 4
	askedZones        = 4
	askedPerOtherZone = 2
)

// maxRanked is how many instances of a zone are ranked.
const maxRanked = max(2*copies, askedInZone, askedPerOtherZone)

// scoredInstance is an instance with its rank for a stream; the highest score is the best.
type scoredInstance struct {
	*Instance
	score uint64
}

// compareRank orders the better instance first.
func compareRank(a, b scoredInstance) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
}

// ranked returns the best maxRanked instances of the zone and of each other zone, best first,
// the zone with the best one first, by rendezvous hashing. All instances rank alike, as far as
// they know the same ones.
func ranked(id StreamID, zone string, instances []Instance) (local []scoredInstance, byZone [][]scoredInstance) {
	zones := map[string][]scoredInstance{}
	for i := range instances {
		instance := &instances[i]
		zones[instance.Zone] = insertRanked(zones[instance.Zone], scoredInstance{instance, score(id, instance.Name)})
	}
	for name, list := range zones {
		if name != zone {
			byZone = append(byZone, list)
		}
	}
	slices.SortFunc(byZone, func(a, b []scoredInstance) int { return compareRank(a[0], b[0]) })
	return zones[zone], byZone
}

// insertRanked inserts an instance into a list that is sorted by rank, and keeps the best
// maxRanked.
func insertRanked(list []scoredInstance, instance scoredInstance) []scoredInstance {
	at, _ := slices.BinarySearchFunc(list, instance, compareRank)
	if at == maxRanked {
		return list
	}
	list = slices.Insert(list, at, instance)
	return list[:min(maxRanked, len(list))]
}

// score returns the score of an instance for a stream.
func score(id StreamID, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(id)))
	return d.Sum64()
}

// replicasFor returns the other instances to which the record of a stream that is served in
// the zone may be copied, in the order in which they are tried: one of the zone first, so that
// a zone that is cut off knows its streams, then one of another zone, for the loss of this one.
// Those beyond the first copies replace one of these each.
func replicasFor(id StreamID, zone string, others []Instance) []Instance {
	local, byZone := ranked(id, zone, others)
	var order []Instance
	for i := range 2 * copies {
		if i < len(local) {
			order = append(order, *local[i].Instance)
		}
		if i < len(byZone) {
			order = append(order, *byZone[i][0].Instance)
		}
	}
	return order[:min(2*copies, len(order))]
}

// instancesToAsk returns the other instances that may have the record of a stream, wherever it
// was served, for an instance in the zone.
func instancesToAsk(id StreamID, zone string, others []Instance) []Instance {
	local, byZone := ranked(id, zone, others)
	asked := slices.Clone(local[:min(askedInZone, len(local))])
	for _, list := range byZone[:min(askedZones, len(byZone))] {
		asked = append(asked, list[:min(askedPerOtherZone, len(list))]...)
	}
	instances := make([]Instance, len(asked))
	for i, a := range asked {
		instances[i] = *a.Instance
	}
	return instances
}
