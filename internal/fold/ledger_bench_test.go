package fold_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

const (
	billsPerBatch  = 20
	benchmarkBills = 200_000
)

func benchmarkBudget(n int) record.BudgetID {
	return record.BudgetID{Team: record.Team(fmt.Sprintf("team-%06d", n)), Name: "main"}
}

func benchmarkRight(n int) record.RightID { return record.RightID(fmt.Sprintf("%036d", n)) }

// newFilledLedger returns a ledger with a number of budgets and, if grants is
// true, one open grant of each.
func newFilledLedger(b *testing.B, budgets int, grants bool) *fold.Ledger {
	b.Helper()
	l := fold.NewLedger()
	for n := range budgets {
		records := []record.Record{record.TopUp{Budget: benchmarkBudget(n), ID: fmt.Sprintf("%036d", n), Tokens: 1 << 40}}
		if grants {
			records = append(records, record.Grant{Right: benchmarkRight(n), Budget: benchmarkBudget(n), Tokens: 1 << 39, Holder: benchmarkHolder(n), Witness: benchmarkHolder(n + 1)})
		}
		if err := l.Apply(uint64(n), newBatch(b, "w", uint64(n+1), records...)); err != nil {
			b.Fatal(err)
		}
	}
	return l
}

func benchmarkHolder(n int) record.InstanceID {
	return record.InstanceID(fmt.Sprintf("instance-%032d", n%400))
}

func billBatch(b *testing.B, budgets, n int) record.Batch {
	var records []record.Record
	for i := range billsPerBatch {
		id := n*billsPerBatch + i
		records = append(records, record.Bill{
			Key:   record.RequestKey{Team: benchmarkBudget(id % budgets).Team, Session: "session-identity-of-32-characters", Key: fmt.Sprintf("%036d", id)},
			Right: benchmarkRight(id % budgets), Run: record.RunID(fmt.Sprintf("%036d", id)), Tokens: 300,
		})
	}
	return newBatch(b, "bench", uint64(n+1), records...)
}

// BenchmarkLedgerApply measures the time per bill, including decoding, in
// batches of 20 bills.
func BenchmarkLedgerApply(b *testing.B) {
	for _, budgets := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			for range b.N {
				l := newFilledLedger(b, budgets, true)
				var batches []record.Batch
				for n := range benchmarkBills / billsPerBatch {
					batches = append(batches, billBatch(b, budgets, n))
				}
				next := l.NextOffset()
				began := time.Now()
				for n, batch := range batches {
					_ = l.Apply(next+uint64(n), batch)
				}
				b.ReportMetric(float64(time.Since(began).Nanoseconds())/benchmarkBills, "ns/bill")
			}
		})
	}
}

// BenchmarkLedgerMemory reports the heap bytes per budget, per open grant and
// per bill.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			for range b.N {
				perBudget := heapBytesPerRow(b, n, false)
				b.ReportMetric(perBudget, "B/budget")
				b.ReportMetric(heapBytesPerRow(b, n, true)-perBudget, "B/grant")
				b.ReportMetric(heapBytesPerBill(b, n), "B/bill")
			}
		})
	}
}

func heapBytesPerRow(b *testing.B, rows int, grants bool) float64 {
	before := heapBytes()
	l := newFilledLedger(b, rows, grants)
	after := heapBytes()
	runtime.KeepAlive(l)
	return float64(after-before) / float64(rows)
}

func heapBytesPerBill(b *testing.B, rows int) float64 {
	l := newFilledLedger(b, rows, true)
	before := heapBytes()
	for i := range rows / billsPerBatch {
		_ = l.Apply(l.NextOffset(), billBatch(b, rows, i))
	}
	after := heapBytes()
	runtime.KeepAlive(l)
	return float64(after-before) / float64(rows)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
