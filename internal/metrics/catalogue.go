package metrics

import (
	"fmt"
	"strings"
)

// The metrics' names.
const (
	CallerRequests     = "callers.requests"
	CallerRefusals     = "callers.refusals"
	CallerFaults       = "callers.faults"
	CallerLatency      = "callers.latency"
	OperatorRequests   = "operators.requests"
	OperatorRefusals   = "operators.refusals"
	OperatorFaults     = "operators.faults"
	OperatorLatency    = "operators.latency"
	ConfigNextOffset   = "config.next_offset"
	ConfigValues       = "config.values"
	LedgerNextOffset   = "ledger.next_offset"
	BatchesSkipped     = "replica.batches_passed_over"
	RecordsAgedOut     = "replica.records_aged_out"
	SnapshotsWritten   = "snapshot.written"
	SnapshotsRestored  = "snapshot.restored"
	SnapshotsDiscarded = "snapshot.discarded"
	Goroutines         = "process.goroutines"
	HeapBytes          = "process.heap"
)

// Kind is the kind of a metric.
type Kind string

// The kinds. A counter only rises while the process lives; a histogram has
// count, min, max, mean and percentiles.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Metric documents one metric.
type Metric struct {
	Name string
	Kind Kind
	Unit string
	Help string
}

// Catalogue lists every metric that an instance publishes.
func Catalogue() []Metric {
	return []Metric{
		{CallerRequests, KindCounter, "requests", "Requests on the callers' address that have been answered."},
		{CallerRefusals, KindCounter, "requests", "Of these, answered with a 4xx status."},
		{CallerFaults, KindCounter, "requests", "Of these, answered with a 5xx status."},
		{CallerLatency, KindHistogram, "microseconds", "From a request's arrival to the end of its answer, streams included."},
		{OperatorRequests, KindCounter, "requests", "Requests on the operators' address that have been answered."},
		{OperatorRefusals, KindCounter, "requests", "Of these, answered with a 4xx status."},
		{OperatorFaults, KindCounter, "requests", "Of these, answered with a 5xx status, unknown outcomes included."},
		{OperatorLatency, KindHistogram, "microseconds", "From a request's arrival to the end of its answer."},
		{ConfigNextOffset, KindGauge, "offset", "Offset after the last applied entry of the configuration stream."},
		{ConfigValues, KindGauge, "values", "Values under paths."},
		{LedgerNextOffset, KindGauge, "offset", "Sum over the ledger partitions of the offset after the last applied entry."},
		{BatchesSkipped, KindCounter, "batches", "Batches that could not be decoded and were passed over."},
		{RecordsAgedOut, KindCounter, "times", "Times that records aged out before this instance had read them."},
		{SnapshotsWritten, KindCounter, "snapshots", "Snapshots that this instance has written."},
		{SnapshotsRestored, KindCounter, "snapshots", "Snapshots from which this instance has restored a stream's tables."},
		{SnapshotsDiscarded, KindCounter, "chunks", "Chunks and snapshots that were damaged and not used."},
		{Goroutines, KindGauge, "goroutines", "Goroutines of the process."},
		{HeapBytes, KindGauge, "bytes", "Bytes of the heap in use."},
	}
}

// Reference returns the catalogue as a table in Markdown.
func Reference() string { return markdownTable(Catalogue()) }

// GatewayReference returns a gateway's catalogue as a table in Markdown.
func GatewayReference() string { return markdownTable(GatewayCatalogue()) }

func markdownTable(catalogue []Metric) string {
	var b strings.Builder
	b.WriteString("| metric | kind | unit | what it says |\n| --- | --- | --- | --- |\n")
	for _, m := range catalogue {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", m.Name, m.Kind, m.Unit, m.Help)
	}
	return b.String()
}
