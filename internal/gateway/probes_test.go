package gateway

import (
	"context"
	"fmt"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/discovery"
	"guavapier/internal/placement"
	"guavapier/internal/upstream"
)

// An endpoint that was unreachable is used again once it accepts connections, without a
// caller's request having tried it.
func TestProbesFindAnEndpointThatIsBack(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	endpoints := placement.New(1, 0)
	endpoints.Put(discovery.Endpoint{ID: "e", Service: "s", Address: address}, 0)
	endpoints.Place(placement.Query{Service: "s"}, 0).Done(placement.Unreachable, 0)
	direct := func(ctx context.Context, _, address string) (net.Conn, error) {
		return upstream.TCPDialer(time.Second)(ctx, "tcp", address)
	}
	pool := upstream.NewPool(upstream.Options{DialWaitTimeout: time.Second, IdleTimeout: time.Second, Dial: direct})
	p := newProber(endpoints, pool, direct, func() time.Duration { return 0 }, zerolog.Nop())
	p.probe(t.Context(), endpoints.Unreachable()[0])
	if len(endpoints.Unreachable()) != 1 {
		t.Fatal("the endpoint counts as reachable although nothing listens on its address")
	}
	if listener, err = net.Listen("tcp", address); err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { p.run(ctx); close(done) }()
	for deadline := time.Now().Add(20 * time.Second); len(endpoints.Unreachable()) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the endpoint has not become reachable again in time")
		}
	}
	stop()
	<-done
}

// Guards against probes of the own link that leave no room for those through other instances.
func TestAnEndpointThatOthersReachIsFoundWithoutTheOwnLink(t *testing.T) {
	endpoints := placement.New(1, 0)
	endpoints.Put(discovery.Endpoint{ID: "e", Service: "s", Address: "e:1"}, 0)
	endpoints.Place(placement.Query{Service: "s"}, 0).Done(placement.Unreachable, 0)
	endpoints.RecordLink("e", false)
	lost := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	throughOthers := func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		t.Cleanup(func() { _, _ = here.Close(), there.Close() })
		return here, nil
	}
	pool := upstream.NewPool(upstream.Options{DialWaitTimeout: time.Second, IdleTimeout: time.Second, Dial: throughOthers})
	p := newProber(endpoints, pool, lost, func() time.Duration { return 0 }, zerolog.Nop())
	p.startRound(t.Context())
	p.running.Wait()
	if left := endpoints.Unreachable(); len(left) > 0 || endpoints.HasLink("e") {
		t.Errorf("unreachable: %v, link: %t; want it reachable without a link", left, endpoints.HasLink("e"))
	}
	pool.CloseIdle("e")
}

func TestProbesTakeTurns(t *testing.T) {
	var r rotation
	var list []discovery.Endpoint
	for i := range 10 {
		list = append(list, discovery.Endpoint{ID: fmt.Sprint("e", i)})
	}
	count := map[string]int{}
	for range 5 {
		for _, e := range r.next(slices.Clone(list), 4) {
			count[e.ID]++
		}
	}
	for _, e := range list {
		if count[e.ID] != 2 {
			t.Errorf("%s was chosen %d times in 20 choices of 10 endpoints, want twice", e.ID, count[e.ID])
		}
	}
	if got := r.next(list[:1], 4); len(got) != 1 || len(r.chosen) != 1 {
		t.Errorf("chosen %v of one endpoint, remembering %d", got, len(r.chosen))
	}
}

// Guards against probes through other instances, which can't help, in whose place the restored link is never probed.
func TestARestoredLinkIsFoundThoughNoOtherInstanceHelps(t *testing.T) {
	endpoints := placement.New(1, 0)
	endpoints.Put(discovery.Endpoint{ID: "e", Service: "s", Address: "e:1"}, 0)
	endpoints.Place(placement.Query{Service: "s"}, 0).Done(placement.Unreachable, 0)
	endpoints.RecordLink("e", false)
	restored := func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		t.Cleanup(func() { _, _ = here.Close(), there.Close() })
		return here, nil
	}
	throughOthers := func(context.Context, string, string) (net.Conn, error) {
		time.Sleep(20 * time.Millisecond)
		return nil, syscall.ETIMEDOUT
	}
	pool := upstream.NewPool(upstream.Options{DialWaitTimeout: time.Second, IdleTimeout: time.Second, Dial: throughOthers})
	p := newProber(endpoints, pool, restored, func() time.Duration { return 0 }, zerolog.Nop())
	for range 5 {
		p.startRound(t.Context())
		p.running.Wait()
	}
	if left := endpoints.Unreachable(); len(left) > 0 {
		t.Errorf("unreachable after 5 rounds although the link is back: %v", left)
	}
	pool.CloseIdle("e")
}
