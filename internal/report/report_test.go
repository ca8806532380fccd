package report_test

import (
	"strings"
	"testing"
	"time"

	"guavapier/internal/report"
)

const logText = `entry-1 {"level":"info","route":"chat","zone":"a","status":200,"reason":"","late":false,"time":"2026-01-01T00:00:00.1Z","message":"forward: request ended"}
entry-2 {"level":"info","route":"chat","zone":"b","status":200,"reason":"endpoint unreachable","late":true,"time":"2026-01-01T00:00:04.5Z","message":"forward: request ended"}
not a line of ours
{"level":"warn","route":"chat","zone":"a","status":503,"reason":"budget not at hand","late":false,"time":"2026-01-01T00:00:00.9Z","message":"forward: request ended"}
{"level":"warn","route":"call","zone":"a","status":0,"reason":"","late":false,"time":"2026-01-01T00:00:01Z","message":"forward: request ended"}
{"level":"info","request":"r1","time":"2026-01-01T00:00:01Z","message":"forward: attempt ended"}
{"level":"error","lines":7,"time":"2026-01-01T00:00:02Z","message":"logging: lines dropped or thinned"}
{"broken
`

func readLog(t *testing.T, text string) report.RequestLog {
	t.Helper()
	l, err := report.Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Each request counts once, under the outcome that its caller got. Lines that the instances
// report as dropped are counted as missing.
func TestOutcomesAreCountedByGroup(t *testing.T) {
	l := readLog(t, logText)
	if len(l.Requests) != 4 || l.MissingLines != 7 {
		t.Fatalf("%d requests and %d missing lines, want 4 and 7", len(l.Requests), l.MissingLines)
	}
	var text strings.Builder
	if err := l.GroupBy("route", func(e report.Request) string { return e.Route }).WriteText(&text); err != nil {
		t.Fatal(err)
	}
	want := `  route  all  in time  late  answer broken off  budget not at hand
   call    1        0     0                  1                   0
   chat    3        1     1                  0                   1
`
	if got := strings.ReplaceAll(text.String(), "  \n", "\n"); got != want {
		t.Errorf("got\n%q want\n%q", got, want)
	}
}

// A time span without requests has a row of zeros, so that gaps are visible.
func TestSpansHaveNoHoles(t *testing.T) {
	table := readLog(t, logText).GroupByTime(2 * time.Second)
	wantTotals := []int{3, 0, 1}
	if len(table.Rows) != len(wantTotals) {
		t.Fatalf("%d rows, want one for each span of 2 s", len(table.Rows))
	}
	for i, want := range wantTotals {
		if table.Rows[i].Total != want {
			t.Errorf("row %s has %d requests, want %d", table.Rows[i].Group, table.Rows[i].Total, want)
		}
	}
}

// A plot has a legend with its outcomes and a label for the time axis; a log without
// requests can't be plotted.
func TestAPlotNamesItsOutcomes(t *testing.T) {
	var svg strings.Builder
	if err := readLog(t, logText).GroupByTime(time.Second).WriteSVG(&svg, time.Second); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "in time", "late", "budget not at hand", "seconds"} {
		if !strings.Contains(svg.String(), want) {
			t.Errorf("the plot lacks %q", want)
		}
	}
	if err := readLog(t, "").GroupByTime(time.Second).WriteSVG(&svg, time.Second); err == nil {
		t.Error("a log without requests was plotted")
	}
}
