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

// clientCodec implements rpc.ClientCodec over a framedConn.
type clientCodec struct {
	framed   *framedConn
	lastRead *atomic.Int64   // Time of the last message read, in Unix nanoseconds.
	onClose  func()          // Called when reading from the connection has failed.
	body     cbor.RawMessage // Body of the response whose header was read last.
}

var _ rpc.ClientCodec = (*clientCodec)(nil)

// WriteRequest implements rpc.ClientCodec. It doesn't block: the message is queued.
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

// ReadResponseBody implements rpc.ClientCodec. It leaves the body encoded, for call to decode: a
// late response must not write to the reply of a call that has already returned.
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

// conn is one client connection to a peer.
type conn struct {
	rpc      *rpc.Client
	lastRead *atomic.Int64 // Time of the last message read, in Unix nanoseconds.
	lastUsed atomic.Int64  // Time of the last call other than Ping, in Unix nanoseconds.
	probing  atomic.Bool   // A probe is running.
	dead     chan struct{} // Closed when the connection must not be used again.
	deadOnce sync.Once
}

// newConn returns a conn over f, whose handshake is done and whose writer has started.
func newConn(f *framedConn) *conn {
	now := time.Now().UnixNano()
	c := &conn{lastRead: &atomic.Int64{}, dead: make(chan struct{})}
	c.lastRead.Store(now)
	c.lastUsed.Store(now)
	codec := &clientCodec{framed: f, lastRead: c.lastRead, onClose: c.markDead}
	c.rpc = rpc.NewClientWithCodec(codec)
	return c
}

// markDead makes the pool use another connection for further calls.
func (c *conn) markDead() { c.deadOnce.Do(func() { close(c.dead) }) }

// close closes the connection, which ends every call on it.
func (c *conn) close() {
	c.markDead()
	_ = c.rpc.Close()
}

// isDead reports whether the connection must not be used for further calls.
func (c *conn) isDead() bool {
	select {
	case <-c.dead:
		return true
	default:
		return false
	}
}

// call sends one call and waits for its reply until ctx ends.
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

// errNoProgress, joined with ErrUnreachable, reports that no message at all arrived on the
// connection while the call waited.
var errNoProgress = eris.New("peer: nothing received during the call")

// classifyError returns the error of Caller.Call for err, with which net/rpc ended a call before
// its deadline, and closes the connection unless it can still be used.
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

// probe sends a Ping, and closes the connection if no message arrives on it within timeout. It
// does nothing while another probe is running.
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

// monitor probes the connection whenever nothing was received on it for the heartbeat interval. It
// closes the connection and returns when the connection is dead or has not been used for the
// idle timeout.
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
