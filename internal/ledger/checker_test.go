package ledger_test

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// recorder takes the verdict of a property that should fail.
type recorder struct {
	name   string
	failed bool
	lines  strings.Builder
}

var _ rapid.TB = (*recorder)(nil)

func (r *recorder) Helper()                   {}
func (r *recorder) Name() string              { return r.name }
func (r *recorder) Logf(f string, a ...any)   { fmt.Fprintf(&r.lines, f+"\n", a...) }
func (r *recorder) Log(a ...any)              { fmt.Fprintln(&r.lines, a...) }
func (r *recorder) Skipf(f string, a ...any)  { r.Logf(f, a...); r.SkipNow() }
func (r *recorder) Skip(a ...any)             { r.Log(a...); r.SkipNow() }
func (r *recorder) SkipNow()                  { runtime.Goexit() }
func (r *recorder) Errorf(f string, a ...any) { r.Logf(f, a...); r.Fail() }
func (r *recorder) Error(a ...any)            { r.Log(a...); r.Fail() }
func (r *recorder) Fatalf(f string, a ...any) { r.Logf(f, a...); r.FailNow() }
func (r *recorder) Fatal(a ...any)            { r.Log(a...); r.FailNow() }
func (r *recorder) Fail()                     { r.failed = true }
func (r *recorder) FailNow()                  { r.failed = true; runtime.Goexit() }
func (r *recorder) Failed() bool              { return r.failed }

// TestCheckerSeesBrokenLedgers: with one rule broken on purpose, the state
// machine finds the invariant that breaks.
func TestCheckerSeesBrokenLedgers(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	defer func() { _ = checks.Value.Set(before) }()
	if err := checks.Value.Set("2000"); err != nil { // It ends at the first finding.
		t.Fatal(err)
	}
	for _, broken := range []struct {
		name    string
		variant variant
		finds   string
	}{
		{"holder makes its acknowledgements up", ownAcks, "spend: "},
		{"holder uses a grant that is not on the log", unreadGrants, "spend: "},
		{"a retry's bill has another key", renamedBills, "bills: "},
		{"a return counts twice", doubledReturns, "spend: "},
	} {
		t.Run(broken.name, func(t *testing.T) {
			r := &recorder{name: t.Name()}
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(r, ledgerMachine(broken.variant))
			}()
			<-done
			if !r.failed || !strings.Contains(r.lines.String(), broken.finds) {
				t.Fatalf("not found, failed %v: %s", r.failed, r.lines.String())
			}
		})
	}
}
