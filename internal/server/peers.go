package server

import (
	"net"

	"guavapier/internal/decide"
	"guavapier/internal/dispatch"
	"guavapier/internal/membership"
	"guavapier/internal/peer"
	"guavapier/internal/platform"
	"guavapier/internal/relay"

	"github.com/rotisserie/eris"
)

const (
	engineSlots  = 16
	serviceSlots = 16
)

// listenPeers binds the peers' address.
func (s *Server) listenPeers() error {
	var err error
	if s.peers, err = net.Listen("tcp", s.settings.Instance.Peers); err != nil {
		return eris.Wrap(err, "server: listen for peers")
	}
	return nil
}

// PeersAddr returns the bound peers' address; it is announced to the platform.
func (s *Server) PeersAddr() string { return s.peers.Addr().String() }

// joinPeers makes the parts that talk to other instances.
func (s *Server) joinPeers() error {
	s.members = membership.New(s.client, s.self, s.log)
	s.members.OnList(listEndpoints(s.dispatcher))
	s.pool = peer.NewPool(s.id, s.members, peer.Options{})
	s.peerServer = peer.NewServer(s.id)
	s.relay = relay.New(s.client, s.id, s.pool, s.members)
	return s.peerServer.Register(relay.ServiceName, relay.NewService(s.relay))
}

// leavePeers ends all connections with other instances.
func (s *Server) leavePeers() {
	_ = s.peers.Close()
	s.pool.Close()
	s.peerServer.Close()
}

// listEndpoints hands the listed endpoints to the dispatcher.
func listEndpoints(dispatcher *dispatch.Dispatcher) func(platform.List) {
	return func(list platform.List) {
		rows := make([]decide.Endpoint, 0, len(list.Endpoints))
		for _, e := range list.Endpoints {
			rows = append(rows, endpointRow(e))
		}
		dispatcher.Update(func(d *decide.Decider) { d.SetEndpoints(rows) })
	}
}

func endpointRow(e platform.Endpoint) decide.Endpoint {
	row := decide.Endpoint{Name: e.Name, Zone: e.Zone, Service: e.Service, Slots: engineSlots, Weight: 1, Leaving: e.Leaving}
	if e.Service != "" {
		row.Slots = serviceSlots
	}
	if e.Model != "" {
		row.Models = []string{e.Model}
	}
	return row
}

// endpoints implements run.Endpoints on the instance list.
type endpoints struct{ members *membership.Members }

// URL implements run.Endpoints.
func (e endpoints) URL(name string) (string, bool) {
	for _, row := range e.members.List().Endpoints {
		if row.Name == name {
			return row.URL, true
		}
	}
	return "", false
}
