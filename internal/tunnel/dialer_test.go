package tunnel

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/peer"
)

// fakeNetwork is the network of one instance and what it knows of its links. The endpoint "e"
// is the only one that is dialed.
type fakeNetwork struct {
	t *testing.T
	// link and instances decide the own link's and each other instance's way to the endpoint.
	link      way
	instances map[string]way
	// withoutLinks states that the links to all other endpoints are lost.
	withoutLinks bool

	mu    sync.Mutex // Guards the rest.
	asked []string   // Addresses of the instances that were asked for a tunnel.
	lost  bool       // The own link is recorded as lost.
	open  int        // Connections that were made and not closed.
}

// way is what happens on one way to the endpoint.
type way struct {
	delay  time.Duration
	status peer.TunnelStatus // Of an instance; TunnelUnsupported for none.
	err    error
}

var connects = way{delay: 5 * time.Millisecond, status: peer.TunnelOpen}

// countedConn is a connection that is counted while it is open.
type countedConn struct {
	net.Conn
	network *fakeNetwork
}

func (c countedConn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.open--
	return nil
}

func (n *fakeNetwork) connect(ctx context.Context, w way) (net.Conn, error) {
	select {
	case <-time.After(w.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if w.err != nil || w.status != peer.TunnelOpen {
		return nil, w.err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open++
	return countedConn{network: n}, nil
}

func (n *fakeNetwork) dialer() *Dialer {
	candidates := NewCandidates("z", 1)
	var list []Candidate
	for name := range n.instances {
		list = append(list, Candidate{Name: name, Zone: "z", Address: name})
	}
	slices.SortFunc(list, func(a, b Candidate) int { return len(a.Name) - len(b.Name) })
	candidates.Set(list)
	start := time.Now()
	return &Dialer{
		Direct: func(ctx context.Context, _, _ string) (net.Conn, error) { return n.connect(ctx, n.link) },
		Open: func(ctx context.Context, address, _ string) (net.Conn, peer.TunnelStatus, error) {
			n.mu.Lock()
			n.asked = append(n.asked, address)
			n.mu.Unlock()
			conn, err := n.connect(ctx, n.instances[address])
			if ctx.Err() != nil {
				return nil, peer.TunnelUnsupported, ctx.Err()
			}
			return conn, n.instances[address].status, err
		},
		Links: n, Candidates: candidates, IsCongested: func() bool { return false }, OnOpened: func() {},
		Clock: func() time.Duration { return time.Since(start) }, Log: zerolog.Nop(),
	}
}

func (n *fakeNetwork) HasLink(string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.lost
}

func (n *fakeNetwork) RecordLink(_ string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = err != nil
}

func (n *fakeNetwork) HasAnyLink() bool { return !n.withoutLinks }

// wantOpen checks how many connections are open once all dials have ended.
func (n *fakeNetwork) wantOpen(want int) {
	n.t.Helper()
	time.Sleep(time.Minute)
	synctest.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.open != want {
		n.t.Errorf("%d connections are open, want %d", n.open, want)
	}
}

// wantConnection dials and checks that a connection is made within the time.
func (n *fakeNetwork) wantConnection(d *Dialer, within time.Duration) {
	n.t.Helper()
	start := time.Now()
	conn, err := d.Dial(n.t.Context(), "e", "e:1")
	if took := time.Since(start); err != nil || took > within {
		n.t.Fatalf("connected after %s with %v, want within %s", took, err, within)
	}
	n.wantOpen(1)
	_ = conn.Close()
}

var (
	refused = way{delay: time.Millisecond, err: syscall.ECONNREFUSED}
	hangs   = way{delay: time.Hour, err: errors.New("not reached")}
)

func TestASoundLinkNeedsNoTunnel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{t: t, link: connects, instances: map[string]way{"a": connects}}
		n.wantConnection(n.dialer(), connects.delay)
		if len(n.asked) > 0 || n.lost {
			t.Errorf("asked %q, link lost: %t; want no tunnel", n.asked, n.lost)
		}
	})
}

func TestALostLinkIsReplacedByATunnelAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		link   way
		within time.Duration
	}{
		"refused": {refused, 10 * time.Millisecond},
		"hangs":   {hangs, nextWayDelay + 10*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &fakeNetwork{t: t, link: c.link, instances: map[string]way{"a": connects}}
				d := n.dialer()
				n.wantConnection(d, c.within)
				if !n.lost {
					t.Error("the link does not count as lost")
				}
				n.wantConnection(d, connects.delay)
			})
		})
	}
}

// An instance that has lost its links as well, one that does not answer and one that is
// draining are each passed over for another.
func TestAnInstanceThatCannotHelpIsPassedOver(t *testing.T) {
	for name, first := range map[string]way{
		"no links": {delay: time.Millisecond, status: peer.TunnelNoLinks},
		"busy":     {delay: time.Millisecond, status: peer.TunnelBusy},
		"old":      {delay: time.Millisecond, status: peer.TunnelUnsupported},
		"silent":   hangs,
		"timeout":  {delay: time.Millisecond, status: peer.TunnelTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &fakeNetwork{t: t, link: refused, instances: map[string]way{"a": first, "b": connects}}
				n.wantConnection(n.dialer(), nextWayDelay+10*time.Millisecond)
			})
		})
	}
}

// Guards against an endpoint counting as ended because this instance has lost its link to it.
func TestOnlyAConfirmedRefusalIsOne(t *testing.T) {
	unreachable := way{delay: time.Millisecond, status: peer.TunnelTimeout}
	for name, c := range map[string]struct {
		link, others way
		withoutLinks bool
		want         bool
	}{
		"refused here and there":                {link: refused, others: way{delay: time.Millisecond, status: peer.TunnelRefused}, want: true},
		"refused here, no instance helps":       {link: refused, others: way{status: peer.TunnelBusy}, withoutLinks: true},
		"the same with links to others":         {link: refused, others: way{status: peer.TunnelBusy}, want: true},
		"refused here, no connection there":     {link: refused, others: unreachable, withoutLinks: true, want: true},
		"no connection here, none there":        {link: hangs, others: unreachable},
		"no connection here, refused elsewhere": {link: hangs, others: way{status: peer.TunnelRefused}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &fakeNetwork{t: t, link: c.link, withoutLinks: c.withoutLinks, instances: map[string]way{"a": c.others, "bb": c.others}}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := n.dialer().Dial(ctx, "e", "e:1")
				if err == nil || errors.Is(err, syscall.ECONNREFUSED) != c.want {
					t.Errorf("got %v; want a refusal: %t", err, c.want)
				}
				n.wantOpen(0)
			})
		})
	}
}

// The endpoint is dead: the instances that are asked are few, one if this one has other links.
func TestADeadEndpointIsAskedForAtFewInstances(t *testing.T) {
	for withoutLinks, want := range map[bool]int{false: 1, true: enoughConfirmations} {
		synctest.Test(t, func(t *testing.T) {
			n := &fakeNetwork{t: t, link: refused, withoutLinks: withoutLinks, instances: map[string]way{}}
			for i := range 20 {
				n.instances[fmt.Sprint("i", i)] = way{delay: time.Millisecond, status: peer.TunnelRefused}
			}
			if _, err := n.dialer().Dial(t.Context(), "e", "e:1"); !errors.Is(err, ErrUnreachable) {
				t.Errorf("got %v, want ErrUnreachable", err)
			}
			if len(n.asked) != want {
				t.Errorf("without links: %t; %d instances were asked, want %d", withoutLinks, len(n.asked), want)
			}
		})
	}
}

// A caller who leaves ends the dial, and no connection is left open.
func TestALeavingCallerEndsTheDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := way{delay: 200 * time.Millisecond, status: peer.TunnelOpen}
		n := &fakeNetwork{t: t, link: slow, instances: map[string]way{"a": slow}}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := n.dialer().Dial(ctx, "e", "e:1"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want the expired deadline", err)
		}
		n.wantOpen(0)
	})
}
