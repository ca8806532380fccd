package peer

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// clientCodec is net/rpc's client codec over frames.
type clientCodec struct {
	framed   *framedConn
	lastRead *atomic.Int64 // Unix nanoseconds of the last message read.
	onClose  func()        // Told when the connection has ended.
	body     cbor.RawMessage
}

var _ rpc.ClientCodec = (*clientCodec)(nil)

// WriteRequest implements rpc.ClientCodec; it never blocks.
func (c *clientCodec) WriteRequest(r *rpc.Request, args any) error {
	body, err := cbor.Marshal(args)
	if err != nil {
		return eris.Wrap(err, "peer: encode arguments")
	}
	return c.framed.send(message{Header: header{Method: r.ServiceMethod, Seq: r.Seq}, Body: body})
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var m message
	if err := c.framed.receive(&m); err != nil {
		c.onClose()
		return err
	}
	c.lastRead.Store(time.Now().UnixNano())
	r.ServiceMethod, r.Seq, r.Error = m.Header.Method, m.Header.Seq, m.Header.Error
	c.body = m.Body
	return nil
}

// ReadResponseBody implements rpc.ClientCodec. The body stays encoded: a call
// that was given up must not have its reply written to later.
func (c *clientCodec) ReadResponseBody(reply any) error {
	if raw, ok := reply.(*cbor.RawMessage); ok {
		*raw = c.body
	}
	return nil
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.framed.close(rpc.ErrShutdown)
	return nil
}

// conn is one connection to a peer.
type conn struct {
	rpc      *rpc.Client
	lastRead *atomic.Int64
	lastUsed atomic.Int64 // Unix nanoseconds of the last call but Ping.
	probing  atomic.Bool
	dead     chan struct{} // Closed when the connection must not be used again.
	deadOnce sync.Once
}

func newConn(f *framedConn) *conn {
	now := time.Now().UnixNano()
	c := &conn{lastRead: &atomic.Int64{}, dead: make(chan struct{})}
	c.lastRead.Store(now)
	c.lastUsed.Store(now)
	codec := &clientCodec{framed: f, lastRead: c.lastRead, onClose: c.markDead}
	c.rpc = rpc.NewClientWithCodec(codec)
	return c
}

// markDead keeps the connection from being used again.
func (c *conn) markDead() { c.deadOnce.Do(func() { close(c.dead) }) }

// close closes the connection; every call on it ends.
func (c *conn) close() {
	c.markDead()
	_ = c.rpc.Close()
}

func (c *conn) isDead() bool {
	select {
	case <-c.dead:
		return true
	default:
		return false
	}
}

// call sends one call and waits for its answer until ctx ends.
func (c *conn) call(ctx context.Context, method string, args, reply any) error {
	var raw cbor.RawMessage
	began := time.Now().UnixNano()
	pending := c.rpc.Go(method, args, &raw, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
	case <-ctx.Done():
		if c.lastRead.Load() < began {
			return errors.Join(ErrUnreachable, errNoProgress, ctx.Err())
		}
		return errors.Join(ErrUnreachable, ctx.Err())
	}
	if pending.Error != nil {
		return c.classifyError(pending.Error)
	}
	if reply == nil {
		return nil
	}
	return eris.Wrap(cbor.Unmarshal(raw, reply), "peer: decode reply")
}

// errNoProgress goes with ErrUnreachable where nothing at all came on the
// connection while the call waited.
var errNoProgress = eris.New("peer: connection shows no progress")

// classifyError sorts the error of a call that ended before its deadline.
func (c *conn) classifyError(err error) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return remote
	}
	if errors.Is(err, ErrTooLarge) {
		return errors.Join(ErrNotSent, err)
	}
	c.close()
	return errors.Join(ErrUnreachable, err)
}

// probe sends a Ping and abandons the connection if nothing came on it within
// timeout. One probe at a time.
func (c *conn) probe(timeout time.Duration) {
	if !c.probing.CompareAndSwap(false, true) {
		return
	}
	defer c.probing.Store(false)
	began := time.Now().UnixNano()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := c.call(ctx, pingMethod, Ping{}, nil)
	if err != nil && c.lastRead.Load() < began {
		c.close()
	}
}

// monitor sends heartbeats while the connection is quiet. It ends when the
// connection is dead or was not used for idle.
func (c *conn) monitor(o Options) {
	ticker := time.NewTicker(o.HeartbeatInterval)
	defer ticker.Stop()
	defer c.close()
	for {
		select {
		case <-c.dead:
			return
		case now := <-ticker.C:
			if now.Sub(time.Unix(0, c.lastUsed.Load())) > o.IdleTimeout {
				return
			}
			if now.Sub(time.Unix(0, c.lastRead.Load())) >= o.HeartbeatInterval {
				c.probe(o.ProbeTimeout)
			}
		}
	}
}
