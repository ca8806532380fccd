package gateway

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/dial"
	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/registry"
	"guavapier/internal/tunnel"
	"guavapier/internal/upstream"
)

const (
	// tunnelAckTimeout closes a tunnel to an instance whose host leaves sent bytes
	// unacknowledged for this long. It is longer than a freeze of an instance usually takes,
	// after which the instance reads on.
	tunnelAckTimeout = 5 * time.Second
	// tunnelsPollInterval is the pause between two checks of the tunnels that are left at the
	// end of a drain.
	tunnelsPollInterval = 10 * time.Millisecond
)

// tunnels holds both sides of an instance's tunnels: those that it opens through others, and
// those that it serves.
type tunnels struct {
	candidates *tunnel.Candidates
	dialer     *tunnel.Dialer
	server     *tunnel.Server
}

// newTunnels returns the tunnels of the instance self, whose bytes the link's meter counts.
func (g *Gateway) newTunnels(self record.InstanceID, endpoints *links) *tunnels {
	direct := g.linkMeter.WrapDial(upstream.TCPDialer(idleEndpointAckTimeout))
	candidates := tunnel.NewCandidates(g.settings.Gateway.Zone, uint64(time.Now().UnixNano()))
	return &tunnels{
		candidates: candidates,
		dialer: &tunnel.Dialer{
			Direct: direct, Open: newTunnelOpener(self, direct), Links: endpoints, Candidates: candidates,
			IsCongested: g.linkShedder.IsCongested, Clock: g.clock, Log: g.sampledLog,
		},
		server: &tunnel.Server{
			Address: endpoints.Address, Direct: g.linkMeter.WrapDial(upstream.TCPDialer(endpointAckTimeout)), Links: endpoints,
			IsBusy: g.refusesTunnels, Log: g.sampledLog,
			WrapPeer: func(c net.Conn) net.Conn { return g.linkMeter.WrapConn(withAckTimeout(c, g.sampledLog)) },
		},
	}
}

// refusesTunnels reports whether the instance has no capacity for other instances' requests.
func (g *Gateway) refusesTunnels() bool { return g.isDraining.Load() || g.linkShedder.IsCongested() }

// newTunnelOpener returns a function that asks other instances for tunnels.
func newTunnelOpener(self record.InstanceID, dial dial.Func) tunnel.OpenFunc {
	return func(ctx context.Context, address, endpoint string) (net.Conn, peer.TunnelStatus, error) {
		conn, err := dial(ctx, "tcp", address)
		if err != nil {
			return nil, peer.TunnelUnsupported, err
		}
		return peer.DialTunnel(ctx, conn, self, peer.TunnelRequest{Endpoint: endpoint})
	}
}

// withAckTimeout sets the connection's timeout for unacknowledged bytes to tunnelAckTimeout.
func withAckTimeout(c net.Conn, log zerolog.Logger) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = upstream.KeepAliveControl(tunnelAckTimeout)("tcp", "", raw)
	}
	if err != nil {
		log.Warn().Err(err).Msg("gateway: tunnel without a timeout for unacknowledged bytes")
	}
	return c
}

// setCandidates sets the instances that may open tunnels for this one.
func (t *tunnels) setCandidates(others map[string]registry.Details) {
	list := make([]tunnel.Candidate, 0, len(others))
	for name, details := range others {
		list = append(list, tunnel.Candidate{Name: name, Zone: details.Zone, Address: details.Peer, LinkMbps: details.LinkMbps})
	}
	t.candidates.Set(list)
}

// awaitServed waits until no other instance uses a tunnel through this one, or until ctx ends.
func (t *tunnels) awaitServed(ctx context.Context) {
	for t.server.OpenCount() > 0 && ctx.Err() == nil {
		logstore.Pause(ctx, tunnelsPollInterval, nil)
	}
}
