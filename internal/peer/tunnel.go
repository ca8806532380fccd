package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
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

const (
	// maxTunnelChunk is the most bytes that a tunnel carries towards the caller in one chunk.
	maxTunnelChunk = 16 << 10
	// receivedBytes is the size of the count of bytes that the endpoint has received, after the last chunk.
	receivedBytes = 8
	// maxEndWait bounds how long an endpoint that has ended its direction may take to receive the rest of what was
	// written to it.
	maxEndWait = 10 * time.Second
)

// errNotReceived reports that the endpoint had not received all that was written to a tunnel when it closed its
// connection.
var errNotReceived = eris.New("peer: the endpoint closed its connection before it had received the request")

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
// of an answer. The count of bytes that the endpoint has received follows; an instance of an
// older build leaves it out.
type tunnelConn struct {
	net.Conn
	reader   io.Reader
	left     int // Bytes of the current chunk that were not read yet.
	ended    bool
	counted  bool   // The other instance has told received.
	received uint64 // Bytes that the endpoint has received. Written before ended is set.
	written  atomic.Uint64
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
			return 0, c.readEnd()
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, unexpectedEnd(err)
}

// readEnd reads what follows the last chunk. It returns io.EOF at the proper end.
func (c *tunnelConn) readEnd() error {
	var received [receivedBytes]byte
	switch _, err := io.ReadFull(c.reader, received[:]); {
	case err == nil:
		c.received, c.counted = binary.BigEndian.Uint64(received[:]), true
	case !errors.Is(err, io.EOF):
		return unexpectedEnd(err)
	}
	c.ended = true
	return io.EOF
}

// Write implements net.Conn.
func (c *tunnelConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(uint64(n))
	return n, err
}

// AwaitDelivery implements dial.Deliverer. It must be called by the reader of the tunnel, which
// is told what the endpoint has received at the end.
func (c *tunnelConn) AwaitDelivery(ctx context.Context) error {
	if written := c.written.Load(); c.counted && c.received != written {
		return eris.Wrapf(errNotReceived, "peer: %d of %d bytes received", c.received, written)
	}
	return dial.AwaitDelivery(ctx, c.Conn)
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
	requests := &endpointWriter{endpoint: endpoint}
	toEndpoint.Go(func() {
		_, _ = io.CopyBuffer(requests, struct{ io.Reader }{peer}, make([]byte, maxTunnelChunk))
		_ = endpoint.Close() // Stops the endpoint's work: the caller is gone.
		_ = peer.Close()
	})
	if copyChunks(peer, endpoint) {
		sendEnd(peer, requests)
	}
	_ = endpoint.Close()
	_ = peer.Close()
	toEndpoint.Wait()
}

// copyChunks copies what the endpoint sends in chunks. It reports whether the end of that was
// reached.
func copyChunks(to io.Writer, from io.Reader) (ended bool) {
	const lengthBytes = 2
	buffer := make([]byte, lengthBytes+maxTunnelChunk)
	for {
		n, err := from.Read(buffer[lengthBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, err := to.Write(buffer[:lengthBytes+n]); err != nil {
				return false
			}
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// sendEnd tells the caller's instance that the endpoint has closed its connection properly, and
// how much it has received. It sends nothing if the connection was reset.
func sendEnd(to io.Writer, requests *endpointWriter) {
	received, err := requests.awaitReceived()
	if err != nil {
		return // Without the proper end, the caller's instance takes the connection for broken.
	}
	const emptyChunk = "\x00\x00"
	_, _ = to.Write(binary.BigEndian.AppendUint64([]byte(emptyChunk), received))
}

// endpointWriter writes to the endpoint of a tunnel and counts the bytes.
type endpointWriter struct {
	endpoint net.Conn
	mu       sync.Mutex // Held during a write.
	written  uint64
	err      error // Of the first write that has failed.
}

// Write implements io.Writer.
func (w *endpointWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	n, err := w.endpoint.Write(p)
	w.written += uint64(n)
	w.err = err
	return n, err
}

// awaitReceived waits until the endpoint has received all that was written to it, for at most
// maxEndWait, and returns how many bytes that are. It fails if the connection was reset.
func (w *endpointWriter) awaitReceived() (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxEndWait)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = w.endpoint.Close() }) // Ends a write that is blocked.
	defer stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	return w.written, dial.AwaitDelivery(ctx, w.endpoint)
}
