package ledger_test

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// failureRecorder is a rapid.TB that records the failure of a property that is
// expected to fail.
type failureRecorder struct {
	name   string
	failed bool
	lines  strings.Builder
}

var _ rapid.TB = (*failureRecorder)(nil)

func (r *failureRecorder) Helper()                   {}
func (r *failureRecorder) Name() string              { return r.name }
func (r *failureRecorder) Logf(f string, a ...any)   { fmt.Fprintf(&r.lines, f+"\n", a...) }
func (r *failureRecorder) Log(a ...any)              { fmt.Fprintln(&r.lines, a...) }
func (r *failureRecorder) Skipf(f string, a ...any)  { r.Logf(f, a...); r.SkipNow() }
func (r *failureRecorder) Skip(a ...any)             { r.Log(a...); r.SkipNow() }
func (r *failureRecorder) SkipNow()                  { runtime.Goexit() }
func (r *failureRecorder) Errorf(f string, a ...any) { r.Logf(f, a...); r.Fail() }
func (r *failureRecorder) Error(a ...any)            { r.Log(a...); r.Fail() }
func (r *failureRecorder) Fatalf(f string, a ...any) { r.Logf(f, a...); r.FailNow() }
func (r *failureRecorder) Fatal(a ...any)            { r.Log(a...); r.FailNow() }
func (r *failureRecorder) Fail()                     { r.failed = true }
func (r *failureRecorder) FailNow()                  { r.failed = true; runtime.Goexit() }
func (r *failureRecorder) Failed() bool              { return r.failed }

// TestCheckerSeesBrokenLedgers guards against a model-based test that can't
// fail: with one rule deliberately broken, it must report the invariant that
// the rule protects.
func TestCheckerSeesBrokenLedgers(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	defer func() { _ = checks.Value.Set(before) }()
	if err := checks.Value.Set("2000"); err != nil { // A run ends at its first failure.
		t.Fatal(err)
	}
	for _, broken := range []struct {
		name       string
		variant    productVariant
		wantPrefix string // Start of the failure text.
	}{
		{"holder makes its acknowledgements up", forgedAcks, "spend: "},
		{"holder uses a grant that is not on the log", unloggedGrants, "spend: "},
		{"a retry's bill has another key", uniqueBillKeys, "bills: "},
		{"a return counts twice", duplicatedReturns, "spend: "},
	} {
		t.Run(broken.name, func(t *testing.T) {
			r := &failureRecorder{name: t.Name()}
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(r, ledgerModelTest(broken.variant))
			}()
			<-done
			if !r.failed || !strings.Contains(r.lines.String(), broken.wantPrefix) {
				t.Fatalf("violation not reported, failed %v: %s", r.failed, r.lines.String())
			}
		})
	}
}
