package process_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"guavapier/internal/load"
)

// TestReplayOfEachDeployment replays the trace of each example deployment and
// checks the outcomes that the trace states, once without faults and once with an
// instance and an engine killed during the replay.
func TestReplayOfEachDeployment(t *testing.T) {
	for name, service := range map[string]string{"dala-vibro": "rig", "agenda-quispe": "scheduling"} {
		trace, err := load.ReadTrace("../../examples/traces/" + name + ".jsonl")
		if err != nil {
			t.Fatal(err)
		}
		t.Run(name, func(t *testing.T) { replayTrace(t, trace, service, false) })
		t.Run(name+", instance and engine killed", func(t *testing.T) {
			allowUnknownCalls(trace.Classes)
			replayTrace(t, trace, service, true)
		})
	}
}

// replayTrace replays a trace through a new fleet and requires the stated outcomes,
// no call run twice and no more tokens committed than prepaid. With withFaults it
// kills an instance and an engine during the replay.
func replayTrace(t *testing.T, trace load.Trace, service string, withFaults bool) {
	t.Helper()
	f := startFleet(t, 4, 3)
	mustCall(t, http.MethodPut, f.platform+"/endpoints", "", f.endpointRows("", service))
	var targets []string
	for _, in := range f.instances {
		targets = append(targets, in.callersURL)
	}
	if withFaults {
		time.AfterFunc(3*time.Second, func() { f.instances[1].signal(syscall.SIGKILL) })
		time.AfterFunc(4*time.Second, func() { f.engines[2].signal(syscall.SIGKILL) })
	}
	time.Sleep(time.Second) // Time for the instances to read the endpoint list with the new service name.
	report, err := load.Replay(t.Context(), trace, load.Options{Targets: targets, APIKey: f.key, StandIn: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range report.Classes {
		t.Logf("%+v", c)
	}
	if len(report.Violations) > 0 {
		t.Errorf("stated outcomes not met:\n%s", strings.Join(report.Violations, "\n"))
	}
	for run, count := range f.callRuns() {
		if count > 1 {
			t.Errorf("call %s ran %d times, want at most 1", run, count)
		}
	}
	if row := readBudget(t, f.instances[2].operatorsURL, "dala"); row.Committed > row.Prepaid {
		t.Errorf("committed %d tokens of %d prepaid", row.Committed, row.Prepaid)
	}
}

// allowUnknownCalls relaxes the stated outcomes for a replay in which an instance
// is killed: calls that may not be repeated and were in flight there may end with an
// unknown outcome. Latency bounds apply to the replay without faults only.
func allowUnknownCalls(classes []load.ClassSpec) {
	for i := range classes {
		classes[i].MaxLate = 1
		if classes[i].Kind == load.KindCall {
			classes[i].MinAnswered, classes[i].MaxUnknown = 0.9, 0.1
		}
	}
}
