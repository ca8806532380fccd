// Package report sums up what became of callers' requests from the logs of any
// instances: answered in time or late, refused or failed and why, by route, by
// availability zone and over time. It is for operators who ask where an hour's
// requests were lost; one request's story is `guavapier explain`.
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

// maxLineBytes bounds one line of a log, in bytes.
const maxLineBytes = 1 << 20

// requestEndedMessage is the message of the line that each request ends with, as the
// forwarder writes it.
const requestEndedMessage = "forward: request ended"

// Outcome is what became of a request.
type Outcome string

// The outcomes besides reasons of forward.Reason.
const (
	InTime Outcome = "in time"
	Late   Outcome = "late"
)

// Request is one request's end as its log line tells it.
type Request struct {
	EndedAt time.Time
	Route   string
	Zone    string
	Outcome Outcome
}

// logLine is the part of a log logLine that is read here.
type logLine struct {
	Message string    `json:"message"`
	Time    time.Time `json:"time"`
	Route   string    `json:"route"`
	Zone    string    `json:"zone"`
	Reason  Outcome   `json:"reason"`
	Status  int       `json:"status"`
	Late    bool      `json:"late"`
	// Lines tells how many lines were dropped or thinned before.
	Lines int64 `json:"lines"`
}

// RequestLog is what was read.
type RequestLog struct {
	Requests []Request // By time.
	// MissingLines is how many lines the instances did not write, as they say.
	MissingLines int64
}

// Read reads log lines; each may have something in front of its JSON object,
// such as the name of a host. Lines of other kinds are passed over.
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
			continue // Not a line of an instance's.
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

func (l logLine) request() Request {
	return Request{EndedAt: l.Time, Route: l.Route, Zone: l.Zone, Outcome: l.outcome()}
}

// outcome is the reason where the caller got no success. A request that was
// answered after an attempt had failed keeps the attempt's reason in its line.
func (l logLine) outcome() Outcome {
	const firstNonSuccessStatus = 300
	switch {
	case (l.Status == 0 || l.Status >= firstNonSuccessStatus) && l.Reason != "":
		return l.Reason
	case l.Status == 0 || l.Status >= firstNonSuccessStatus:
		return Outcome(forward.ReasonBroken)
	case l.Late:
		return Late
	}
	return InTime
}

// Row counts the outcomes of one group.
type Row struct {
	Group  string
	Counts map[Outcome]int
	Total  int
}

// Table holds the groups of a log.
type Table struct {
	Name string
	// Outcomes are the columns: in time, late, then the reasons, the most
	// frequent first.
	Outcomes []Outcome
	Rows     []Row
}

// GroupBy groups the log's requests, the groups in order of their names.
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

// GroupByTime groups the log's requests by spans of time from its first one on; spans
// without a request have a row of zeros.
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

// outcomeColumns lists the log's outcomeColumns as columns.
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
