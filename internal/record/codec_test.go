package record_test

import (
	"testing"

	"pgregory.net/rapid"

	"guavapier/internal/record"
)

func TestBatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := record.TopUp{
			Budget: record.BudgetID{Team: record.Team(rapid.String().Draw(t, "team")), Name: rapid.String().Draw(t, "name")},
			ID:     rapid.String().Draw(t, "id"),
			Tokens: rapid.Int64().Draw(t, "tokens"),
		}
		env, err := record.Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		data, err := record.EncodeBatch(record.Batch{Writer: "w", Seq: 3, Records: []record.Envelope{env}})
		if err != nil {
			t.Fatal(err)
		}
		batch, err := record.DecodeBatch(data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := record.Decode(batch.Records[0])
		if err != nil {
			t.Fatal(err)
		}
		if got != want {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}
