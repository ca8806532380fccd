package peer

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/dial"
	"guavapier/internal/record"
)

// TunnelRequest asks another instance for a connection to an endpoint.
type TunnelRequest struct {
	Endpoint string `cbor:"1,keyasint"` // Its ID; the other instance looks up the address.
}

// TunnelStatus is the result of a TunnelRequest. Its values are sent between instances.
type TunnelStatus uint8

const (
	// TunnelUnsupported is the reply of an instance that knows no tunnels.
	TunnelUnsupported TunnelStatus = iota
	// TunnelOpen means that the connection now carries the bytes of the one to the endpoint.
	TunnelOpen
	// TunnelRefused means that the endpoint's host refuses connections.
	TunnelRefused
	// TunnelTimeout means that the endpoint could not be connected to in time.
	TunnelTimeout
	// TunnelNoLinks means that the instance can't connect to any endpoint.
	TunnelNoLinks
	// TunnelBusy means that the instance is draining or has no capacity left.
	TunnelBusy
	// TunnelUnknownEndpoint means that the instance does not know the endpoint, or that it is
	// leaving.
	TunnelUnknownEndpoint
)

// String returns the status as log lines have it.
func (s TunnelStatus) String() string {
	names := [...]string{"unsupported", "open", "refused", "timeout", "no links", "busy", "unknown endpoint"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("status %d", uint8(s))
}

// TunnelHandler opens connections to endpoints for other instances. Its methods are called
// concurrently.
type TunnelHandler interface {
	// Open connects to an endpoint for the instance from. The connection is nil unless the
	// status is TunnelOpen.
	Open(from record.InstanceID, request TunnelRequest) (net.Conn, TunnelStatus)
	// Wrap returns the connection from the other instance as it is to be used for a tunnel.
	Wrap(net.Conn) net.Conn
	// Done is called once after each TunnelOpen, when both connections are closed.
	Done()
}

// maxTunnelChunk is the most bytes that a tunnel carries towards the caller in one chunk.
const maxTunnelChunk = 16 << 10

// DialTunnel connects to the instance at the other end of conn, an open connection to its
// peers' address, and asks it for a tunnel. It closes conn unless the status is TunnelOpen.
// An error means that the instance did not reply; nothing was sent to the endpoint then.
func DialTunnel(ctx context.Context, conn net.Conn, self record.InstanceID, request TunnelRequest) (net.Conn, TunnelStatus, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	f := newFramedConn(conn, DefaultWriteTimeout)
	var reply helloReply
	err := f.sendSync(hello{Version: protocolVersion, From: self, Tunnel: &request})
	if err == nil {
		err = f.receive(&reply)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil || reply.Tunnel != TunnelOpen {
		_ = conn.Close()
		return nil, reply.Tunnel, eris.Wrap(err, "peer: open tunnel")
	}
	_ = conn.SetWriteDeadline(time.Time{})
	return &tunnelConn{Conn: conn, reader: f.reader}, TunnelOpen, nil
}

// tunnelConn is the caller's end of a tunnel. What comes from the endpoint arrives in chunks
// of a two-byte length and so many bytes; a chunk without bytes says that the endpoint has
// closed its connection properly. So an end of the other instance can't be taken for the end
// of an answer.
type tunnelConn struct {
	net.Conn
	reader io.Reader
	left   int // Bytes of the current chunk that were not read yet.
	ended  bool
}

// SyscallConn implements syscall.Conn.
func (c *tunnelConn) SyscallConn() (syscall.RawConn, error) { return dial.SyscallConn(c.Conn) }

// Read implements net.Conn. It returns io.EOF only if the endpoint has closed its connection
// properly.
func (c *tunnelConn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		var length [2]byte
		if _, err := io.ReadFull(c.reader, length[:]); err != nil {
			return 0, unexpectedEnd(err)
		}
		if c.left = int(binary.BigEndian.Uint16(length[:])); c.left == 0 {
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, unexpectedEnd(err)
}

// unexpectedEnd returns err, or io.ErrUnexpectedEOF in place of io.EOF.
func unexpectedEnd(err error) error {
	if err == io.EOF { //nolint:errorlint // Readers return io.EOF itself.
		return io.ErrUnexpectedEOF
	}
	return err
}

// serveTunnel answers a TunnelRequest on a connection and carries the tunnel's bytes until
// one end closes it.
func (s *Server) serveTunnel(conn net.Conn, f *framedConn, from record.InstanceID, request TunnelRequest) {
	handler := s.tunnels
	endpoint, status := handler.Open(from, request)
	if status == TunnelOpen {
		defer handler.Done()
		defer endpoint.Close()
	}
	defer conn.Close()
	err := f.sendSync(helloReply{Version: protocolVersion, ID: s.self, Tunnel: status})
	if err != nil || status != TunnelOpen || f.reader.Buffered() > 0 {
		return // A caller sends nothing before it has the reply.
	}
	_ = conn.SetReadDeadline(time.Time{})
	_ = conn.SetWriteDeadline(time.Time{})
	joinTunnel(handler.Wrap(conn), endpoint)
}

// joinTunnel copies between both connections of a tunnel until one of them ends, and closes
// them.
func joinTunnel(peer, endpoint net.Conn) {
	var toEndpoint sync.WaitGroup
	toEndpoint.Go(func() {
		_, _ = io.CopyBuffer(struct{ io.Writer }{endpoint}, struct{ io.Reader }{peer}, make([]byte, maxTunnelChunk))
		_ = endpoint.Close() // Stops the endpoint's work: the caller is gone.
		_ = peer.Close()
	})
	copyChunks(peer, endpoint)
	_ = endpoint.Close()
	_ = peer.Close()
	toEndpoint.Wait()
}

// copyChunks copies what the endpoint sends in chunks, and its proper end.
func copyChunks(to io.Writer, from io.Reader) {
	const lengthBytes = 2
	buffer := make([]byte, lengthBytes+maxTunnelChunk)
	for {
		n, err := from.Read(buffer[lengthBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, err := to.Write(buffer[:lengthBytes+n]); err != nil {
				return
			}
		}
		if err == io.EOF { //nolint:errorlint // Connections return io.EOF itself.
			_, _ = to.Write([]byte{0, 0})
		}
		if err != nil {
			return
		}
	}
}
