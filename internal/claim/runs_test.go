package claim

import (
	"strconv"
	"testing"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

var runTestKey = record.RequestKey{Team: "t", Key: "k"}

// acceptRun lets a table accept a run of runTestKey.
func acceptRun(table *runTable, run record.RunID) bool {
	table.beginStarted(runTestKey)
	defer table.beginDone(runTestKey)
	return table.accept(Request{Key: runTestKey}, Ticket{Run: run})
}

// TestFencedRunIsNotAccepted guards against a second run of a call: the ticket
// of a run arrives after its runner has denied the run and the holder has given
// the key to another attempt.
func TestFencedRunIsNotAccepted(t *testing.T) {
	table := newRunTable("a1", time.Now)
	table.beginStarted(runTestKey)
	if state := table.fence(runTestKey, "r1"); !state.NotStarted {
		t.Fatalf("state of a run that was not accepted: %+v, want not started", state)
	}
	if table.accept(Request{Key: runTestKey}, Ticket{Run: "r1"}) {
		t.Fatal("fenced run was accepted")
	}
	if !table.accept(Request{Key: runTestKey}, Ticket{Run: "r2"}) {
		t.Fatal("another run of the key was not accepted")
	}
	table.beginDone(runTestKey)
	if len(table.begins) != 0 {
		t.Fatalf("%d keys kept after their last Begin", len(table.begins))
	}
}

// TestEndedRunIsKeptUntilItsOutcomeIsLogged guards against a runner that denies a
// run that it has executed.
func TestEndedRunIsKeptUntilItsOutcomeIsLogged(t *testing.T) {
	table := newRunTable("a1", time.Now)
	if !acceptRun(table, "r1") {
		t.Fatal("run was not accepted")
	}
	if state := table.fence(runTestKey, "r1"); !state.Running {
		t.Fatalf("state of an accepted run: %+v, want running", state)
	}
	table.end(runTestKey, record.OutcomeAnswered, nil)
	logged := fold.Claim{Claim: record.Claim{Key: runTestKey, Run: "r1"}}
	claimOf := func(record.RequestKey) (fold.Claim, bool) { return logged, true }
	table.lostEnds(claimOf, endLogDelay)
	if state := table.fence(runTestKey, "r1"); state.Outcome != record.OutcomeAnswered {
		t.Fatalf("state of a run whose outcome is not logged: %+v, want answered", state)
	}
	logged.Outcome = record.OutcomeAnswered
	table.lostEnds(claimOf, endLogDelay)
	if len(table.ended) != 0 {
		t.Fatalf("%d ended runs kept after their outcomes were logged", len(table.ended))
	}
}

// TestEndIsLoggedOnceItsClaimIsThere checks when the runner appends an end in the
// holder's place: never before the claim, and again if the end doesn't get there.
func TestEndIsLoggedOnceItsClaimIsThere(t *testing.T) {
	now := time.Unix(0, 0)
	table := newRunTable("a1", func() time.Time { return now })
	acceptRun(table, "r1")
	table.end(runTestKey, record.OutcomeAnswered, nil)
	claimed := false
	claimOf := func(record.RequestKey) (fold.Claim, bool) {
		return fold.Claim{Claim: record.Claim{Key: runTestKey, Run: "r1"}}, claimed
	}
	for step, want := range []int{0, 0, 1, 0, 1} {
		claimed = step >= 2
		if got := table.lostEnds(claimOf, endLogDelay); len(got) != want {
			t.Fatalf("step %d, %s after the end: %d ends to log, want %d", step, now.Sub(time.Unix(0, 0)), len(got), want)
		}
		if step != 2 {
			now = now.Add(endLogDelay)
		}
	}
}

// TestRunThatWasNotExecutedIsDenied checks that a run that ended as not run does
// not block its key.
func TestRunThatWasNotExecutedIsDenied(t *testing.T) {
	table := newRunTable("a1", time.Now)
	acceptRun(table, "r1")
	table.end(runTestKey, record.OutcomeNotRun, nil)
	if state := table.fence(runTestKey, "r1"); !state.NotStarted {
		t.Fatalf("state of a run that ended as not run: %+v, want not started", state)
	}
}

// TestFullRunTableDeniesNothing guards against a second run of a call whose
// outcome did not fit into the table.
func TestFullRunTableDeniesNothing(t *testing.T) {
	table := newRunTable("a1", time.Now)
	for n := range maxUnloggedEnds {
		table.ended[record.RunID(strconv.Itoa(n))] = endedRun{}
	}
	acceptRun(table, "last")
	table.end(runTestKey, record.OutcomeAnswered, nil)
	if state := table.fence(runTestKey, "last"); state != (RunningReply{}) {
		t.Fatalf("state of a run that did not fit: %+v, want none", state)
	}
}

// TestSupersededRunIsNotDenied guards against denying a run whose key belongs to
// another run at this instance, as after a forced close.
func TestSupersededRunIsNotDenied(t *testing.T) {
	table := newRunTable("a1", time.Now)
	acceptRun(table, "r1")
	acceptRun(table, "r2")
	if state := table.fence(runTestKey, "r1"); state.Outcome != record.OutcomeUnknown {
		t.Fatalf("state of the earlier run: %+v, want an unknown outcome", state)
	}
}
