package endpointload_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"guavapier/internal/endpointload"
)

// A statement comes out of a message as it went in, up to the resolution of its fields.
func TestStatementsPassThroughMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := endpointload.Key(rapid.Uint32().Draw(t, "key"))
		load := endpointload.Load{
			Requests: rapid.IntRange(0, 1e6).Draw(t, "requests"), Waiting: rapid.IntRange(0, 1e6).Draw(t, "waiting"),
			Prefill: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "prefill")) * time.Millisecond, Tokens: 16 * rapid.Int64Range(0, 1e9).Draw(t, "tokens"),
		}
		report := endpointload.Report{Running: load.Requests, Waiting: load.Waiting, UsedTokens: load.Tokens, TotalTokens: load.Tokens, Age: load.Prefill}
		sent := endpointload.Statement{
			Sender: endpointload.Sender{Name: "one", Started: 7, Seq: 8}, Loads: endpointload.LoadList{{Key: key, Load: load}, {Key: key}},
			Links:   endpointload.LinkSum{Load: 0.5, Instances: 2, Shedding: 1},
			Samples: endpointload.SampleList{{Key: key, Tokens: 500, TTFT: load.Prefill}}, Reports: endpointload.ReportList{{Key: key, Report: report}},
		}
		data, err := cbor.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		var got endpointload.Statement
		if err := cbor.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if len(got.Loads) != 2 || got.Loads[0] != sent.Loads[0] || got.Samples[0] != sent.Samples[0] || got.Reports[0] != sent.Reports[0] || got.Sender != sent.Sender || got.Links != sent.Links {
			t.Fatalf("got %+v, want %+v", got, sent)
		}
	})
}

// Whatever bytes arrive, decoding ends with a list or an error.
func TestMalformedListsAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "data")
		var loads endpointload.LoadList
		var samples endpointload.SampleList
		var reports endpointload.ReportList
		_, _, _ = loads.UnmarshalBinary(data), samples.UnmarshalBinary(data), reports.UnmarshalBinary(data)
		for _, l := range loads {
			if l.Requests < 0 || l.Tokens < 0 || l.Prefill < 0 {
				t.Fatalf("decoded %+v", l)
			}
		}
	})
	if err := new(endpointload.LoadList).UnmarshalBinary([]byte{1, 2, 3}); err == nil {
		t.Error("a list of 3 bytes was taken")
	}
}
