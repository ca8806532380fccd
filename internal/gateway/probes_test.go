package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/discovery"
	"guavapier/internal/placement"
	"guavapier/internal/upstream"
)

// An endpoint that could not be reached is used again once it takes connections,
// without a caller's request having tried.
func TestProbesFindAnEndpointThatIsBack(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	table := placement.New(1)
	table.Put(discovery.Endpoint{ID: "e", Service: "s", Address: address})
	table.Place(placement.Query{Service: "s"}, 0).Done(placement.Unreachable, 0)
	pool := upstream.NewPool(upstream.Options{DialWaitTimeout: time.Second, IdleTimeout: time.Second, Dial: upstream.TCPDialer(time.Second)})
	p := &probes{table: table, pool: pool, log: zerolog.Nop()}
	p.probe(t.Context(), table.Unreachable()[0])
	if len(table.Unreachable()) != 1 {
		t.Fatal("taken for reachable although nothing listens")
	}
	if listener, err = net.Listen("tcp", address); err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { p.run(ctx); close(ended) }()
	for limit := time.Now().Add(20 * time.Second); len(table.Unreachable()) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("not found again")
		}
	}
	stop()
	<-ended
}
