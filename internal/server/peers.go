package server

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"guavapier/internal/membership"
	"guavapier/internal/peer"
	"guavapier/internal/relay"
	"guavapier/internal/settings"
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
	s.endpoints = &endpointTable{config: s.config, dispatcher: s.dispatcher, links: s.links}
	s.members.OnList(s.endpoints.take)
	var opts peer.Options
	if s.links.secured(settings.InterfacePeers) {
		opts.Dialer = func(ctx context.Context, address string) (net.Conn, error) {
			return s.links.peers.Dial(ctx, "tcp", address)
		}
	}
	s.pool = peer.NewPool(s.id, s.members, opts)
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
