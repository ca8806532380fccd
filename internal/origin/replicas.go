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

// ranked returns the instances of the zone, best first, and those of each other zone, the zone
// with the best one first, by rendezvous hashing. All instances rank alike, as far as they know
// the same ones.
func ranked(id StreamID, zone string, instances []Instance) (local []Instance, byZone [][]Instance) {
	scores := make(map[string]uint64, len(instances))
	for _, i := range instances {
		scores[i.Name] = score(id, i.Name)
	}
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(scores[b.Name], scores[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	zones := map[string]int{} // Index in byZone.
	for _, i := range sorted {
		if i.Zone == zone {
			local = append(local, i)
			continue
		}
		index, known := zones[i.Zone]
		if !known {
			index = len(byZone)
			zones[i.Zone] = index
			byZone = append(byZone, nil)
		}
		byZone[index] = append(byZone[index], i)
	}
	return local, byZone
}

// score returns the rank of an instance for a stream; the highest is the best.
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
			order = append(order, local[i])
		}
		if i < len(byZone) {
			order = append(order, byZone[i][0])
		}
	}
	return order[:min(2*copies, len(order))]
}

// instancesToAsk returns the other instances that may have the record of a stream, wherever it
// was served, for an instance in the zone.
func instancesToAsk(id StreamID, zone string, others []Instance) []Instance {
	local, byZone := ranked(id, zone, others)
	asked := slices.Clone(local[:min(askedInZone, len(local))])
	for _, instances := range byZone[:min(askedZones, len(byZone))] {
		asked = append(asked, instances[:min(askedPerOtherZone, len(instances))]...)
	}
	return asked
}
