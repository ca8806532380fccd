package metrics

import (
	"fmt"
	"strings"
)

// Names of the metrics of a server instance.
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

// Kind is the type of a metric's values.
type Kind string

// A counter never decreases while the process runs. A gauge is a current value.
// A histogram is published with its count, minimum, maximum, mean and
// percentiles.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Metric documents one metric: its name, kind, unit of measurement and a
// sentence for operators.
type Metric struct {
	Name string
	Kind Kind
	Unit string
	Help string
}

// Catalogue lists every metric that a server instance publishes. See
// GatewayCatalogue for those of a gateway instance.
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

// CatalogueTable returns Catalogue as a Markdown table. The operators' manual
// contains this table.
func CatalogueTable() string { return markdownTable(Catalogue()) }

// GatewayCatalogueTable returns GatewayCatalogue as a Markdown table. The operators'
// manual contains this table.
func GatewayCatalogueTable() string { return markdownTable(GatewayCatalogue()) }

func markdownTable(catalogue []Metric) string {
	var b strings.Builder
	b.WriteString("| metric | kind | unit | what it says |\n| --- | --- | --- | --- |\n")
	for _, m := range catalogue {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", m.Name, m.Kind, m.Unit, m.Help)
	}
	return b.String()
}
