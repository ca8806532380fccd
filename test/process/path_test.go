package process_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const listLag = "100ms"

// site is a platform, two engines and a service, listed on the platform.
type site struct {
	platform string
	engines  []string
	service  string
}

func startSite(t *testing.T) site {
	t.Helper()
	var s site
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
	s := startSite(t)
	instances := []*instance{
		startInstance(t, "a1", "hall-a", s.platform, ""),
		startInstance(t, "a2", "hall-a", s.platform, ""),
		startInstance(t, "b1", "hall-b", s.platform, ""),
	}
	key := seedTeam(t, instances[0].operators, "dala", 1_000_000)
	const tokens = 5
	var billed int64
	for n, in := range instances {
		eventually(t, "credential in force", func() bool {
			return call(http.MethodPost, in.callers+"/v1/chat/completions", key, map[string]any{}).status == http.StatusBadRequest
		})
		whole := mustCall(t, http.MethodPost, in.callers+"/v1/chat/completions", key, chatBody(tokens, false))
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
		if err := json.Unmarshal([]byte(whole.body), &completion); err != nil {
			t.Fatal(err)
		}
		if got := completion.Choices[0].Message.Content; got != wholeText(tokens) {
			t.Fatalf("whole answer %q", got)
		}
		billed += 2 * completion.Usage.Total
		streamed := mustCall(t, http.MethodPost, in.callers+"/v1/chat/completions", key, chatBody(tokens, true))
		if text, done := streamText(streamed.body); text != wholeText(tokens) || !done {
			t.Fatalf("streamed answer %q, closing event %v", text, done)
		}
		mustCall(t, http.MethodPost, in.callers+"/v1/services/rig/setpoint", key, map[string]any{"g": 0.5}, "Idempotency-Key", fmt.Sprint("call-", n))
	}
	for _, in := range instances {
		eventually(t, "same bill at every instance", func() bool { return budget(t, in.operators, "dala").Billed == billed })
	}
	if row := budget(t, instances[0].operators, "dala"); row.Committed > row.Prepaid {
		t.Fatalf("committed %d of %d", row.Committed, row.Prepaid)
	}
	for run, count := range serviceRuns(t, s.service) {
		if count != 1 {
			t.Fatalf("call %s ran %d times", run, count)
		}
	}
}

func serviceRuns(t *testing.T, service string) map[string]int {
	t.Helper()
	var runs map[string]int
	if err := json.Unmarshal([]byte(mustCall(t, http.MethodGet, service+"/runs", "", nil).body), &runs); err != nil {
		t.Fatal(err)
	}
	return runs
}

func TestGracefulStopCutsOffNoStream(t *testing.T) {
	s := startSite(t)
	in := startInstance(t, "a1", "hall-a", s.platform, "")
	key := seedTeam(t, in.operators, "dala", 1_000_000)
	const tokens = 300
	got := make(chan answer, 1)
	go func() {
		got <- call(http.MethodPost, in.callers+"/v1/chat/completions", key, chatBody(tokens, true))
	}()
	eventually(t, "the engine generates", func() bool { return generated(t, s.engines) > 10 })
	in.signal(syscall.SIGTERM)
	select {
	case a := <-got:
		if text, done := streamText(a.body); text != wholeText(tokens) || !done {
			t.Fatalf("cut off after %d bytes, closing event %v, error %v", len(text), done, a.err)
		}
	case <-time.After(waitLimit):
		t.Fatal("no answer")
	}
	if code := in.exitCode(); code != 0 {
		t.Fatalf("exit code %d", code)
	}
}

// generated is the number of tokens that the engines have generated.
func generated(t *testing.T, engines []string) int {
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

// A second signal ends the instance at once, and it says what it cut off.
func TestSecondSignalCutsOffAndSaysSo(t *testing.T) {
	s := startSite(t)
	in := startInstance(t, "a1", "hall-a", s.platform, "")
	key := seedTeam(t, in.operators, "dala", 1_000_000)
	got := make(chan answer, 1)
	go func() {
		got <- call(http.MethodPost, in.callers+"/v1/chat/completions", key, chatBody(10_000, true))
	}()
	eventually(t, "the engine generates", func() bool { return generated(t, s.engines) > 10 })
	in.signal(syscall.SIGTERM)
	eventually(t, "it drains", func() bool {
		a := call(http.MethodGet, in.callers+"/readyz", "", nil)
		return a.err != nil || a.status == http.StatusServiceUnavailable
	})
	in.signal(syscall.SIGTERM)
	if code := in.exitCode(); code != 1 {
		t.Fatalf("exit code %d", code)
	}
	if _, whole := streamText((<-got).body); whole {
		t.Fatal("the stream was not cut off")
	}
	eventually(t, "it says what it cut off", func() bool { return strings.Contains(in.output(), "with 1 requests in flight") })
}
