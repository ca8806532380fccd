package process_test

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
)

// An instance that drains during a platform outage exits in time all the same.
// Once the platform is reachable again, the tokens used are billed once.
func TestDrainDuringPlatformOutage(t *testing.T) {
	f := startFleet(t, 1, 2)
	got := f.streamChat(f.instances[0], 50, nil)
	if !got.complete {
		t.Fatalf("answer has %d tokens and is not complete, error %q", len(got.tokenTimes), got.err)
	}
	holder, other := f.grantHolder()
	mustCall(t, http.MethodPut, f.platform+"/faults", "", map[string]any{"outage": true})
	holder.signal(syscall.SIGTERM)
	if code := holder.exitCode(); code != 0 {
		t.Fatalf("exit code %d: %s", code, holder.output())
	}
	mustCall(t, http.MethodPut, f.platform+"/faults", "", map[string]any{})
	eventually(t, "used tokens billed once", func() bool {
		return readBudget(t, other.operatorsURL, "dala").Billed == got.totalTokens
	})
}

// grantHolder returns an instance that holds an open grant, and one other
// instance.
func (f *fleet) grantHolder() (holder, other *instance) {
	f.t.Helper()
	for n, in := range f.instances {
		var dump struct {
			Instance struct {
				ID string `json:"id"`
			} `json:"instance"`
			Grants []struct{ Holder string } `json:"grants"`
		}
		text := mustCall(f.t, http.MethodGet, in.operatorsURL+"/state", operatorToken, nil).body
		if err := json.Unmarshal([]byte(text), &dump); err != nil {
			f.t.Fatal(err)
		}
		for _, g := range dump.Grants {
			if g.Holder == dump.Instance.ID {
				return in, f.instances[(n+1)%len(f.instances)]
			}
		}
	}
	f.t.Fatal("no instance holds a grant")
	return nil, nil
}
