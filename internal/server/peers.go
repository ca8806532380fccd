package server

import (
	"cmp"
	"net"

	"guavapier/internal/config"
	"guavapier/internal/decide"
	"guavapier/internal/fold"
	"guavapier/internal/membership"
	"guavapier/internal/peer"
	"guavapier/internal/platform"

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
func (s *Server) joinPeers() {
	s.members = membership.New(s.client, s.self, s.log)
	s.members.OnList(s.listEndpoints)
	s.pool = peer.NewPool(s.id, s.members, peer.Options{})
	s.peerServer = peer.NewServer(s.id)
}

// leavePeers ends all connections with other instances.
func (s *Server) leavePeers() {
	_ = s.peers.Close()
	s.pool.Close()
	s.peerServer.Close()
}

// listEndpoints hands the listed endpoints to the dispatcher. It runs with
// each list that is read, so a changed setting is in force with the next one.
func (s *Server) listEndpoints(list platform.List) {
	rows := make([]decide.Endpoint, 0, len(list.Endpoints))
	s.config.View(func(f *fold.Config) {
		for _, e := range list.Endpoints {
			rows = append(rows, endpointRow(f, e))
		}
	})
	s.dispatcher.Update(func(d *decide.Decider) { d.SetEndpoints(rows) })
}

func endpointRow(f *fold.Config, e platform.Endpoint) decide.Endpoint {
	row := decide.Endpoint{Name: e.Name, Zone: e.Zone, Service: e.Service, Slots: engineSlots, Weight: 1, Leaving: e.Leaving}
	if e.Service != "" {
		row.Slots = serviceSlots
	}
	if e.Model != "" {
		row.Models = []string{e.Model}
	}
	capacity := config.EngineOf(f, e.Name)
	row.Slots = cmp.Or(capacity.Slots, row.Slots)
	row.Weight = cmp.Or(float64(capacity.Weight), row.Weight)
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
