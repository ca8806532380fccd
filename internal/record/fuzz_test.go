package record_test

import (
	"bytes"
	"math"
	"testing"

	"guavapier/internal/record"
)

// sampleRecords returns one record of each kind that moves tokens, and one of a
// kind from a newer version.
func sampleRecords() []record.Record {
	key := record.RequestKey{Team: "dala", Session: "s", Key: "k"}
	budget := record.BudgetID{Team: "dala", Name: "main"}
	return []record.Record{
		record.TopUp{Budget: budget, ID: "t1", Tokens: math.MaxInt64, By: "op"},
		record.Grant{Right: "r", Budget: budget, Tokens: 10, Holder: "h", Witness: "w", Zone: "hall-a"},
		record.Return{Right: "r", By: "h", Seq: 1, Tokens: 2},
		record.Bill{Key: key, Right: "r", Run: "run", Tokens: 3},
		record.Close{Right: "r", By: "w", Outstanding: []record.Outstanding{{Key: key, Run: "run", Tokens: 3}}, Forced: true},
		record.Unknown{Of: 60_000, Body: []byte{0xa0}},
	}
}

// FuzzDecodeBatch checks that no input panics, that every decoded record can be
// encoded again, and that a record of an unknown kind keeps its body over that
// round trip.
func FuzzDecodeBatch(f *testing.F) {
	var all []record.Envelope
	for n, r := range sampleRecords() {
		env, err := record.Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		all = append(all, env)
		data, err := record.EncodeBatch(record.Batch{Writer: "w", Seq: uint64(n + 1), Records: all})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := record.DecodeBatch(data)
		if err != nil {
			return
		}
		for _, env := range batch.Records {
			rec, err := record.Decode(env)
			if err != nil {
				continue
			}
			reencoded, err := record.Encode(rec)
			if err != nil {
				t.Fatalf("decoded %T cannot be encoded again: %v", rec, err)
			}
			if _, unknown := rec.(record.Unknown); unknown && !bytes.Equal(reencoded.Body, env.Body) {
				t.Fatalf("the body of unknown kind %d changed from %x to %x", env.Kind, env.Body, reencoded.Body)
			}
		}
	})
}
