// Package linkload watches how full an instance's network link is, and decides when
// its callers are sent to other instances.
package linkload

import (
	"context"
	"net"
	"sync/atomic"

	"guavapier/internal/dial"
)

// Meter counts the bytes that cross the link, by direction. A nil Meter counts nothing.
type Meter struct {
	in, out atomic.Int64
}

// CountReceived counts bytes that came in.
func (m *Meter) CountReceived(n int) {
	if m != nil {
		m.in.Add(int64(n))
	}
}

// CountSent counts bytes that went out.
func (m *Meter) CountSent(n int) {
	if m != nil {
		m.out.Add(int64(n))
	}
}

// Total returns the bytes since the start.
func (m *Meter) Total() ByteCounts { return ByteCounts{In: m.in.Load(), Out: m.out.Load()} }

// ByteCounts are counts by direction.
type ByteCounts struct {
	In, Out int64
}

// WrapDial counts the bytes of the connections that next makes.
func (m *Meter) WrapDial(next dial.Func) dial.Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, meter: m}, nil
	}
}

// countingConn is a connection whose bytes are counted.
type countingConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.CountReceived(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.CountSent(n)
	return n, err
}
