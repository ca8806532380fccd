package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the outcome of a replay.
type Report struct {
	Took    time.Duration `json:"took"`
	Classes []ClassReport `json:"classes"`
	// Violations lists the stated outcomes that were not met; empty if all were.
	Violations []string `json:"broken"`
}

// ClassReport is the outcome for one class of requests.
type ClassReport struct {
	Name     string `json:"name"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"` // Whole answers.
	NotRun   int    `json:"not_run"`
	Unknown  int    `json:"unknown"`
	Partial  int    `json:"partial"` // Answers that ended without a closing.
	Wrong    int    `json:"wrong"`   // Answers that were another request's, or a second run's.
	Late     int    `json:"late"`    // Whole answers after the stated time.
	// The quantiles of the time to the first token and to the whole answer,
	// from the first attempt on, of answered requests.
	FirstP50 time.Duration `json:"first_p50"`
	FirstP99 time.Duration `json:"first_p99"`
	WholeP50 time.Duration `json:"whole_p50"`
	WholeP99 time.Duration `json:"whole_p99"`
}

// The range of the histograms in microseconds, and their precision.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// classStats counts one class. Tallies.mu guards it.
type classStats struct {
	spec              ClassSpec
	report            ClassReport
	firstToken, total *hdrhistogram.Histogram
	details           []string
}

type statsByClass struct {
	mu     sync.Mutex
	order  []*classStats
	byName map[string]*classStats
}

func newStatsByClass(t Trace) *statsByClass {
	out := &statsByClass{byName: map[string]*classStats{}}
	for _, spec := range t.Classes {
		row := &classStats{
			spec: spec, report: ClassReport{Name: spec.Name},
			firstToken: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits), total: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		}
		out.order = append(out.order, row)
		out.byName[spec.Name] = row
	}
	return out
}

func (t *statsByClass) record(r Request, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.byName[r.Class]
	row.report.Sent++
	switch o.kind {
	case answered:
		row.report.Answered++
		row.recordLatency(o)
	case notRun:
		row.report.NotRun++
	case partial:
		row.report.Partial++
	case wrong:
		row.report.Wrong++
	default:
		row.report.Unknown++
	}
	if o.kind != answered {
		row.details = append(row.details, fmt.Sprintf("%s: %s: %s", r.ID, o.kind, o.detail))
	}
}

func (row *classStats) recordLatency(o outcome) {
	_ = row.firstToken.RecordValue(max(o.firstToken.Microseconds(), minLatencyMicros))
	_ = row.total.RecordValue(max(o.total.Microseconds(), minLatencyMicros))
	exceeds := func(took time.Duration, ms int64) bool { return ms > 0 && took > time.Duration(ms)*time.Millisecond }
	if exceeds(o.firstToken, row.spec.MaxFirstTokenMs) || exceeds(o.total, row.spec.MaxTotalMs) {
		row.report.Late++
	}
}

func (t *statsByClass) report(took time.Duration) Report {
	out := Report{Took: took, Violations: []string{}}
	for _, row := range t.order {
		if row.report.Sent == 0 {
			continue
		}
		out.Classes = append(out.Classes, row.result())
		out.Violations = append(out.Violations, row.violations()...)
	}
	return out
}

func (row *classStats) result() ClassReport {
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	c := row.report
	c.FirstP50, c.FirstP99 = at(row.firstToken, 50), at(row.firstToken, 99)
	c.WholeP50, c.WholeP99 = at(row.total, 50), at(row.total, 99)
	return c
}

// maxDetails bounds the examples that are given for a broken outcome.
const maxDetails = 3

// violations compares a class with its stated outcomes.
func (row *classStats) violations() (out []string) {
	c, s := row.report, row.spec
	addf := func(format string, args ...any) { out = append(out, c.Name+": "+fmt.Sprintf(format, args...)) }
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	if c.Partial+c.Wrong > 0 {
		addf("%d partial and %d wrong answers; none allowed", c.Partial, c.Wrong)
	}
	if share(c.Answered, c.Sent) < s.MinAnswered {
		addf("%d of %d answered; stated: %v", c.Answered, c.Sent, s.MinAnswered)
	}
	if share(c.Late, c.Answered) > s.MaxLate {
		addf("%d of %d late; stated: %v", c.Late, c.Answered, s.MaxLate)
	}
	if share(c.Unknown, c.Sent) > s.MaxUnknown {
		addf("%d of %d unknown; stated: %v", c.Unknown, c.Sent, s.MaxUnknown)
	}
	if len(out) > 0 {
		out = append(out, row.details[:min(maxDetails, len(row.details))]...)
	}
	return out
}
