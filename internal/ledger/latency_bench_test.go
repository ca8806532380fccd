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

// addressTable maps instances to their addresses.
type addressTable map[record.InstanceID]string

// PeerAddr implements peer.Addresses.
func (a addressTable) PeerAddr(id record.InstanceID) (string, bool) {
	addr, ok := a[id]
	return addr, ok
}

// newLoopbackFleet starts three instances in one zone that call each other
// over TCP on the loopback interface.
func newLoopbackFleet(b *testing.B) *simFleet {
	b.Helper()
	fleet := newSimFleet(unmodified)
	fleet.runAsync = true
	addrs := addressTable{}
	for i := range 3 {
		id := record.InstanceID(fmt.Sprint("i", i))
		server := peer.NewServer(id)
		pool := peer.NewPool(id, addrs, peer.Options{})
		n := fleet.addInstance(string(id), "hall-a", ledger.DefaultOptions(), func(c *ledger.Config) { c.Peers, c.Now = pool, time.Now })
		for name, service := range map[string]any{ledger.WitnessName: n.ledger.Witness(), ledger.ServiceName: n.service} {
			if err := server.Register(name, service); err != nil {
				b.Fatal(err)
			}
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		addrs[id] = listener.Addr().String()
		go func() { _ = server.Serve(listener) }()
		b.Cleanup(func() {
			pool.Close()
			_ = listener.Close()
			server.Close()
		})
	}
	return fleet
}

// BenchmarkReserveSettle measures Reserve followed by Settle over net/rpc on
// the loopback interface: at the budget's owner (one call, to the witness) and
// at another instance (two calls), with 1, 16 and 64 concurrent callers.
func BenchmarkReserveSettle(b *testing.B) {
	for _, callers := range []int{1, 16, 64} {
		for _, at := range []string{"owner", "other"} {
			b.Run(fmt.Sprintf("%s/callers=%d", at, callers), func(b *testing.B) {
				fleet := newLoopbackFleet(b)
				fleet.topUp(mainBudget, "1", fold.MaxTokens/2)
				owner := ledger.ChooseOwner("hall-a", fleet.stream, fleet.Live(), func(record.InstanceID) bool { return false })
				n := fleet.findInstance(owner)
				if at == "other" {
					for _, other := range fleet.instances {
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

// reservationsPerMeasurement is the number of reservations in one measurement.
const reservationsPerMeasurement = 10_000

// measureReserve reports throughput and latency quantiles of reservations at
// one instance.
func measureReserve(b *testing.B, n *simInstance, callers int) {
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
	for i := range 50 { // The first grants and connections aren't measured.
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
			for i := c; i < reservationsPerMeasurement; i += callers {
				reserve(c, i)
			}
			done <- struct{}{}
		}()
	}
	for range callers {
		<-done
	}
	b.ReportMetric(reservationsPerMeasurement/time.Since(began).Seconds(), "reserves/s")
	stop()
	<-ended
	all := slices.Concat(times...)
	slices.Sort(all)
	for name, q := range map[string]float64{"p50-µs": 0.5, "p99-µs": 0.99} {
		b.ReportMetric(float64(all[int(q*float64(len(all)-1))].Microseconds()), name)
	}
}
