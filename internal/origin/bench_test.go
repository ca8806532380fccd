package origin

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkCopySize reports the encoded arguments of a call that copies one record.
func BenchmarkCopySize(b *testing.B) {
	args := CopyArgs{Records: []Record{{Stream: NewStreamID("org", "9c41d07be2a35f68"), Origin: Origin{"guava-llm", "v1.2"}, Lifetime: 24 * time.Second}}}
	size := 0
	for b.Loop() {
		encoded, err := cbor.Marshal(args)
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes/record")
}

// BenchmarkReplicas measures the choice of a record's replicas among 412 other instances.
func BenchmarkReplicas(b *testing.B) {
	fleet := make([]Instance, 412)
	for i := range fleet {
		fleet[i] = Instance{Name: "edge-zone-" + string(rune('a'+i%7)) + "-" + time.Duration(i).String(), Zone: string(rune('a' + i%7))}
	}
	for id := StreamID(0); b.Loop(); id++ {
		replicasFor(id, "a", fleet)
	}
}
