package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"guavapier/internal/peer"
	"guavapier/internal/record"
)

// countingConn adds the number of bytes read from and written to a connection to bytes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// processCPUNanos returns the processor time that this process has used, in nanoseconds.
func processCPUNanos() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}

// BenchmarkHeartbeat measures the processor time of one heartbeat, of both ends since they share
// the process, and its payload bytes in both directions, for several numbers of peers.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{4, 32, 128} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			addrs := map[record.InstanceID]string{}
			var ids []record.InstanceID
			for n := range size {
				id := record.InstanceID(fmt.Sprintf("instance-%d.0190b2c8-7d5e-7b3f-9a61-000000000000", n))
				s := peer.NewServer(id)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				go func() { _ = s.Serve(l) }()
				b.Cleanup(func() { _ = l.Close(); s.Close() })
				addrs[id], ids = l.Addr().String(), append(ids, id)
			}
			var bytes atomic.Int64
			p := peer.NewPool("caller", &addressBook{addrs: addrs}, peer.Options{Dialer: func(ctx context.Context, address string) (net.Conn, error) {
				var d net.Dialer
				conn, err := d.DialContext(ctx, "tcp", address)
				return countingConn{conn, &bytes}, err
			}})
			b.Cleanup(p.Close)
			pingAll := func() {
				for _, id := range ids {
					if err := p.Ping(context.Background(), id); err != nil {
						b.Fatal(err)
					}
				}
			}
			pingAll()
			bytes.Store(0)
			began := processCPUNanos()
			for b.Loop() {
				pingAll()
			}
			heartbeats := float64(b.N * size)
			b.ReportMetric(float64(processCPUNanos()-began)/heartbeats, "cpu-ns/heartbeat")
			b.ReportMetric(float64(bytes.Load())/heartbeats, "B/heartbeat")
		})
	}
}
