package ledger_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/ledger"
	"guavapier/internal/peer"
	"guavapier/internal/record"
)

// addresses finds peers in a fixed table.
type addresses map[record.InstanceID]string

// PeerAddr implements peer.Addresses.
func (a addresses) PeerAddr(id record.InstanceID) (string, bool) {
	addr, ok := a[id]
	return addr, ok
}

// loopback makes three instances in one zone that talk over TCP on loopback.
func loopback(b *testing.B) *world {
	b.Helper()
	w := newWorld(sound)
	w.async = true
	where := addresses{}
	for i := range 3 {
		id := record.InstanceID(fmt.Sprint("i", i))
		server := peer.NewServer(id)
		pool := peer.NewPool(id, where, peer.Options{})
		n := w.add(string(id), "hall-a", ledger.DefaultOptions(), func(c *ledger.Config) { c.Peers, c.Now = pool, time.Now })
		for name, service := range map[string]any{ledger.WitnessName: n.ledger.Witness(), ledger.ServiceName: n.service} {
			if err := server.Register(name, service); err != nil {
				b.Fatal(err)
			}
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		where[id] = l.Addr().String()
		go func() { _ = server.Serve(l) }()
		b.Cleanup(func() {
			pool.Close()
			_ = l.Close()
			server.Close()
		})
	}
	return w
}

// BenchmarkReserveSettle measures one Reserve and Settle over real net/rpc on
// loopback, at the budget's owner (one call, to the witness) and at another
// instance (two calls), with 1, 16 and 64 callers at once.
func BenchmarkReserveSettle(b *testing.B) {
	for _, callers := range []int{1, 16, 64} {
		for _, at := range []string{"owner", "other"} {
			b.Run(fmt.Sprintf("%s/callers=%d", at, callers), func(b *testing.B) {
				w := loopback(b)
				w.topUp(mainBudget, "1", fold.MaxTokens/2)
				owner := ledger.ChooseOwner("hall-a", w.stream, w.Live(), func(record.InstanceID) bool { return false })
				n := w.find(owner)
				if at == "other" {
					for _, other := range w.nodes {
						if other.id != owner {
							n = other
						}
					}
				}
				for range b.N {
					measureReserve(b, n, callers)
				}
			})
		}
	}
}

// reservations is how many a measurement makes.
const reservations = 10_000

func measureReserve(b *testing.B, n *node, callers int) {
	b.Helper()
	times := make([][]time.Duration, callers)
	reserve := func(c, i int) {
		key := record.RequestKey{Team: "dala", Key: fmt.Sprint(c, "/", i)}
		began := time.Now()
		r, err := n.ledger.Reserve(context.Background(), key, record.NewRunID(), mainBudget, 1000)
		if err != nil {
			b.Error(err)
			return
		}
		_ = n.ledger.Settle(context.Background(), mainBudget, r, 400)
		times[c] = append(times[c], time.Since(began))
	}
	for i := range 50 { // The first grants and connections are not measured.
		reserve(0, -i-1)
	}
	times[0] = nil
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = n.ledger.Run(ctx) }()
	began := time.Now()
	done := make(chan struct{})
	for c := range callers {
		go func() {
			for i := c; i < reservations; i += callers {
				reserve(c, i)
			}
			done <- struct{}{}
		}()
	}
	for range callers {
		<-done
	}
	b.ReportMetric(reservations/time.Since(began).Seconds(), "reserves/s")
	stop()
	<-ended
	all := slices.Concat(times...)
	slices.Sort(all)
	for name, q := range map[string]float64{"p50-µs": 0.5, "p99-µs": 0.99} {
		b.ReportMetric(float64(all[int(q*float64(len(all)-1))].Microseconds()), name)
	}
}
