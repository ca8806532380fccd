package endpointload

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavapier/internal/record"
)

const (
	// zoneCollectors is how many collectors an availability zone has.
	zoneCollectors = 2
	// zoneCandidates is how many instances of a zone are called if the ones before don't answer.
	zoneCandidates = 4
)

// Instance is an instance of the fleet.
type Instance struct {
	Name     string // Kept over restarts.
	Zone     string // Availability zone.
	Process  record.InstanceID
	LinkMbps float64 // Speed of its link; 0 if unknown.
}

// Collectors are the instances of each availability zone that collect its loads, which all
// instances find out without a message: the two with the fastest links, and two that stand in if
// neither can be reached. Whoever is called collects; there is no role to take.
type Collectors struct {
	candidates map[string][]Instance // By zone, at most zoneCandidates, best first.
	sizes      map[string]int        // Instances by zone.
}

// NewCollectors returns the collectors of a fleet.
func NewCollectors(fleet []Instance) Collectors {
	c := Collectors{candidates: map[string][]Instance{}, sizes: map[string]int{}}
	for _, i := range fleet {
		c.candidates[i.Zone] = append(c.candidates[i.Zone], i)
	}
	for zone, list := range c.candidates {
		c.sizes[zone] = len(list)
		slices.SortFunc(list, func(a, b Instance) int {
			return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
		})
		c.candidates[zone] = list[:min(len(list), zoneCandidates)]
	}
	return c
}

// ZoneSize returns the number of instances of a zone.
func (c Collectors) ZoneSize(zone string) int { return c.sizes[zone] }

// OfZone returns the collectors of a zone.
func (c Collectors) OfZone(zone string) []Instance {
	list := c.candidates[zone]
	return list[:min(len(list), zoneCollectors)]
}

// All returns the collectors of all zones, in no particular order.
func (c Collectors) All() []Instance {
	var list []Instance
	for zone := range c.candidates {
		list = append(list, c.OfZone(zone)...)
	}
	return list
}

// IsCollector reports whether the instance of this name is a collector of the zone.
func (c Collectors) IsCollector(zone, name string) bool {
	return slices.ContainsFunc(c.OfZone(zone), func(i Instance) bool { return i.Name == name })
}

// For returns the instances of a zone that the instance of this name tells its load, in the order
// in which it tries them: itself if it is a collector, the collector that a hash of its name
// selects, the other one, and those that stand in.
func (c Collectors) For(zone, name string) []Instance {
	list := slices.Clone(c.candidates[zone])
	first := list[:min(len(list), zoneCollectors)]
	own := slices.IndexFunc(first, func(i Instance) bool { return i.Name == name })
	switch {
	case own >= 0:
		first[0], first[own] = first[own], first[0]
	case len(first) > 1 && xxhash.Sum64String(name)%zoneCollectors == 1:
		first[0], first[1] = first[1], first[0]
	}
	return list
}

// Reader returns the name of the instance that reads the reports of an endpoint: a collector of
// its zone, or of any zone if its own has none; "" if there are no collectors.
func (c Collectors) Reader(endpoint, zone string) string {
	list := c.OfZone(zone)
	if len(list) == 0 {
		list = c.All()
	}
	best, bestScore := "", uint64(0)
	for _, i := range list {
		if score := xxhash.Sum64String(endpoint + "\x00" + i.Name); best == "" || score > bestScore {
			best, bestScore = i.Name, score
		}
	}
	return best
}
