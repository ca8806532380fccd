package right_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"guavapier/internal/record"
	"guavapier/internal/right"
)

// reservation returns the n-th use of a grant, with identifiers of realistic
// length.
func reservation(n int) right.Use[record.Outstanding] {
	id := fmt.Sprintf("%036d", n)
	return right.Use[record.Outstanding]{ID: right.UseID(id), Body: record.Outstanding{
		Key: record.RequestKey{Team: "dala-vibro", Session: "session-identity-of-32-characters", Key: id}, Run: record.RunID(id), Tokens: 1000,
	}}
}

// BenchmarkWitnessAcknowledge measures the time per use of batches that add as
// many uses as they drop.
func BenchmarkWitnessAcknowledge(b *testing.B) {
	for _, uses := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("uses=%d", uses), func(b *testing.B) {
			for range b.N {
				began := time.Now()
				measureAcknowledge(b, uses)
				b.ReportMetric(float64(time.Since(began).Nanoseconds())/usesPerMeasurement, "ns/use")
			}
		})
	}
}

// usesPerMeasurement is the number of uses that one measurement adds and
// drops.
const usesPerMeasurement = 1 << 18

// measureAcknowledge applies usesPerMeasurement uses in batches of the given
// size.
func measureAcknowledge(b *testing.B, uses int) {
	w := right.NewWitness[record.Outstanding]("w")
	_ = w.Adopt(terms)
	begun, ended := make([]right.Use[record.Outstanding], uses), make([]right.Use[record.Outstanding], uses)
	for n := range uses {
		begun[n], ended[n] = reservation(n), reservation(uses+n)
	}
	for seq := range usesPerMeasurement / uses {
		batch := right.Batch[record.Outstanding]{Terms: terms, Seq: uint64(seq + 1), Puts: begun}
		for _, use := range ended {
			batch.Drops = append(batch.Drops, use.ID)
		}
		if err := w.Acknowledge(batch); err != nil {
			b.Fatal(err)
		}
		begun, ended = ended, begun
	}
}

// BenchmarkWitnessMemory measures the heap bytes per recorded use.
func BenchmarkWitnessMemory(b *testing.B) {
	for _, uses := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("uses=%d", uses), func(b *testing.B) {
			for range b.N {
				w := right.NewWitness[record.Outstanding]("w")
				_ = w.Adopt(terms)
				baseline := heapBytes()
				for n := range uses {
					_ = w.Acknowledge(right.Batch[record.Outstanding]{Terms: terms, Seq: uint64(n + 1), Puts: []right.Use[record.Outstanding]{reservation(n)}})
				}
				b.ReportMetric(float64(heapBytes()-baseline)/float64(uses), "B/use")
				runtime.KeepAlive(w)
			}
		})
	}
}

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
