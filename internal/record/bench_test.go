package record_test

import (
	"fmt"
	"testing"

	"github.com/google/uuid"

	"guavapier/internal/record"
)

// BenchmarkRecordBytes reports the encoded bytes and the encoding time per
// record, by kind and by the number of records in the batch.
func BenchmarkRecordBytes(b *testing.B) {
	key := func() record.RequestKey {
		return record.RequestKey{Team: "dala-vibro", Session: record.SessionID(uuid.NewString()), Key: string(record.NewRunID())}
	}
	holder := record.NewInstanceID("hall-a-1")
	constructors := map[string]func() record.Record{
		"bill": func() record.Record {
			return record.Bill{Key: key(), Right: record.NewRightID(), Run: record.NewRunID(), Tokens: 1234}
		},
		"grant": func() record.Record {
			budget := record.BudgetID{Team: "dala-vibro", Name: "main"}
			return record.Grant{Right: record.NewRightID(), Budget: budget, Tokens: 20_000, Holder: holder, Witness: holder, Zone: "hall-a"}
		},
		"close": func() record.Record {
			return record.Close{Right: record.NewRightID(), By: holder, Spent: 12_345}
		},
		"claim": func() record.Record {
			return record.Claim{Key: key(), Digest: 1 << 60, Run: record.NewRunID(), Right: record.NewRightID(), Runner: holder, UnixMilli: 1_796_000_000_000}
		},
	}
	for name, newRecord := range constructors {
		for _, n := range []int{1, 100, 1000} {
			b.Run(fmt.Sprintf("%s/batch=%d", name, n), func(b *testing.B) {
				for b.Loop() {
					batch := record.Batch{Writer: holder, Seq: 1}
					for range n {
						env, err := record.Encode(newRecord())
						if err != nil {
							b.Fatal(err)
						}
						batch.Records = append(batch.Records, env)
					}
					data, err := record.EncodeBatch(batch)
					if err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(float64(len(data))/float64(n), "log-B/record")
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/record")
			})
		}
	}
}
