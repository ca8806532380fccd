package configcheck_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"guavapier/internal/configcheck"
	"guavapier/internal/route"
	"guavapier/platform"
)

// decode decodes a desired state as the instances do.
func decode(t *testing.T, text string) route.DesiredState {
	t.Helper()
	s, err := platform.DecodeState([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Each case of testdata is a desired state and what is found in it, or two of them and what
// differs.
func TestFindingsAndDifferences(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			instance := configcheck.Instance{MemoryBytes: 1 << 20, MaxHeaderBytes: 64 << 10}
			var lines []string
			switch d.Cmd {
			case "check":
				for _, f := range configcheck.Check(decode(t, d.Input), instance) {
					lines = append(lines, f.String())
				}
			case "compare":
				before, after, _ := strings.Cut(d.Input, "=>")
				differences, findings := configcheck.Compare(decode(t, before), decode(t, after))
				for _, difference := range differences {
					lines = append(lines, difference.String())
				}
				for _, f := range findings {
					lines = append(lines, f.String())
				}
			default:
				d.Fatalf(t, "command %q does not exist", d.Cmd)
			}
			return strings.Join(append(lines, ""), "\n")
		})
	})
}

// The check judges by the instances' rule for attempts: one that does not answer is given up
// after three times the latency target.
func TestAttemptsThatFitTheTimeout(t *testing.T) {
	for _, test := range []struct {
		timeout, target time.Duration
		repeat          route.RepeatPolicy
		max, want       int
	}{
		{1200 * time.Millisecond, 150 * time.Millisecond, route.Idempotent, 4, 3},
		{1200 * time.Millisecond, 150 * time.Millisecond, route.AtMostOnce, 4, 4},
		{450 * time.Millisecond, 150 * time.Millisecond, route.Idempotent, 4, 1},
		{0, 150 * time.Millisecond, route.Idempotent, 4, 4},
		{time.Minute, 0, route.Idempotent, 9, route.MaxAttempts},
	} {
		r := route.Route{Timeout: test.timeout, LatencyTarget: test.target, Repeat: test.repeat, MaxEndpoints: test.max}
		if got := r.AttemptsWithinTimeout(); got != test.want {
			t.Errorf("%d attempts for %+v, want %d", got, r, test.want)
		}
	}
}
