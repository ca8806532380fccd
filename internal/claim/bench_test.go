package claim_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/claim"
	"guavapier/internal/fold"
	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/right"
)

// benchFleet is a fleet of instances that are connected over loopback TCP and
// share one log in memory.
type benchFleet struct {
	entries    chan record.Batch
	partitions []*claim.Replica
	instances  []*benchInstance
}

type benchInstance struct {
	id         record.InstanceID
	address    string
	benchFleet *benchFleet
	partition  *claim.Replica
	client     *claim.Client
	holder     *claim.Holder
}

// Append applies a batch to all replicas in turn.
func (m *benchInstance) Append(_ context.Context, _ record.Stream, records ...record.Record) (uint64, error) {
	batch := <-m.benchFleet.entries
	defer func() { m.benchFleet.entries <- batch }()
	batch.Seq++
	batch.Records = nil
	envelopes, err := record.EncodeAll(records...)
	if err != nil {
		return 0, err
	}
	batch.Records = envelopes
	data, err := record.EncodeBatch(batch)
	if err != nil {
		return 0, err
	}
	for _, part := range m.benchFleet.partitions {
		if err := part.Apply(logstore.Entry{Offset: batch.Seq, Data: data}); err != nil {
			return 0, err
		}
	}
	return batch.Seq, nil
}

func (m *benchInstance) PeerAddr(id record.InstanceID) (string, bool) {
	for _, other := range m.benchFleet.instances {
		if other.id == id {
			return other.address, true
		}
	}
	return "", false
}

func (m *benchInstance) Live() []logstore.Instance {
	var out []logstore.Instance
	for _, other := range m.benchFleet.instances {
		out = append(out, logstore.Instance{ID: other.id, Zone: homeZone})
	}
	return out
}

func (m *benchInstance) Reachable(record.InstanceID) bool { return true }
func (m *benchInstance) ZoneListed(record.Zone) bool      { return true }
func (m *benchInstance) PlatformUp() bool                 { return true }

func startBenchFleet(b *testing.B, size int) *benchFleet {
	b.Helper()
	s := &benchFleet{entries: make(chan record.Batch, 1)}
	s.entries <- record.Batch{Writer: "log"}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	for n := range size {
		m := &benchInstance{id: record.InstanceID(fmt.Sprint("i", n)), benchFleet: s, partition: replica.New(record.LedgerStream(0), fold.NewLedger())}
		s.partitions = append(s.partitions, m.partition)
		s.instances = append(s.instances, m)
	}
	for _, m := range s.instances {
		pool := peer.NewPool(m.id, m, peer.Options{})
		m.holder = claim.NewHolder(claim.Dependencies{
			Self: logstore.Instance{ID: m.id, Zone: homeZone}, Log: m, Caller: pool, Members: m,
			Partitions: []*claim.Replica{m.partition}, Logger: zerolog.Nop(),
		}, claim.Options{})
		m.client = claim.NewClient(m.holder)
		server := peer.NewServer(m.id)
		_ = server.Register(claim.ServiceName, claim.NewService(m.holder))
		_ = server.Register(claim.WitnessServiceName, m.holder.Witness())
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		m.address = l.Addr().String()
		go func() { _ = server.Serve(l) }()
		b.Cleanup(func() { _ = l.Close(); m.holder.Close(); pool.Close(); server.Close() })
	}
	for _, m := range s.instances {
		go m.holder.Run(ctx)
	}
	return s
}

// holderAndOther returns the holder of the home zone's shard and another
// instance.
func (s *benchFleet) holderAndOther(b *testing.B) (holder, other *benchInstance) {
	b.Helper()
	for range 1000 {
		var latest fold.Shard
		var ok bool
		s.partitions[0].View(func(f *fold.Ledger) { latest, ok = f.ClaimShard(homeZone, 0) })
		for n, m := range s.instances {
			if ok && latest.Holder == m.id {
				time.Sleep(500 * time.Millisecond)
				return m, s.instances[(n+1)%len(s.instances)]
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("no instance acquired the claim shard in time")
	return nil, nil
}

// BenchmarkBegin measures the latency that a claim adds to a request.
func BenchmarkBegin(b *testing.B) {
	for _, c := range []struct {
		name               string
		remote, repeatable bool
	}{
		{"local/repeatable", false, true},
		{"local/witness", false, false},
		{"remote/repeatable", true, true},
		{"remote/witness", true, false},
	} {
		b.Run(c.name, func(b *testing.B) {
			s := startBenchFleet(b, 3)
			m, other := s.holderAndOther(b)
			if c.remote {
				m = other
			}
			times := make([]time.Duration, 0, b.N)
			b.ResetTimer()
			for n := range b.N {
				r := claim.Request{Key: record.RequestKey{Team: "t", Key: fmt.Sprint("k", n)}, Home: homeZone, Repeatable: c.repeatable}
				began := time.Now()
				if _, err := m.client.Begin(context.Background(), r); err != nil {
					b.Fatal(err)
				}
				times = append(times, time.Since(began))
				m.client.End(context.Background(), r.Key, claim.End{Outcome: record.OutcomeAnswered})
			}
			b.StopTimer()
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
			m.client.Close()
		})
	}
}

// BenchmarkClaimTable measures the heap bytes of one claim in a fold.
func BenchmarkClaimTable(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				l := fold.NewLedger()
				shard, _ := record.Encode(record.Shard{Right: "r", Epoch: 1, Holder: "h", Witness: "w"})
				_ = l.Apply(0, record.Batch{Writer: "w", Seq: 1, Records: []record.Envelope{shard}})
				for n := range size {
					env, _ := record.Encode(record.Claim{
						Key: record.RequestKey{Team: "dala", Session: "0190b2c8-7d5e-7b3f-9a61-000000000000", Key: fmt.Sprint("key-", n)},
						Run: record.NewRunID(), Right: "r", Runner: "a1.0190b2c8-7d5e-7b3f-9a61-000000000000", Endpoint: "rig-1", UnixMilli: 1,
					})
					_ = l.Apply(uint64(n+1), record.Batch{Writer: "w", Seq: uint64(n + 2), Records: []record.Envelope{env}})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(size), "B/claim")
				runtime.KeepAlive(l)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkAcknowledge measures the witness's time per claim by batch size.
func BenchmarkAcknowledge(b *testing.B) {
	for _, size := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := right.NewWitness[claim.Use]("w")
			terms := right.Terms{Right: "r", Holder: "h", Witness: "w"}
			_ = w.Adopt(terms)
			batch := right.Batch[claim.Use]{Terms: terms}
			for n := range size {
				batch.Puts = append(batch.Puts, right.Use[claim.Use]{ID: right.UseID(fmt.Sprint(n))})
			}
			for b.Loop() {
				batch.Seq++
				if err := w.Acknowledge(batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/claim")
		})
	}
}
