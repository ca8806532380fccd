package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"guavapier/internal/record"
)

// Options configures a Pool. A field that is zero has its default.
type Options struct {
	// CallTimeout bounds a call, dialing included.
	CallTimeout time.Duration
	// DialTimeout bounds dialing a peer, and after it the handshake.
	DialTimeout time.Duration
	// HeartbeatInterval is how long nothing may be received on a connection before it is
	// probed with a Ping.
	HeartbeatInterval time.Duration
	// ProbeTimeout is how long after a probe nothing may be received before the connection is
	// closed.
	ProbeTimeout time.Duration
	// WriteTimeout is how long one write may block before the connection is closed.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection is kept on which no call other than Ping is made.
	IdleTimeout time.Duration
	// Dialer connects to a TCP address (IP:port). One that returns a TLS connection makes the
	// pool use TLS.
	Dialer func(ctx context.Context, address string) (net.Conn, error)
}

// Defaults of Options. Since connections are checked once per heartbeat interval, one that went
// silent is closed at most two heartbeat intervals and a probe timeout after the last message.
const (
	DefaultCallTimeout       = 2 * time.Second
	DefaultDialTimeout       = time.Second
	DefaultHeartbeatInterval = time.Second
	DefaultProbeTimeout      = 500 * time.Millisecond
	DefaultWriteTimeout      = time.Second
	DefaultIdleTimeout       = time.Minute
)

// withDefaults returns o with the defaults in place of zero fields.
func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&o.CallTimeout, DefaultCallTimeout)
	set(&o.DialTimeout, DefaultDialTimeout)
	set(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	set(&o.ProbeTimeout, DefaultProbeTimeout)
	set(&o.WriteTimeout, DefaultWriteTimeout)
	set(&o.IdleTimeout, DefaultIdleTimeout)
	if o.Dialer == nil {
		o.Dialer = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return o
}

// Pool is a Caller with one connection per peer, dialed on demand. It is safe for concurrent
// use.
type Pool struct {
	self      record.InstanceID
	addresses Addresses
	opts      Options

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup // The pool's goroutines.

	mu      sync.Mutex // Guards the fields below.
	entries map[record.InstanceID]*poolEntry
	closed  bool
}

var _ Caller = (*Pool)(nil)

// poolEntry holds the connection to one peer, or the error of dialing it. conn and err are set
// before ready is closed.
type poolEntry struct {
	ready chan struct{}
	conn  *conn
	err   error
}

// NewPool returns a pool for the calls of the instance self.
func NewPool(self record.InstanceID, addresses Addresses, opts Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		self: self, addresses: addresses, opts: opts.withDefaults(),
		ctx: ctx, cancel: cancel, entries: map[record.InstanceID]*poolEntry{},
	}
}

// Call implements Caller.
func (p *Pool) Call(ctx context.Context, to record.InstanceID, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer cancel()
	c, err := p.liveConn(ctx, to)
	if err != nil {
		return errors.Join(ErrUnreachable, ErrNotSent, err)
	}
	if method != pingMethod {
		c.lastUsed.Store(time.Now().UnixNano())
	}
	err = c.call(ctx, method, args, reply)
	if errors.Is(err, errNoProgress) {
		p.startProbe(c)
	}
	return err
}

// Ping calls a peer's heartbeat method. It doesn't count as use of the connection; see
// Options.IdleTimeout.
func (p *Pool) Ping(ctx context.Context, to record.InstanceID) error {
	return p.Call(ctx, to, pingMethod, Ping{}, nil)
}

// Close closes all connections, which ends the calls on them, and waits for the pool's
// goroutines. Later calls return ErrClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	entries := p.entries
	p.entries = map[record.InstanceID]*poolEntry{}
	p.mu.Unlock()
	p.cancel()
	for _, e := range entries {
		<-e.ready
		if e.conn != nil {
			e.conn.close()
		}
	}
	p.running.Wait()
}

// liveConn returns the open connection to a peer. It dials the peer if there is none; concurrent
// callers share one dial.
func (p *Pool) liveConn(ctx context.Context, to record.InstanceID) (*conn, error) {
	for {
		e, err := p.entryFor(to)
		if err != nil {
			return nil, err
		}
		select {
		case <-e.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if e.err != nil {
			return nil, e.err
		}
		if !e.conn.isDead() {
			return e.conn, nil
		}
		p.remove(to, e)
	}
}

// entryFor returns a peer's entry. If there is none it adds one and starts to dial the peer.
func (p *Pool) entryFor(to record.InstanceID) (*poolEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if e, ok := p.entries[to]; ok {
		return e, nil
	}
	e := &poolEntry{ready: make(chan struct{})}
	p.entries[to] = e
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		p.runConn(to, e)
	}()
	return e, nil
}

// remove removes a peer's entry, unless another one has taken its place.
func (p *Pool) remove(to record.InstanceID, e *poolEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[to] == e {
		delete(p.entries, to)
	}
}

// runConn dials a peer for e and monitors the connection until it is closed.
func (p *Pool) runConn(to record.InstanceID, e *poolEntry) {
	defer p.remove(to, e)
	e.conn, e.err = p.dial(to)
	close(e.ready)
	if e.err == nil {
		e.conn.monitor(p.opts)
	}
}

// dial connects to a peer and does the handshake.
func (p *Pool) dial(to record.InstanceID) (*conn, error) {
	address, ok := p.addresses.PeerAddr(to)
	if !ok {
		return nil, errNoAddress
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.opts.DialTimeout)
	defer cancel()
	raw, err := p.opts.Dialer(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(p.ctx, func() { _ = raw.Close() })
	defer stop()
	f := newFramedConn(raw, p.opts.WriteTimeout)
	if err := clientHandshake(raw, f, p.self, to, p.opts.DialTimeout); err != nil {
		_ = raw.Close()
		return nil, err
	}
	f.startWriter()
	return newConn(f), nil
}

// startProbe probes, in a goroutine, a connection on which nothing was received during a call.
func (p *Pool) startProbe(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		c.probe(p.opts.ProbeTimeout)
	}()
}
