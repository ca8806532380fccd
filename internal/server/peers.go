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

// listenPeers binds the address for peers.
func (s *Server) listenPeers() error {
	var err error
	if s.peersListener, err = net.Listen("tcp", s.settings.Instance.Peers); err != nil {
		return eris.Wrap(err, "server: listen for peers")
	}
	return nil
}

// PeersAddr returns the bound address for peers, which is announced to the
// platform.
func (s *Server) PeersAddr() string { return s.peersListener.Addr().String() }

// initPeers creates the components that communicate with other instances, and
// registers the relay's service for peers.
func (s *Server) initPeers() error {
	s.members = membership.New(s.client, s.self, s.log)
	s.endpoints = &endpointTable{config: s.config, dispatcher: s.dispatcher, links: s.links}
	s.members.OnList(s.endpoints.update)
	var opts peer.Options
	if s.links.requiresTLS(settings.InterfacePeers) {
		opts.Dialer = func(ctx context.Context, address string) (net.Conn, error) {
			return s.links.identity.Dial(ctx, "tcp", address)
		}
	}
	s.pool = peer.NewPool(s.id, s.members, opts)
	s.peerServer = peer.NewServer(s.id)
	s.relay = relay.New(s.client, s.id, s.pool, s.members)
	return s.peerServer.Register(relay.ServiceName, relay.NewService(s.relay))
}

// closePeers closes the listener for peers and all connections with peers.
func (s *Server) closePeers() {
	_ = s.peersListener.Close()
	s.pool.Close()
	s.peerServer.Close()
}
