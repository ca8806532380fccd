package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"guavapier/internal/record"
)

// Options bound a Pool. A zero field takes its default.
type Options struct {
	// CallTimeout bounds a call whose context has no earlier deadline.
	CallTimeout time.Duration
	// DialTimeout bounds dialling and greeting a peer.
	DialTimeout time.Duration
	// HeartbeatInterval is how long a connection may be quiet before it is probed.
	HeartbeatInterval time.Duration
	// ProbeTimeout is how long a probed connection has to show a sign of life.
	ProbeTimeout time.Duration
	// WriteTimeout is how long one write may block before its connection is given up.
	WriteTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// Dialer dials a TCP address; TLS goes here.
	Dialer func(ctx context.Context, address string) (net.Conn, error)
}

// The defaults: a silent connection is found within Heartbeat + Probe.
const (
	DefaultCallTimeout       = 2 * time.Second
	DefaultDialTimeout       = time.Second
	DefaultHeartbeatInterval = time.Second
	DefaultProbeTimeout      = 500 * time.Millisecond
	DefaultWriteTimeout      = time.Second
	DefaultIdleTimeout       = time.Minute
)

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

// Pool is a Caller with one connection per peer, dialled on demand. It is safe
// for concurrent use.
type Pool struct {
	self      record.InstanceID
	addresses Addresses
	opts      Options

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	entries map[record.InstanceID]*poolEntry
	closed  bool
}

var _ Caller = (*Pool)(nil)

// poolEntry is the place of one peer's connection. ready is closed when dialling
// has ended; conn and err are set before.
type poolEntry struct {
	ready chan struct{}
	conn  *conn
	err   error
}

// NewPool returns a pool that calls as self.
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

// Ping calls the peer's heartbeat method.
func (p *Pool) Ping(ctx context.Context, to record.InstanceID) error {
	return p.Call(ctx, to, pingMethod, Ping{}, nil)
}

// Close closes all connections and waits for their goroutines.
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

// liveConn returns the live liveConn to a peer, dialling it where there is
// none. Callers share one dial.
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

func (p *Pool) remove(to record.InstanceID, e *poolEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[to] == e {
		delete(p.entries, to)
	}
}

// runConn dials a peer and watches its connection to the end.
func (p *Pool) runConn(to record.InstanceID, e *poolEntry) {
	defer p.remove(to, e)
	e.conn, e.err = p.dial(to)
	close(e.ready)
	if e.err == nil {
		e.conn.monitor(p.opts)
	}
}

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

// startProbe looks after a connection on which a call saw no progress.
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
