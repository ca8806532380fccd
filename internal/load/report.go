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
	Classes []Class       `json:"classes"`
	// Broken lists the stated outcomes that were not met; empty if all were.
	Broken []string `json:"broken"`
}

// Class is the outcome for one class of requests.
type Class struct {
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
	lowest  = 1
	highest = int64(time.Hour / time.Microsecond)
	digits  = 3
)

// tally counts one class. Tallies.mu guards it.
type tally struct {
	spec         ClassSpec
	class        Class
	first, whole *hdrhistogram.Histogram
	notes        []string
}

type tallies struct {
	mu    sync.Mutex
	order []*tally
	by    map[string]*tally
}

func newTallies(t Trace) *tallies {
	out := &tallies{by: map[string]*tally{}}
	for _, spec := range t.Classes {
		row := &tally{
			spec: spec, class: Class{Name: spec.Name},
			first: hdrhistogram.New(lowest, highest, digits), whole: hdrhistogram.New(lowest, highest, digits),
		}
		out.order = append(out.order, row)
		out.by[spec.Name] = row
	}
	return out
}

func (t *tallies) add(r Request, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.by[r.Class]
	row.class.Sent++
	switch o.kind {
	case answered:
		row.class.Answered++
		row.time(o)
	case notRun:
		row.class.NotRun++
	case partial:
		row.class.Partial++
	case wrong:
		row.class.Wrong++
	default:
		row.class.Unknown++
	}
	if o.kind != answered {
		row.notes = append(row.notes, fmt.Sprintf("%s: %s: %s", r.ID, o.kind, o.note))
	}
}

func (row *tally) time(o outcome) {
	_ = row.first.RecordValue(max(o.first.Microseconds(), lowest))
	_ = row.whole.RecordValue(max(o.whole.Microseconds(), lowest))
	over := func(took time.Duration, ms int64) bool { return ms > 0 && took > time.Duration(ms)*time.Millisecond }
	if over(o.first, row.spec.FirstMs) || over(o.whole, row.spec.WholeMs) {
		row.class.Late++
	}
}

func (t *tallies) report(took time.Duration) Report {
	out := Report{Took: took, Broken: []string{}}
	for _, row := range t.order {
		if row.class.Sent == 0 {
			continue
		}
		out.Classes = append(out.Classes, row.close())
		out.Broken = append(out.Broken, row.broken()...)
	}
	return out
}

func (row *tally) close() Class {
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	c := row.class
	c.FirstP50, c.FirstP99 = at(row.first, 50), at(row.first, 99)
	c.WholeP50, c.WholeP99 = at(row.whole, 50), at(row.whole, 99)
	return c
}

// maxNotes bounds the examples that are given for a broken outcome.
const maxNotes = 3

// broken compares a class with its stated outcomes.
func (row *tally) broken() (out []string) {
	c, s := row.class, row.spec
	find := func(format string, args ...any) { out = append(out, c.Name+": "+fmt.Sprintf(format, args...)) }
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	if c.Partial+c.Wrong > 0 {
		find("%d partial and %d wrong answers; none allowed", c.Partial, c.Wrong)
	}
	if share(c.Answered, c.Sent) < s.Answered {
		find("%d of %d answered; stated: %v", c.Answered, c.Sent, s.Answered)
	}
	if share(c.Late, c.Answered) > s.Late {
		find("%d of %d late; stated: %v", c.Late, c.Answered, s.Late)
	}
	if share(c.Unknown, c.Sent) > s.Unknown {
		find("%d of %d unknown; stated: %v", c.Unknown, c.Sent, s.Unknown)
	}
	if len(out) > 0 {
		out = append(out, row.notes[:min(maxNotes, len(row.notes))]...)
	}
	return out
}
