package tunnel

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/dial"
	"guavapier/internal/peer"
	"guavapier/internal/record"
)

const (
	// serverDialTimeout bounds connecting to an endpoint for another instance.
	serverDialTimeout = 250 * time.Millisecond
	// maxOpen bounds the tunnels that an instance serves. Each takes two file descriptors and
	// some 40 KB.
	maxOpen = 256
)

// Server opens tunnels for other instances. It implements peer.TunnelHandler. All exported
// fields must be set.
type Server struct {
	// Address returns the address (IP:port) of an endpoint that may get requests.
	Address func(endpoint string) (string, bool)
	Direct  dial.Func
	Links   Links
	// IsBusy reports whether the instance has no room for others' requests.
	IsBusy func() bool
	// WrapPeer returns the connection from another instance as a tunnel is to use it.
	WrapPeer func(net.Conn) net.Conn
	Log      zerolog.Logger // Rate limited.

	open atomic.Int64
}

// OpenCount returns the number of tunnels that are open.
func (s *Server) OpenCount() int64 { return s.open.Load() }

// Open implements peer.TunnelHandler. It connects by the own link only.
func (s *Server) Open(from record.InstanceID, request peer.TunnelRequest) (net.Conn, peer.TunnelStatus) {
	conn, status := s.openTo(request.Endpoint)
	s.Log.Info().Str("instance", string(from)).Str("endpoint", request.Endpoint).Stringer("status", status).Int64("open", s.open.Load()).
		Msg("tunnel: asked by another instance")
	return conn, status
}

// openTo connects to an endpoint if there is room.
func (s *Server) openTo(endpoint string) (net.Conn, peer.TunnelStatus) {
	if s.IsBusy() {
		return nil, peer.TunnelBusy
	}
	address, known := s.Address(endpoint)
	if !known {
		return nil, peer.TunnelUnknownEndpoint
	}
	if !s.Links.HasAnyLink() {
		return nil, peer.TunnelNoLinks
	}
	if !s.Links.HasLink(endpoint) {
		return nil, peer.TunnelTimeout
	}
	if s.open.Add(1) > maxOpen {
		s.open.Add(-1)
		return nil, peer.TunnelBusy
	}
	conn, status := s.connect(endpoint, address)
	if status != peer.TunnelOpen {
		s.open.Add(-1)
	}
	return conn, status
}

// connect connects to the endpoint by the own link.
func (s *Server) connect(endpoint, address string) (net.Conn, peer.TunnelStatus) {
	ctx, cancel := context.WithTimeout(context.Background(), serverDialTimeout)
	defer cancel()
	conn, err := s.Direct(ctx, "tcp", address)
	s.Links.RecordLink(endpoint, err)
	switch {
	case err == nil:
		return conn, peer.TunnelOpen
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, peer.TunnelRefused
	}
	return nil, peer.TunnelTimeout
}

// Wrap implements peer.TunnelHandler.
func (s *Server) Wrap(c net.Conn) net.Conn { return s.WrapPeer(c) }

// Done implements peer.TunnelHandler.
func (s *Server) Done() { s.open.Add(-1) }
