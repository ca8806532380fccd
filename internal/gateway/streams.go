package gateway

import (
	"time"

	"guavapier/internal/origin"
	"guavapier/internal/peer"
	"guavapier/internal/prepaid"
	"guavapier/internal/record"
	"guavapier/internal/registry"
)

const (
	// streamCallsIdleTimeout is how long a connection for records of streams is kept. In a
	// large fleet each is used rarely, and keeping one to every instance would cost more than
	// opening it again.
	streamCallsIdleTimeout = 10 * time.Second
	// streamCallsDialTimeout bounds opening such a connection.
	streamCallsDialTimeout = 300 * time.Millisecond
)

// streamOrigins keeps where streams began, together with the other instances.
type streamOrigins struct {
	*origin.Tracker
	pool *peer.Pool // Calls to the instances that the registry lists.
}

// newStreamOrigins returns the origins of the instance self.
func (g *Gateway) newStreamOrigins(self prepaid.Identity) *streamOrigins {
	s := &streamOrigins{}
	s.Tracker = origin.NewTracker(origin.Options{
		Zone: self.Zone, Clock: g.clock, Log: g.sampledLog,
	})
	s.pool = peer.NewPool(self.Key, s.Tracker, peer.Options{
		DialTimeout: streamCallsDialTimeout, HeartbeatInterval: streamCallsIdleTimeout / 2, IdleTimeout: streamCallsIdleTimeout,
	})
	s.Caller = s.pool
	return s
}

// setInstances sets the other instances of the fleet.
func (s *streamOrigins) setInstances(others map[string]registry.Details) {
	list := make([]origin.Instance, 0, len(others))
	for name, details := range others {
		list = append(list, origin.Instance{Name: name, Process: details.Process, Zone: details.Zone, Address: details.Peer})
	}
	s.SetInstances(list)
}

// names returns the names of the other instances of the fleet, by process.
func (s *streamOrigins) names() map[record.InstanceID]string {
	names := map[record.InstanceID]string{}
	for _, i := range s.Instances() {
		names[i.Process] = i.Name
	}
	return names
}
