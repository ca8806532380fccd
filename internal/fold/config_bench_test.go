package fold_test

import (
	"fmt"
	"runtime"
	"testing"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

var configSizes = []int{1_000, 10_000, 100_000}

// newFilledConfig returns a table of n values, each set by a change of its own.
func newFilledConfig(b *testing.B, n int) *fold.Config {
	b.Helper()
	c := fold.NewConfig()
	for i := range n {
		if err := c.Apply(uint64(i), changeBatch(b, i, 0)); err != nil {
			b.Fatal(err)
		}
	}
	return c
}

// changeBatch returns a batch with one change, of value i from version base.
func changeBatch(b *testing.B, i int, base uint64) record.Batch {
	b.Helper()
	change := record.Change{ID: fmt.Sprintf("01a238d2-75b5-79cc-aa82-%012d-%d", i, base), By: "fleet (ana)", Ops: []record.ChangeOp{
		{Path: fmt.Sprintf("/teams/team-%d/budgets/case-%d/lean", i/50, i), Value: "0.5", Base: base},
	}}
	env, err := record.Encode(change)
	if err != nil {
		b.Fatal(err)
	}
	return record.Batch{Writer: "i", Seq: uint64(i) + 1, Records: []record.Envelope{env}}
}

// BenchmarkConfigApply measures one change, by the number of values in the
// table.
func BenchmarkConfigApply(b *testing.B) {
	for _, n := range configSizes {
		b.Run(fmt.Sprint("values=", n), func(b *testing.B) {
			c := newFilledConfig(b, n)
			batches := make([]record.Batch, b.N)
			for i := range batches {
				base := uint64(i%n) + 1
				if i >= n {
					base = uint64(i) + 1 // The previous change of this value, at offset n + (i - n).
				}
				batches[i] = changeBatch(b, i%n, base)
			}
			b.ResetTimer()
			for i, batch := range batches {
				if err := c.Apply(uint64(n+i), batch); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkConfigMemory reports the heap bytes per value.
func BenchmarkConfigMemory(b *testing.B) {
	for _, n := range configSizes {
		b.Run(fmt.Sprint("values=", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := newFilledConfig(b, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/value")
				runtime.KeepAlive(c)
			}
		})
	}
}

// BenchmarkConfigSnapshot measures taking a snapshot and restoring one, and
// reports the encoded bytes per value.
func BenchmarkConfigSnapshot(b *testing.B) {
	for _, n := range configSizes {
		c := newFilledConfig(b, n)
		state, err := c.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("take/values=", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := c.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(state))/float64(n), "log-B/value")
		})
		b.Run(fmt.Sprint("restore/values=", n), func(b *testing.B) {
			for b.Loop() {
				if err := fold.NewConfig().Restore(state); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
