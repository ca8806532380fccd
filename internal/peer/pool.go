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
	// Call bounds a call whose context has no earlier deadline.
	Call time.Duration
	// Dial bounds dialling and greeting a peer.
	Dial time.Duration
	// Heartbeat is how long a connection may be quiet before it is probed.
	Heartbeat time.Duration
	// Probe is how long a probed connection has to show a sign of life.
	Probe time.Duration
	// Write is how long one write may block before its connection is given up.
	Write time.Duration
	// Idle is how long an unused connection is kept.
	Idle time.Duration
	// Dialer dials a TCP address; TLS goes here.
	Dialer func(ctx context.Context, address string) (net.Conn, error)
}

// The defaults: a silent connection is found within Heartbeat + Probe.
const (
	DefaultCall      = 2 * time.Second
	DefaultDial      = time.Second
	DefaultHeartbeat = time.Second
	DefaultProbe     = 500 * time.Millisecond
	DefaultWrite     = time.Second
	DefaultIdle      = time.Minute
)

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&o.Call, DefaultCall)
	set(&o.Dial, DefaultDial)
	set(&o.Heartbeat, DefaultHeartbeat)
	set(&o.Probe, DefaultProbe)
	set(&o.Write, DefaultWrite)
	set(&o.Idle, DefaultIdle)
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

	mu     sync.Mutex
	slots  map[record.InstanceID]*slot
	closed bool
}

var _ Caller = (*Pool)(nil)

// slot is the place of one peer's connection. ready is closed when dialling
// has ended; conn and err are set before.
type slot struct {
	ready chan struct{}
	conn  *conn
	err   error
}

// NewPool returns a pool that calls as self.
func NewPool(self record.InstanceID, addresses Addresses, opts Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		self: self, addresses: addresses, opts: opts.withDefaults(),
		ctx: ctx, cancel: cancel, slots: map[record.InstanceID]*slot{},
	}
}

// Call implements Caller.
func (p *Pool) Call(ctx context.Context, to record.InstanceID, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Call)
	defer cancel()
	c, err := p.connection(ctx, to)
	if err != nil {
		return errors.Join(ErrUnreachable, ErrNotSent, err)
	}
	if method != pingMethod {
		c.lastUsed.Store(time.Now().UnixNano())
	}
	err = c.call(ctx, method, args, reply)
	if errors.Is(err, errNoProgress) {
		p.probe(c)
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
	slots := p.slots
	p.slots = map[record.InstanceID]*slot{}
	p.mu.Unlock()
	p.cancel()
	for _, s := range slots {
		<-s.ready
		if s.conn != nil {
			s.conn.abandon()
		}
	}
	p.running.Wait()
}

// connection returns the live connection to a peer, dialling it where there is
// none. Callers share one dial.
func (p *Pool) connection(ctx context.Context, to record.InstanceID) (*conn, error) {
	for {
		s, err := p.slot(to)
		if err != nil {
			return nil, err
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if s.err != nil {
			return nil, s.err
		}
		if !s.conn.isDead() {
			return s.conn, nil
		}
		p.drop(to, s)
	}
}

func (p *Pool) slot(to record.InstanceID) (*slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if s, ok := p.slots[to]; ok {
		return s, nil
	}
	s := &slot{ready: make(chan struct{})}
	p.slots[to] = s
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		p.keep(to, s)
	}()
	return s, nil
}

func (p *Pool) drop(to record.InstanceID, s *slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slots[to] == s {
		delete(p.slots, to)
	}
}

// keep dials a peer and watches its connection to the end.
func (p *Pool) keep(to record.InstanceID, s *slot) {
	defer p.drop(to, s)
	s.conn, s.err = p.dial(to)
	close(s.ready)
	if s.err == nil {
		s.conn.watch(p.opts)
	}
}

func (p *Pool) dial(to record.InstanceID) (*conn, error) {
	address, ok := p.addresses.PeerAddr(to)
	if !ok {
		return nil, errNoAddress
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.opts.Dial)
	defer cancel()
	raw, err := p.opts.Dialer(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(p.ctx, func() { _ = raw.Close() })
	defer stop()
	f := newFrames(raw, p.opts.Write)
	if err := greet(raw, f, p.self, to, p.opts.Dial); err != nil {
		_ = raw.Close()
		return nil, err
	}
	f.start()
	return newConn(f), nil
}

// probe looks after a connection on which a call saw no progress.
func (p *Pool) probe(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		c.probe(p.opts.Probe)
	}()
}
