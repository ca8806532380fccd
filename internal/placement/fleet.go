package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fleet is the instances among which the bounds of an endpoint are divided. Those with the
// highest hashes of instance and endpoint come first (rendezvous hashing), which all instances
// find out without a message.
type fleet struct {
	self uint64 // Hash of this instance's name.
	// instances are the hashes of the names of all instances, this one included, and names the
	// names; empty until they are known.
	instances []uint64
	names     []string
	// usedFrom is when the first request may be sent to a cold endpoint: not in the first
	// window of a process, as the one before it may have used its share just before it ended.
	usedFrom time.Duration
	version  int // Changes with the fields above and with the warm-ups.
}

// SetInstances sets the names of the fleet's instances, of which this one is self. Names stay
// the same across restarts. Until the first call no request is placed on a cold endpoint.
func (t *Table) SetInstances(self string, names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.self = xxhash.Sum64String(self)
	t.fleet.names = slices.Clone(names)
	t.fleet.instances = make([]uint64, len(names))
	for i, name := range names {
		t.fleet.instances[i] = xxhash.Sum64String(name)
	}
	t.fleet.version++
}

// rank returns this instance's rank among all instances for the endpoint, 0 for the first, and
// whether it is listed among them.
func (f *fleet) rank(endpoint uint64) (rank int, listed bool) {
	own := mixHash(endpoint ^ f.self)
	for _, instance := range f.instances {
		if instance == f.self {
			listed = true
		} else if mixHash(endpoint^instance) > own {
			rank++
		}
	}
	return rank, listed
}

// first returns the names of the first n instances for the endpoint, without this one.
func (f *fleet) first(endpoint uint64, n int) []string {
	order := make([]int, len(f.instances))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(mixHash(endpoint^f.instances[b]), mixHash(endpoint^f.instances[a]))
	})
	var others []string
	for _, i := range order[:min(n, len(order))] {
		if f.instances[i] != f.self {
			others = append(others, f.names[i])
		}
	}
	return others
}
