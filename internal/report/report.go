// Package report summarises the outcomes of callers' requests from the logs of any number
// of instances: answered in time or late, or refused or failed for a reason, by route, by
// availability zone and over time. It shows operators where requests were lost; `guavapier
// explain` shows what happened to a single request.
package report

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/forward"
)

// maxLineBytes bounds one line of a log; Read fails on a longer one.
const maxLineBytes = 1 << 20

// requestEndedMessage is the message of the line that the forwarder logs at the end of each
// request.
const requestEndedMessage = "forward: request ended"

// Outcome is how a request ended: InTime, Late or a forward.Reason.
type Outcome string

// The outcomes of requests that succeeded; all others are values of forward.Reason.
const (
	InTime Outcome = "in time"
	Late   Outcome = "late" // The response began after the route's target latency.
)

// Request is one finished request as its log line describes it.
type Request struct {
	EndedAt time.Time
	Route   string
	Zone    string
	Outcome Outcome
}

// logLine holds those fields of a log line that a report uses.
type logLine struct {
	Message string    `json:"message"`
	Time    time.Time `json:"time"`
	Route   string    `json:"route"`
	Zone    string    `json:"zone"`
	Reason  Outcome   `json:"reason"`
	Status  int       `json:"status"`
	Late    bool      `json:"late"`
	// Lines is how many log lines were dropped or rate limited before this one.
	Lines int64 `json:"lines"`
}

// RequestLog is the content of the logs that were read.
type RequestLog struct {
	Requests []Request // Ordered by EndedAt.
	// MissingLines is how many lines of any kind the instances reported as dropped or rate
	// limited.
	MissingLines int64
}

// Read reads log lines. Each may have a prefix before its JSON object, such as the name of a
// host. Lines that are not an instance's are skipped. It fails if r does, or on a line longer
// than maxLineBytes.
func Read(r io.Reader) (RequestLog, error) {
	var log RequestLog
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, object, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		var l logLine
		if err := json.Unmarshal([]byte("{"+object), &l); err != nil {
			continue // Not a log line of an instance.
		}
		log.MissingLines += l.Lines
		if l.Message == requestEndedMessage {
			log.Requests = append(log.Requests, l.request())
		}
	}
	if err := scanner.Err(); err != nil {
		return log, eris.Wrap(err, "report: read log")
	}
	slices.SortStableFunc(log.Requests, func(a, b Request) int { return a.EndedAt.Compare(b.EndedAt) })
	return log, nil
}

// request returns the request whose end the line describes.
func (l logLine) request() Request {
	return Request{EndedAt: l.Time, Route: l.Route, Zone: l.Zone, Outcome: l.outcome()}
}

// outcome returns the logged reason only if the caller got no success: a request that
// succeeded after a failed attempt has that attempt's reason in its line.
func (l logLine) outcome() Outcome {
	const firstNonSuccessStatus = 300
	switch {
	case (l.Status == 0 || l.Status >= firstNonSuccessStatus) && l.Reason != "":
		return l.Reason
	case l.Status == 0 || l.Status >= firstNonSuccessStatus:
		return Outcome(forward.ReasonAnswerFailed)
	case l.Late:
		return Late
	}
	return InTime
}

// Row holds how many requests of one group had each outcome.
type Row struct {
	Group  string
	Counts map[Outcome]int
	Total  int
}

// Table is a table of outcome counts with one row per group.
type Table struct {
	Name string // Header of the column of groups.
	// Outcomes are the columns: in time, late, then the reasons, the most frequent in the
	// whole log first.
	Outcomes []Outcome
	Rows     []Row
}

// GroupBy counts the requests by the group that each belongs to. The rows are ordered by
// group; name is the header of their column.
func (l RequestLog) GroupBy(name string, group func(Request) string) Table {
	t := Table{Name: name, Outcomes: l.outcomeColumns()}
	index := map[string]int{}
	for _, e := range l.Requests {
		key := group(e)
		i, known := index[key]
		if !known {
			i = len(t.Rows)
			index[key] = i
			t.Rows = append(t.Rows, Row{Group: key, Counts: map[Outcome]int{}})
		}
		t.Rows[i].Counts[e.Outcome]++
		t.Rows[i].Total++
	}
	slices.SortFunc(t.Rows, func(a, b Row) int { return cmp.Compare(a.Group, b.Group) })
	return t
}

// GroupByTime counts the requests by consecutive time spans of the given length, which
// begin with the first request. Each row's group is the offset at which its span begins; a
// span without requests has a row of zeros.
func (l RequestLog) GroupByTime(span time.Duration) Table {
	t := Table{Name: "from", Outcomes: l.outcomeColumns()}
	if len(l.Requests) == 0 {
		return t
	}
	start := l.Requests[0].EndedAt
	for _, e := range l.Requests {
		i := int(e.EndedAt.Sub(start) / span)
		for len(t.Rows) <= i {
			at := time.Duration(len(t.Rows)) * span
			t.Rows = append(t.Rows, Row{Group: at.String(), Counts: map[Outcome]int{}})
		}
		t.Rows[i].Counts[e.Outcome]++
		t.Rows[i].Total++
	}
	return t
}

// outcomeColumns returns the columns of the log's tables; see Table.Outcomes.
func (l RequestLog) outcomeColumns() []Outcome {
	counts := map[Outcome]int{}
	for _, e := range l.Requests {
		counts[e.Outcome]++
	}
	delete(counts, InTime)
	delete(counts, Late)
	list := make([]Outcome, 0, len(counts))
	for o := range counts {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b Outcome) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	return append([]Outcome{InTime, Late}, list...)
}
