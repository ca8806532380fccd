// Package tunnel connects an instance to endpoints that it can't reach itself, through
// another instance that can.
//
// A tunnel carries the bytes of one connection to an endpoint, so all decisions about a
// request stay with the instance that its caller is connected to: its tokens, its retries,
// its endpoint, and whether it may have run. The other instance only opens the connection,
// always by its own link: a tunnel has one hop.
//
// Dialer decides between the own link and a tunnel, Candidates which instance to ask, and
// Server opens tunnels for others.
package tunnel

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"guavapier/internal/dial"
	"guavapier/internal/peer"
)

// Links holds what an instance knows of its own links to endpoints. Implementations are safe
// for concurrent use.
type Links interface {
	// HasLink reports whether the endpoint is assumed to be reachable by the own link.
	HasLink(endpoint string) bool
	// RecordLink records the result of connecting to the endpoint by the own link: nil, or why
	// no connection could be made.
	RecordLink(endpoint string, err error)
	// HasAnyLink reports whether any endpoint is assumed to be reachable by the own link. It
	// is true if no endpoint is known.
	HasAnyLink() bool
}

// OpenFunc asks the instance at address (IP:port of its peers' listener) for a tunnel to an
// endpoint. See peer.DialTunnel.
type OpenFunc func(ctx context.Context, address, endpoint string) (net.Conn, peer.TunnelStatus, error)

const (
	// maxAge is how long a tunnel is used for further requests. An instance that is about to
	// end thus loses its tunnels before it stops serving.
	maxAge = 2 * time.Second
	// linkTimeout is how long a connection by the own link may take before the link counts as
	// lost.
	linkTimeout = 300 * time.Millisecond
)

// Conn is a connection to an endpoint through another instance.
type Conn struct {
	net.Conn
	via       string
	openedAt  time.Time
	closeOnce sync.Once
	onClose   func()
}

// newConn returns a Conn through the named candidate, whose tunnels candidates counts.
func newConn(c net.Conn, via string, candidates *Candidates) *Conn {
	return &Conn{Conn: c, via: via, openedAt: time.Now(), onClose: func() { candidates.Closed(via) }}
}

// Via returns the name of the instance that the tunnel leads through.
func (c *Conn) Via() string { return c.via }

// ReusableUntil returns when the connection must no longer be used for further requests.
func (c *Conn) ReusableUntil() time.Time { return c.openedAt.Add(maxAge) }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return dial.SyscallConn(c.Conn) }

// AwaitDelivery implements dial.Deliverer.
func (c *Conn) AwaitDelivery(ctx context.Context) error { return dial.AwaitDelivery(ctx, c.Conn) }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}
