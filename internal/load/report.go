package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the results of a replay. Classes without requests are left out.
type Report struct {
	Took    time.Duration `json:"took"`
	Classes []ClassReport `json:"classes"`
	// Violations lists the limits of the trace that were exceeded, class by
	// class, each class's followed by examples. It is empty, not nil, if there
	// are none.
	Violations []string `json:"broken"`
}

// ClassReport counts the outcomes of one class of requests. JSON durations are
// in nanoseconds.
type ClassReport struct {
	Name     string `json:"name"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"` // Complete, correct answers.
	NotRun   int    `json:"not_run"`  // Refused, without effect.
	Unknown  int    `json:"unknown"`  // Failed; may have been executed.
	Partial  int    `json:"partial"`  // Incomplete answers.
	Wrong    int    `json:"wrong"`    // Answers with the content of another request, or to a call that was executed more than once.
	Late     int    `json:"late"`     // Answered, but beyond MaxFirstTokenMs or MaxTotalMs.
	// Quantiles, over answered requests, of the time from the start of the first
	// attempt to the first token and to the end of the answer.
	FirstP50 time.Duration `json:"first_p50"`
	FirstP99 time.Duration `json:"first_p99"`
	WholeP50 time.Duration `json:"whole_p50"`
	WholeP99 time.Duration `json:"whole_p99"`
}

// Range, in microseconds, and precision of the latency histograms.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// classStats accumulates the outcomes of one class. statsByClass.mu guards it.
type classStats struct {
	spec              ClassSpec
	report            ClassReport
	firstToken, total *hdrhistogram.Histogram
	details           []string // One for each request that wasn't answered.
}

// statsByClass accumulates the outcomes of a replay. It is safe for concurrent
// use.
type statsByClass struct {
	mu     sync.Mutex
	order  []*classStats // As in the trace.
	byName map[string]*classStats
}

func newStatsByClass(t Trace) *statsByClass {
	out := &statsByClass{byName: map[string]*classStats{}}
	for _, spec := range t.Classes {
		stats := &classStats{
			spec: spec, report: ClassReport{Name: spec.Name},
			firstToken: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits), total: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		}
		out.order = append(out.order, stats)
		out.byName[spec.Name] = stats
	}
	return out
}

// record adds the outcome of a request to its class.
func (t *statsByClass) record(r Request, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.byName[r.Class]
	stats.report.Sent++
	switch o.kind {
	case answered:
		stats.report.Answered++
		stats.recordLatency(o)
	case notRun:
		stats.report.NotRun++
	case partial:
		stats.report.Partial++
	case wrong:
		stats.report.Wrong++
	default:
		stats.report.Unknown++
	}
	if o.kind != answered {
		stats.details = append(stats.details, fmt.Sprintf("%s: %s: %s", r.ID, o.kind, o.detail))
	}
}

// recordLatency adds an answer's times to the histograms and counts late answers.
func (stats *classStats) recordLatency(o outcome) {
	_ = stats.firstToken.RecordValue(max(o.firstToken.Microseconds(), minLatencyMicros))
	_ = stats.total.RecordValue(max(o.total.Microseconds(), minLatencyMicros))
	exceeds := func(took time.Duration, ms int64) bool { return ms > 0 && took > time.Duration(ms)*time.Millisecond }
	if exceeds(o.firstToken, stats.spec.MaxFirstTokenMs) || exceeds(o.total, stats.spec.MaxTotalMs) {
		stats.report.Late++
	}
}

// report returns the results. It must not be called concurrently with record.
func (t *statsByClass) report(took time.Duration) Report {
	out := Report{Took: took, Violations: []string{}}
	for _, stats := range t.order {
		if stats.report.Sent == 0 {
			continue
		}
		out.Classes = append(out.Classes, stats.result())
		out.Violations = append(out.Violations, stats.violations()...)
	}
	return out
}

// result returns the counts with the quantiles.
func (stats *classStats) result() ClassReport {
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	report := stats.report
	report.FirstP50, report.FirstP99 = quantile(stats.firstToken, 50), quantile(stats.firstToken, 99)
	report.WholeP50, report.WholeP99 = quantile(stats.total, 50), quantile(stats.total, 99)
	return report
}

// maxDetails bounds the examples that follow a class's violations.
const maxDetails = 3

// violations lists the limits of the class that were exceeded, then up to
// maxDetails examples; it is empty if all were kept.
func (stats *classStats) violations() (out []string) {
	report, spec := stats.report, stats.spec
	addf := func(format string, args ...any) { out = append(out, report.Name+": "+fmt.Sprintf(format, args...)) }
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	if report.Partial+report.Wrong > 0 {
		addf("%d partial and %d wrong answers; allowed: none", report.Partial, report.Wrong)
	}
	if share(report.Answered, report.Sent) < spec.MinAnswered {
		addf("%d of %d requests answered; required share: %v", report.Answered, report.Sent, spec.MinAnswered)
	}
	if share(report.Late, report.Answered) > spec.MaxLate {
		addf("%d of %d answers late; allowed share: %v", report.Late, report.Answered, spec.MaxLate)
	}
	if share(report.Unknown, report.Sent) > spec.MaxUnknown {
		addf("%d of %d outcomes unknown; allowed share: %v", report.Unknown, report.Sent, spec.MaxUnknown)
	}
	if len(out) > 0 {
		out = append(out, stats.details[:min(maxDetails, len(stats.details))]...)
	}
	return out
}
