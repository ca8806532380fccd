package process_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"sync"
	"testing"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/operator"
	"guavapier/internal/record"
)

const (
	// retainedEntries is the number of entries that the log keeps per stream. It
	// is small enough that entries written early in a test are dropped by its end.
	retainedEntries   = 200
	frequentSnapshots = "[snapshots]\nevery = \"1s\"\n"
)

// conservatismPath returns the settings path of the conservatism of team dala's
// budget b<n>.
func conservatismPath(n int) string { return fmt.Sprintf("/teams/dala/budgets/b%d/lean", n) }

// putChange sends a settings change with one operation.
func putChange(operators, id string, op record.ChangeOp) response {
	return call(http.MethodPut, operators+"/settings", operatorToken, operator.ChangeRequest{ID: id, By: "test", Ops: []record.ChangeOp{op}})
}

// readSettings returns the settings that an instance has in force, by path.
func readSettings(t *testing.T, operators string) map[string]fold.Value {
	t.Helper()
	var rows []fold.Value
	if err := json.Unmarshal([]byte(mustCall(t, http.MethodGet, operators+"/settings", operatorToken, nil).body), &rows); err != nil {
		t.Fatal(err)
	}
	out := map[string]fold.Value{}
	for _, v := range rows {
		out[v.Path] = v
	}
	return out
}

// firstKeptOffset returns the oldest offset of a stream that the log still keeps.
func firstKeptOffset(t *testing.T, operators string, stream record.Stream) uint64 {
	t.Helper()
	var state struct {
		Streams []struct {
			Stream record.Stream `json:"stream"`
			First  uint64        `json:"first_kept"`
		} `json:"streams"`
	}
	if err := json.Unmarshal([]byte(mustCall(t, http.MethodGet, operators+"/state", operatorToken, nil).body), &state); err != nil {
		t.Fatal(err)
	}
	for _, row := range state.Streams {
		if row.Stream == stream {
			return row.First
		}
	}
	t.Fatalf("stream %s is not in the state dump", stream)
	return 0
}

// After every record of the initial settings and top-up has aged out of the log
// and all instances are replaced, settings and budgets are as before: neither lost
// nor reverted to an earlier value.
func TestNothingRevertsOverRetentionAndReplacement(t *testing.T) {
	_, platform := startStandin(t, "platform", "-lag", listLag, "-retain", fmt.Sprint(retainedEntries))
	old := []*instance{
		startInstance(t, "a1", "hall-a", platform, frequentSnapshots),
		startInstance(t, "b1", "hall-b", platform, frequentSnapshots),
	}
	seedTeam(t, old[0].operatorsURL, "dala", 1_000_000)
	if got := putChange(old[0].operatorsURL, "seed-lean", record.ChangeOp{Path: conservatismPath(0), Value: "0.25"}); got.status != http.StatusOK {
		t.Fatalf("put the initial setting: %+v", got)
	}
	var fillers sync.WaitGroup
	fillers.Go(func() { writeFillerChanges(t, old[0].operatorsURL) })
	fillers.Go(func() {
		for n := range retainedEntries + retainedEntries/2 {
			topUp(t, old[1].operatorsURL, "dala", fmt.Sprint("fill-", n), 1)
		}
	})
	fillers.Wait()
	ledger := record.LedgerStream(record.TeamPartition("dala", 8))
	for _, stream := range []record.Stream{record.ConfigStream, ledger} {
		if firstKeptOffset(t, old[0].operatorsURL, stream) == 0 {
			t.Fatalf("no record of stream %s has aged out, so the test proves nothing", stream)
		}
	}
	wantSettings, wantBudget := readSettings(t, old[0].operatorsURL), readBudget(t, old[1].operatorsURL, "dala")
	for _, in := range old {
		in.kill()
	}
	replacement := startInstance(t, "a2", "hall-a", platform, frequentSnapshots)
	if got := readSettings(t, replacement.operatorsURL); !reflect.DeepEqual(got, wantSettings) {
		t.Errorf("settings differ: %v, want %v", got, wantSettings)
	}
	if got := readBudget(t, replacement.operatorsURL, "dala"); got != wantBudget || got.Prepaid != 1_000_000+retainedEntries+retainedEntries/2 {
		t.Errorf("budget %+v, want %+v", got, wantBudget)
	}
	// The retry of a top-up whose record the log no longer keeps is not applied
	// again.
	topUp(t, replacement.operatorsURL, "dala", fmt.Sprint("fill-", retainedEntries+retainedEntries/2-1), 1)
	if got := readBudget(t, replacement.operatorsURL, "dala"); got != wantBudget {
		t.Errorf("a retried top-up was applied twice: budget %+v, want %+v", got, wantBudget)
	}
}

// writeFillerChanges changes one path often enough that the first entries of the
// configuration stream age out.
func writeFillerChanges(t *testing.T, operators string) {
	base := uint64(0)
	for n := range retainedEntries + retainedEntries/2 {
		got := putChange(operators, fmt.Sprint("fill-", n), record.ChangeOp{Path: conservatismPath(1), Value: "0.5", Base: base})
		var result fold.ChangeResult
		if err := json.Unmarshal([]byte(got.body), &result); err != nil || got.status != http.StatusOK {
			t.Errorf("put filler change: %+v", got)
			return
		}
		base = result.Offset + 1
	}
}

// With retention by age, records of a stream without further writes age out too.
// The state that they hold survives in snapshots, also when the instance is
// replaced.
func TestQuietStreamOutlivesTheRetention(t *testing.T) {
	const retention = 4 * time.Second
	_, platform := startStandin(t, "platform", "-lag", listLag, "-retain-for", retention.String())
	in := startInstance(t, "a1", "hall-a", platform, frequentSnapshots)
	seedTeam(t, in.operatorsURL, "dala", 1_000_000)
	want := readSettings(t, in.operatorsURL)
	ledger := record.LedgerStream(record.TeamPartition("dala", 8))
	eventually(t, "the initial records have aged out", func() bool {
		return firstKeptOffset(t, in.operatorsURL, record.ConfigStream) > 0 && firstKeptOffset(t, in.operatorsURL, ledger) > 0
	})
	in.kill()
	replacement := startInstance(t, "a2", "hall-a", platform, frequentSnapshots)
	if got := readSettings(t, replacement.operatorsURL); !reflect.DeepEqual(got, want) {
		t.Errorf("settings differ: %v, want %v", got, want)
	}
	if got := readBudget(t, replacement.operatorsURL, "dala"); got.Prepaid != 1_000_000 {
		t.Errorf("budget %+v, want 1000000 tokens prepaid", got)
	}
}

// If records have aged out that no snapshot covers, a new instance's tables would
// be incomplete. It counts the missing records in a metric and stays not ready
// instead of serving.
func TestInstanceWithoutAWholePastIsNotReady(t *testing.T) {
	const retainedRecords = 3
	_, platform := startStandin(t, "platform", "-lag", listLag, "-retain", fmt.Sprint(retainedRecords))
	for range retainedRecords + 1 {
		mustCall(t, http.MethodPost, platform+"/log/"+string(record.ConfigStream), "", "no batch")
	}
	_, line := startProcess(t, "server: serving", "serve", "-settings", instanceSettings(t, "a1", "hall-a", platform, ""))
	var at listenAddresses
	if err := json.Unmarshal([]byte(line), &at); err != nil {
		t.Fatal(err)
	}
	eventually(t, "missing records counted", func() bool {
		var got map[string]struct {
			Count int `json:"count"`
		}
		text := mustCall(t, http.MethodGet, "http://"+at.Operators+"/metrics", operatorToken, nil).body
		return json.Unmarshal([]byte(text), &got) == nil && got["replica.records_aged_out"].Count > 1
	})
	if got := call(http.MethodGet, "http://"+at.Callers+"/readyz", "", nil); got.status != http.StatusServiceUnavailable {
		t.Fatalf("readiness probe with incomplete tables: %+v, want status 503", got)
	}
}
