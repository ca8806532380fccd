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

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// endedMessage is the message of the line that each request ends with, as the
// forwarder writes it.
const endedMessage = "forward: request ended"

// Outcome is what became of a request.
type Outcome string

// The outcomes besides reasons of forward.Reason.
const (
	InTime Outcome = "in time"
	Late   Outcome = "late"
)

// Ended is one request's end as its log line tells it.
type Ended struct {
	At      time.Time
	Route   string
	Zone    string
	Outcome Outcome
}

// line is the part of a log line that is read here.
type line struct {
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

// Log is what was read.
type Log struct {
	Ended []Ended // By time.
	// Missing is how many lines the instances did not write, as they say.
	Missing int64
}

// Read reads log lines; each may have something in front of its JSON object,
// such as the name of a host. Lines of other kinds are passed over.
func Read(r io.Reader) (Log, error) {
	var log Log
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		_, object, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		var l line
		if err := json.Unmarshal([]byte("{"+object), &l); err != nil {
			continue // Not a line of an instance's.
		}
		log.Missing += l.Lines
		if l.Message == endedMessage {
			log.Ended = append(log.Ended, l.ended())
		}
	}
	if err := scanner.Err(); err != nil {
		return log, eris.Wrap(err, "report: read log")
	}
	slices.SortStableFunc(log.Ended, func(a, b Ended) int { return a.At.Compare(b.At) })
	return log, nil
}

func (l line) ended() Ended {
	return Ended{At: l.Time, Route: l.Route, Zone: l.Zone, Outcome: l.outcome()}
}

// outcome is the reason where the caller got no success. A request that was
// answered after an attempt had failed keeps the attempt's reason in its line.
func (l line) outcome() Outcome {
	const firstNoSuccess = 300
	switch {
	case (l.Status == 0 || l.Status >= firstNoSuccess) && l.Reason != "":
		return l.Reason
	case l.Status == 0 || l.Status >= firstNoSuccess:
		return Outcome(forward.ReasonAnswerFailed)
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

// By groups the log's requests, the groups in order of their names.
func (l Log) By(name string, group func(Ended) string) Table {
	t := Table{Name: name, Outcomes: l.outcomes()}
	index := map[string]int{}
	for _, e := range l.Ended {
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

// Over groups the log's requests by spans of time from its first one on; spans
// without a request have a row of zeros.
func (l Log) Over(span time.Duration) Table {
	t := Table{Name: "from", Outcomes: l.outcomes()}
	if len(l.Ended) == 0 {
		return t
	}
	start := l.Ended[0].At
	for _, e := range l.Ended {
		i := int(e.At.Sub(start) / span)
		for len(t.Rows) <= i {
			at := time.Duration(len(t.Rows)) * span
			t.Rows = append(t.Rows, Row{Group: at.String(), Counts: map[Outcome]int{}})
		}
		t.Rows[i].Counts[e.Outcome]++
		t.Rows[i].Total++
	}
	return t
}

// outcomes lists the log's outcomes as columns.
func (l Log) outcomes() []Outcome {
	counts := map[Outcome]int{}
	for _, e := range l.Ended {
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
