package cli

import (
	"bytes"
	"strings"
	"testing"
)

// explainLog holds lines of two requests out of order, with a host name in front,
// and lines that are not JSON.
const explainLog = `entry-2 {"level":"warn","request":"r1","status":503,"reason":"budget not at hand","time":"2026-01-01T00:00:00.020Z","message":"forward: request ended"}
no line of ours
{"broken
entry-1 {"level":"info","request":"r2","time":"2026-01-01T00:00:00.015Z","message":"forward: request ended"}
entry-2 {"level":"info","request":"r1","team":"org","budget":{"at_hand":5},"time":"2026-01-01T00:00:00.010Z","message":"forward: budget refused"}
`

func TestExplainTellsOneRequestInOrder(t *testing.T) {
	var out, errs bytes.Buffer
	if code := Main([]string{"explain", "r1"}, strings.NewReader(explainLog), &out, &errs); code != exitOK {
		t.Fatalf("exit code %d, want 0: %s", code, errs.String())
	}
	want := `entry-2 2026-01-01T00:00:00.010Z forward: budget refused budget={"at_hand":5} team="org"
entry-2 2026-01-01T00:00:00.020Z forward: request ended reason="budget not at hand" status=503
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

func TestExplainSaysWhenNothingIsKnown(t *testing.T) {
	var out, errs bytes.Buffer
	if code := Main([]string{"explain", "r9"}, strings.NewReader(explainLog), &out, &errs); code != exitFailure || !strings.Contains(errs.String(), "no line names request") {
		t.Errorf("exit code %d, stderr %q; want 1 and that no line names the request", code, errs.String())
	}
}
