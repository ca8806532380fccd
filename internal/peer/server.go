package peer

import (
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Limits of a Server.
const (
	// MaxConns limits the open connections. In a fleet of 410 instances there is at most one
	// from each, and two from each while connections are replaced; the rest is for tunnels,
	// whose number the TunnelHandler limits.
	MaxConns = 1280
	// maxUnknownConns limits those of them whose hello has not arrived. A new one closes the
	// oldest; an instance sends its hello at once.
	maxUnknownConns = 128
	// acceptRetryPause is the pause after a connection could not be accepted, such as for lack of
	// file descriptors.
	acceptRetryPause = 50 * time.Millisecond
	// maxCallsPerConn limits the calls of one connection that are served at the same time.
	// Further calls stay unread on the connection, so that a peer cannot exhaust this
	// instance's memory.
	maxCallsPerConn = 256
	// requestReadTimeout is how long a caller may send nothing, not even a heartbeat, before
	// its connection is closed.
	requestReadTimeout = 15 * time.Second

	serviceName = "peer.Service"
	pingMethod  = serviceName + ".Ping"
)

// errNoAddress reports that Addresses has no address of the instance to call.
var errNoAddress = eris.New("peer: address of the instance not known")

// Ping is the empty argument and reply of the heartbeat method.
type Ping struct{}

// Service has the net/rpc methods that each Server serves.
type Service struct{}

// Ping replies to a heartbeat.
func (Service) Ping(Ping, *Ping) error { return nil }

// Server serves calls from peers. It is safe for concurrent use.
type Server struct {
	self    record.InstanceID
	rpc     *rpc.Server
	tunnels TunnelHandler // Nil if the server opens no tunnels.

	mu      sync.Mutex // Guards conns, unknown and closed.
	conns   map[net.Conn]struct{}
	unknown []net.Conn // Those of conns whose hello has not arrived, oldest first.
	closed  bool
	running sync.WaitGroup // One for each connection in conns.
}

// NewServer returns a server for the calls to the instance self. It serves Ping; other methods are
// added with Register.
func NewServer(self record.InstanceID) *Server {
	s := &Server{self: self, rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	if err := s.Register(serviceName, Service{}); err != nil {
		panic(err) // Not possible: Service has a method of the form that net/rpc requires.
	}
	return s
}

// Register makes the server serve the receiver's methods as name.Method. They must have the form
// that net/rpc requires. net/rpc passes them no context, so each must bound its own duration.
// All receivers must be registered before Serve is called.
func (s *Server) Register(name string, receiver any) error {
	return eris.Wrapf(s.rpc.RegisterName(name, receiver), "peer: register service %s", name)
}

// HandleTunnels makes the server open tunnels. It must be called before Serve.
func (s *Server) HandleTunnels(h TunnelHandler) { s.tunnels = h }

// Serve accepts connections and serves their calls until the listener is closed, for which it
// returns nil. See Close.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if isTemporary(err) {
			time.Sleep(acceptRetryPause)
			continue
		}
		if err != nil {
			return eris.Wrap(err, "peer: accept connection")
		}
		if !s.addConn(conn) {
			_ = conn.Close()
			continue
		}
		go s.serveConn(conn)
	}
}

// isTemporary reports whether a later connection may be accepted all the same.
func isTemporary(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// Close closes all connections and waits until the calls on them have ended. The listener must be
// closed before.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// addConn registers a connection. It returns false if the server is closed or has MaxConns. The
// oldest connection without a hello is closed if there are maxUnknownConns.
func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= MaxConns {
		return false
	}
	if len(s.unknown) >= maxUnknownConns {
		_ = s.unknown[0].Close()
		s.unknown = s.unknown[1:]
	}
	s.conns[conn] = struct{}{}
	s.unknown = append(s.unknown, conn)
	s.running.Add(1)
	return true
}

// markKnown records that a connection's hello has arrived, or that none will.
func (s *Server) markKnown(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.unknown, conn); i >= 0 {
		s.unknown = slices.Delete(s.unknown, i, i+1)
	}
}

// serveConn does the handshake on a connection and serves its calls, or its tunnel, until it is
// closed.
func (s *Server) serveConn(conn net.Conn) {
	defer s.running.Done()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	f := newFramedConn(conn, DefaultWriteTimeout)
	got, err := readHello(conn, f, DefaultDialTimeout)
	s.markKnown(conn)
	if err == nil && got.Tunnel != nil && s.tunnels != nil {
		s.serveTunnel(conn, f, got.From, *got.Tunnel)
		return
	}
	if err == nil {
		err = serverHandshake(f, s.self, got)
	}
	if err != nil {
		_ = conn.Close()
		return
	}
	f.startWriter()
	// ServeCodec returns when the connection is closed and its calls have ended.
	s.rpc.ServeCodec(&serverCodec{conn: conn, framed: f, callSlots: make(chan struct{}, maxCallsPerConn)})
}

// serverCodec implements rpc.ServerCodec over a framedConn.
type serverCodec struct {
	conn      net.Conn
	framed    *framedConn
	body      cbor.RawMessage // Body of the request whose header was read last.
	callSlots chan struct{}   // Holds one token for each call being served.
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

// ReadRequestHeader implements rpc.ServerCodec. It blocks while maxCallsPerConn calls of the
// connection are being served.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(requestReadTimeout))
	var m message
	if err := c.framed.receive(&m); err != nil {
		return err
	}
	c.callSlots <- struct{}{}
	r.ServiceMethod, r.Seq = m.Header.Method, m.Header.Seq
	c.body = m.Body
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(args any) error {
	if args == nil {
		return nil
	}
	return cbor.Unmarshal(c.body, args)
}

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once for each request that was read.
// If the reply is too large, it sends the error text of ErrTooLarge instead.
func (c *serverCodec) WriteResponse(r *rpc.Response, reply any) error {
	<-c.callSlots
	body, err := cbor.Marshal(reply)
	if err != nil {
		return eris.Wrap(err, "peer: encode reply")
	}
	h := header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}
	err = c.framed.send(message{Header: h, Body: body})
	if errors.Is(err, ErrTooLarge) {
		h.Error = ErrTooLarge.Error()
		err = c.framed.send(message{Header: h, Body: cborNull})
	}
	return err
}

// cborNull is the CBOR encoding of null, the body of a response without a reply.
var cborNull = cbor.RawMessage{0xf6}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	c.framed.close(rpc.ErrShutdown)
	return nil
}
