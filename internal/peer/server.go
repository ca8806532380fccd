package peer

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Bounds of a Server.
const (
	// MaxConns bounds open connections. A fleet of 410 instances has at most
	// one from each, and twice that while connections are replaced.
	MaxConns = 1024
	// maxCallsPerConn bounds the calls at work for one connection; further ones wait
	// in the connection, so that one peer cannot take all memory.
	maxCallsPerConn = 256
	// requestReadTimeout ends a connection on which a caller sent nothing, not even
	// its heartbeats.
	requestReadTimeout = 15 * time.Second

	serviceName = "peer.Service"
	pingMethod  = serviceName + ".Ping"
)

// errNoAddress says that the instance list has no address of the peer.
var errNoAddress = eris.New("peer: no address known")

// Ping is the argument and the answer of the heartbeat.
type Ping struct{}

// Service has the methods that this package itself serves.
type Service struct{}

// Ping answers a heartbeat.
func (Service) Ping(Ping, *Ping) error { return nil }

// Server serves calls from peers. It is safe for concurrent use.
type Server struct {
	self record.InstanceID
	rpc  *rpc.Server

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	closed  bool
	running sync.WaitGroup
}

// NewServer returns a server that answers as self. It serves Ping.
func NewServer(self record.InstanceID) *Server {
	s := &Server{self: self, rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	if err := s.Register(serviceName, Service{}); err != nil {
		panic(err) // The methods above have the form that net/rpc wants.
	}
	return s
}

// Register serves a receiver's methods, in the form that net/rpc wants, as
// name.Method. net/rpc gives methods no context: each must end by a bound of
// its own. Register everything before Serve.
func (s *Server) Register(name string, receiver any) error {
	return eris.Wrapf(s.rpc.RegisterName(name, receiver), "peer: register %s", name)
}

// Serve accepts peers until the listener is closed; see Close.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "peer: accept")
		}
		if !s.addConn(conn) {
			_ = conn.Close()
			continue
		}
		go s.serveConn(conn)
	}
}

// Close ends all connections and waits until their calls have ended. Close the
// listener first.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= MaxConns {
		return false
	}
	s.conns[conn] = struct{}{}
	s.running.Add(1)
	return true
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.running.Done()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	f := newFramedConn(conn, DefaultWriteTimeout)
	if err := serverHandshake(conn, f, s.self, DefaultDialTimeout); err != nil {
		_ = conn.Close()
		return
	}
	f.startWriter()
	// ServeCodec returns when the connection has ended and its calls too.
	s.rpc.ServeCodec(&serverCodec{conn: conn, framed: f, callSlots: make(chan struct{}, maxCallsPerConn)})
}

// serverCodec is net/rpc's server codec over frames.
type serverCodec struct {
	conn      net.Conn
	framed    *framedConn
	body      cbor.RawMessage
	callSlots chan struct{} // One token for each call at work.
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

// ReadRequestHeader implements rpc.ServerCodec. It waits while too many calls
// are at work.
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

// WriteResponse implements rpc.ServerCodec; net/rpc calls it once for each
// request that was read.
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

// cborNull is the encoding of no value.
var cborNull = cbor.RawMessage{0xf6}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	c.framed.close(rpc.ErrShutdown)
	return nil
}
