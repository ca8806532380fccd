package process_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"guavapier/internal/config"
)

// listLag is how far the stand-in platform's instance list lags behind changes.
const listLag = "100ms"

// deployment is a platform with two engines, in different availability zones, and
// one service on its endpoint list. Each is a process; the fields are base URLs.
type deployment struct {
	platform string
	engines  []string
	service  string
}

// startDeployment starts a deployment without instances.
func startDeployment(t *testing.T) deployment {
	t.Helper()
	var s deployment
	_, s.platform = startStandin(t, "platform", "-lag", listLag)
	endpoints := []map[string]any{}
	for i, zone := range []string{"hall-a", "hall-b"} {
		_, url := startStandin(t, "engine")
		s.engines = append(s.engines, url)
		endpoints = append(endpoints, map[string]any{"name": fmt.Sprintf("engine-%d", i+1), "zone": zone, "url": url, "model": "small"})
	}
	_, s.service = startStandin(t, "service")
	endpoints = append(endpoints, map[string]any{"name": "rig-1", "zone": "hall-a", "url": s.service, "service": "rig"})
	mustCall(t, http.MethodPut, s.platform+"/endpoints", "", endpoints)
	return s
}

func TestRequestIsServedThroughEveryInstance(t *testing.T) {
	s := startDeployment(t)
	instances := []*instance{
		startExampleInstance(t, "hall-a", s.platform),
		startExampleInstance(t, "hall-a", s.platform),
		startExampleInstance(t, "hall-b", s.platform),
	}
	key := seedTeam(t, instances[0].operatorsURL, "dala", 1_000_000)
	topUp(t, instances[2].operatorsURL, "dala", "second", 500_000)
	const tokens = 5
	var billed int64
	for n, in := range instances {
		eventually(t, "credential in force", func() bool {
			return call(http.MethodPost, in.callersURL+"/v1/chat/completions", key, map[string]any{}).status == http.StatusBadRequest
		})
		nonStreaming := mustCall(t, http.MethodPost, in.callersURL+"/v1/chat/completions", key, chatBody(tokens, false))
		var completion struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
			Usage struct {
				Total int64 `json:"total_tokens"`
			} `json:"usage"`
		}
		if err := json.Unmarshal([]byte(nonStreaming.body), &completion); err != nil {
			t.Fatal(err)
		}
		if got := completion.Choices[0].Message.Content; got != expectedText(tokens) {
			t.Fatalf("non-streaming answer %q", got)
		}
		billed += 2 * completion.Usage.Total
		streamed := mustCall(t, http.MethodPost, in.callersURL+"/v1/chat/completions", key, chatBody(tokens, true))
		if text, done := streamText(streamed.body); text != expectedText(tokens) || !done {
			t.Fatalf("streamed answer %q, closing event received: %v", text, done)
		}
		mustCall(t, http.MethodPost, in.callersURL+"/v1/services/rig/setpoint", key, map[string]any{"g": 0.5}, "Idempotency-Key", fmt.Sprint("call-", n))
	}
	for _, in := range instances {
		eventually(t, "same bill at every instance", func() bool { return readBudget(t, in.operatorsURL, "dala").Billed == billed })
	}
	for _, in := range instances {
		if row := readBudget(t, in.operatorsURL, "dala"); row.Prepaid != 1_500_000 || row.Committed > row.Prepaid {
			t.Fatalf("prepaid %d, committed %d", row.Prepaid, row.Committed)
		}
		here := mustCall(t, http.MethodGet, in.operatorsURL+"/settings", operatorToken, nil).body
		first := mustCall(t, http.MethodGet, instances[0].operatorsURL+"/settings", operatorToken, nil).body
		if here != first || !strings.Contains(here, config.HashKey(key)) {
			t.Fatalf("settings here %s, at the first instance %s", here, first)
		}
	}
	for run, count := range serviceRunCounts(t, s.service) {
		if count != 1 {
			t.Fatalf("call %s ran %d times, want 1", run, count)
		}
	}
}

// startExampleInstance runs an instance with the example settings of an
// availability zone, from examples/dala-vibro. It replaces only the listen
// addresses, the platform's URL and the paths of the secrets.
func startExampleInstance(t *testing.T, zone, platform string) *instance {
	t.Helper()
	text, err := os.ReadFile("../../examples/dala-vibro/" + zone + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, secret := range map[string]string{"session-k1.key": sessionKey, "operator.token": operatorToken} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(secret), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, change := range [][2]string{
		{`"127\.0\.\d+\.\d+:\d+"`, `"127.0.0.1:0"`},
		{`url = ".*"`, `url = "` + platform + `"`},
		{`"\.\./secrets/`, `"` + dir + `/`},
	} {
		text = regexp.MustCompile(change[0]).ReplaceAll(text, []byte(change[1]))
	}
	file := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return startInstanceFromFile(t, zone, file)
}

// serviceRunCounts returns the number of runs of each call at a service, by run ID.
func serviceRunCounts(t *testing.T, service string) map[string]int {
	t.Helper()
	var runs map[string]int
	if err := json.Unmarshal([]byte(mustCall(t, http.MethodGet, service+"/runs", "", nil).body), &runs); err != nil {
		t.Fatal(err)
	}
	return runs
}

func TestGracefulStopCutsOffNoStream(t *testing.T) {
	s := startDeployment(t)
	in := startInstance(t, "a1", "hall-a", s.platform, "")
	key := seedTeam(t, in.operatorsURL, "dala", 1_000_000)
	const tokens = 300
	got := make(chan response, 1)
	go func() {
		got <- call(http.MethodPost, in.callersURL+"/v1/chat/completions", key, chatBody(tokens, true))
	}()
	eventually(t, "the engine generates", func() bool { return generatedTokens(t, s.engines) > 10 })
	in.signal(syscall.SIGTERM)
	select {
	case a := <-got:
		if text, done := streamText(a.body); text != expectedText(tokens) || !done {
			t.Fatalf("stream cut off after %d bytes, closing event received: %v, error %v", len(text), done, a.err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("no response to the stream before the timeout")
	}
	if code := in.exitCode(); code != 0 {
		t.Fatalf("exit code %d", code)
	}
}

// generatedTokens returns the number of tokens that the engines have generated.
func generatedTokens(t *testing.T, engines []string) int {
	t.Helper()
	sum := 0
	for _, engine := range engines {
		var runs []struct {
			Completion int `json:"completion_tokens"`
		}
		if err := json.Unmarshal([]byte(mustCall(t, http.MethodGet, engine+"/runs", "", nil).body), &runs); err != nil {
			t.Fatal(err)
		}
		for _, run := range runs {
			sum += run.Completion
		}
	}
	return sum
}

// A second SIGTERM during the drain ends the instance at once with exit code 1, and
// it logs the number of requests that it cut off.
func TestSecondSignalCutsOffAndSaysSo(t *testing.T) {
	s := startDeployment(t)
	in := startInstance(t, "a1", "hall-a", s.platform, "")
	key := seedTeam(t, in.operatorsURL, "dala", 1_000_000)
	got := make(chan response, 1)
	go func() {
		got <- call(http.MethodPost, in.callersURL+"/v1/chat/completions", key, chatBody(10_000, true))
	}()
	eventually(t, "the engine generates", func() bool { return generatedTokens(t, s.engines) > 10 })
	in.signal(syscall.SIGTERM)
	eventually(t, "the instance drains", func() bool {
		a := call(http.MethodGet, in.callersURL+"/readyz", "", nil)
		return a.err != nil || a.status == http.StatusServiceUnavailable
	})
	in.signal(syscall.SIGTERM)
	if code := in.exitCode(); code != 1 {
		t.Fatalf("exit code %d", code)
	}
	if _, complete := streamText((<-got).body); complete {
		t.Fatal("the stream was not cut off")
	}
	eventually(t, "the number of cut-off requests is logged", func() bool { return strings.Contains(in.output(), "with 1 requests in flight") })
}
