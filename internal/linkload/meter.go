// Package linkload measures the utilisation of an instance's network link and decides
// when callers are sent to other instances (load shedding).
package linkload

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"guavapier/internal/dial"
)

// Meter counts the bytes that are transferred over the link, by direction. The zero
// value is ready for use, and CountReceived and CountSent do nothing on a nil Meter. It
// is safe for concurrent use.
type Meter struct {
	in, out, connections atomic.Int64
}

// CountConnection adds a connection that a caller has made.
func (m *Meter) CountConnection() {
	if m != nil {
		m.connections.Add(1)
	}
}

// CountReceived adds n bytes to those received.
func (m *Meter) CountReceived(n int) {
	if m != nil {
		m.in.Add(int64(n))
	}
}

// CountSent adds n bytes to those sent.
func (m *Meter) CountSent(n int) {
	if m != nil {
		m.out.Add(int64(n))
	}
}

// Total returns what has been counted since the process started.
func (m *Meter) Total() Counts {
	return Counts{In: m.in.Load(), Out: m.out.Load(), Connections: m.connections.Load()}
}

// Counts are numbers of bytes received (In) and sent (Out), and of connections that callers
// have made.
type Counts struct {
	In, Out     int64
	Connections int64
}

// WrapDial returns a dial function that counts the bytes of the connections that next
// makes.
func (m *Meter) WrapDial(next dial.Func) dial.Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.WrapConn(c), nil
	}
}

// WrapConn returns the connection with its bytes counted.
func (m *Meter) WrapConn(c net.Conn) net.Conn { return &countingConn{Conn: c, meter: m} }

// countingConn is a connection whose bytes are counted by a Meter.
type countingConn struct {
	net.Conn
	meter *Meter
}

// SyscallConn implements syscall.Conn.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) { return dial.SyscallConn(c.Conn) }

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
