package fold_test

import (
	"fmt"
	"testing"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// BenchmarkLedgerSnapshot measures taking and restoring a snapshot of a
// partition, by its number of budgets, each with one top-up, one open grant and
// one bill.
func BenchmarkLedgerSnapshot(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 50_000} {
		l := fold.NewLedger()
		for i := range n {
			if err := l.Apply(uint64(i), budgetBatch(b, i)); err != nil {
				b.Fatal(err)
			}
		}
		state, err := l.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("take/budgets=", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := l.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(state))/float64(n), "log-B/budget")
		})
		b.Run(fmt.Sprint("restore/budgets=", n), func(b *testing.B) {
			for b.Loop() {
				if err := fold.NewLedger().Restore(state); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func budgetBatch(b *testing.B, i int) record.Batch {
	b.Helper()
	id := record.BudgetID{Team: record.Team(fmt.Sprint("team-", i/50)), Name: fmt.Sprint("case-", i)}
	right := record.RightID(fmt.Sprintf("2f0c6f0e-54a8-4a5c-9e0f-%012d", i))
	batch := record.Batch{Writer: "i", Seq: uint64(i) + 1}
	for _, r := range []record.Record{
		record.TopUp{Budget: id, ID: "first", Tokens: 1_000_000},
		record.Grant{Right: right, Budget: id, Tokens: 20_000, Holder: "holder", Witness: "witness"},
		record.Bill{Key: record.RequestKey{Team: id.Team, Key: fmt.Sprint(i)}, Right: right, Tokens: 300},
	} {
		env, err := record.Encode(r)
		if err != nil {
			b.Fatal(err)
		}
		batch.Records = append(batch.Records, env)
	}
	return batch
}
