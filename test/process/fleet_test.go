package process_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// fleet is a platform with engines behind relays, a service and instances.
type fleet struct {
	t         *testing.T
	platform  string
	engines   []*engine
	services  []string
	instances []*instance
	key       string
}

// engine is an engine process and the relay before it.
type engine struct {
	*process
	url   string // Its own, past the relay.
	relay *relay
}

const fleetBudgetTokens = 10_000_000

func startFleet(t *testing.T, engines, instances int) *fleet {
	t.Helper()
	f := &fleet{t: t}
	_, f.platform = startStandin(t, "platform", "-lag", listLag)
	for range engines {
		p, url := startStandin(t, "engine")
		f.engines = append(f.engines, &engine{process: p, url: url, relay: startRelay(t, strings.TrimPrefix(url, "http://"))})
	}
	for range 2 {
		_, url := startStandin(t, "service")
		f.services = append(f.services, url)
	}
	f.listEndpoints("")
	for n := range instances {
		f.instances = append(f.instances, startInstance(t, fmt.Sprintf("a%d", n+1), "hall-a", f.platform, ""))
	}
	for _, in := range f.instances {
		eventually(t, "all instances know each other", func() bool { return in.memberCount(t) == instances })
	}
	if instances > 1 {
		for _, in := range f.instances {
			eventually(t, "every claim shard has holder and witness", func() bool { return in.allShardsWitnessed(t) })
		}
	}
	f.key = seedTeam(t, f.instances[0].operatorsURL, "dala", fleetBudgetTokens)
	for _, in := range f.instances {
		eventually(t, "credential in force", func() bool {
			return call(http.MethodPost, in.callersURL+"/v1/chat/completions", f.key, map[string]any{}).status == http.StatusBadRequest
		})
	}
	return f
}

// knows returns how many instances this one sees on the instance list.
func (in *instance) memberCount(t *testing.T) int {
	t.Helper()
	var dump struct {
		Members struct {
			Instances []json.RawMessage `json:"instances"`
		} `json:"members"`
	}
	if err := json.Unmarshal([]byte(mustCall(t, http.MethodGet, in.operatorsURL+"/state", operatorToken, nil).body), &dump); err != nil {
		t.Fatal(err)
	}
	return len(dump.Members.Instances)
}

// shardsSettled says whether the fold of this instance has a holder and a
// witness for every claim shard of requests without a session. The first
// instance of a fleet holds shards without a witness; the repeatable claims of
// such an epoch end with their holder.
func (in *instance) allShardsWitnessed(t *testing.T) bool {
	t.Helper()
	const partitions = 8
	var dump struct {
		Claims []struct {
			Zone, Witness string
			Closed        bool
		} `json:"claims"`
	}
	if err := json.Unmarshal([]byte(mustCall(t, http.MethodGet, in.operatorsURL+"/state", operatorToken, nil).body), &dump); err != nil {
		t.Fatal(err)
	}
	settled := 0
	for _, shard := range dump.Claims {
		if shard.Zone == "" && shard.Witness != "" && !shard.Closed {
			settled++
		}
	}
	return settled == partitions
}

// list puts the endpoints on the instance list, one of them as leaving.
func (f *fleet) listEndpoints(leaving string) {
	f.t.Helper()
	mustCall(f.t, http.MethodPut, f.platform+"/endpoints", "", f.endpointRows(leaving, "rig"))
}

func (f *fleet) endpointRows(leaving, service string) []map[string]any {
	var rows []map[string]any
	for n, url := range f.services {
		rows = append(rows, map[string]any{"name": fmt.Sprintf("service-%d", n+1), "zone": "hall-a", "url": url, "service": service})
	}
	for n, e := range f.engines {
		name := fmt.Sprintf("engine-%d", n+1)
		rows = append(rows, map[string]any{"name": name, "zone": "hall-a", "url": e.relay.url(), "model": "small", "leaving": name == leaving})
	}
	return rows
}

// calls returns how often each call ran, over all services.
func (f *fleet) callRuns() map[string]int {
	f.t.Helper()
	sum := map[string]int{}
	for _, url := range f.services {
		for run, count := range serviceRunCounts(f.t, url) {
			sum[run] += count
		}
	}
	return sum
}

func (f *fleet) setServiceFaults(v map[string]any) {
	f.t.Helper()
	for _, url := range f.services {
		mustCall(f.t, http.MethodPut, url+"/faults", "", v)
	}
}

// engineRun is one row of an engine's /runs.
type engineRun struct {
	ID         string `json:"id"`
	Prompt     int64  `json:"prompt_tokens"`
	Completion int64  `json:"completion_tokens"`
	Prior      int64  `json:"prior_tokens"`
	Done       bool   `json:"done"`
	Finish     string `json:"finish_reason"`
}

func (e *engine) runs(t *testing.T) []engineRun {
	t.Helper()
	var rows []engineRun
	if err := json.Unmarshal([]byte(mustCall(t, http.MethodGet, e.url+"/runs", "", nil).body), &rows); err != nil {
		t.Fatal(err)
	}
	return rows
}

// running returns the engine that has a run in progress.
func (f *fleet) awaitRunningEngine() *engine {
	f.t.Helper()
	var found *engine
	eventually(f.t, "a run is in progress", func() bool {
		for _, e := range f.engines {
			for _, row := range e.runs(f.t) {
				if !row.Done && row.Completion > 5 {
					found = e
					return true
				}
			}
		}
		return false
	})
	return found
}

func (e *engine) setFaults(t *testing.T, faults map[string]any) {
	t.Helper()
	mustCall(t, http.MethodPut, e.url+"/faults", "", faults)
}

// answered is a caller's stream, read to its end.
type streamResult struct {
	text        string
	lastEventID string // The last event's id.
	runID       string
	complete    bool
	totalTokens int64 // Tokens by the closing usage.
	tokenTimes  []time.Time
	err         string // The error event or status, if any.
}

// ask streams a chat request and calls seen with the number of events so far.
func (f *fleet) streamChat(in *instance, tokens int, onToken func(int), headers ...string) (a streamResult) {
	body := chatBody(tokens, true)
	body["stream_options"] = map[string]bool{"include_usage": true}
	data, _ := json.Marshal(body)
	req, err := http.NewRequest(http.MethodPost, in.callersURL+"/v1/chat/completions", bytes.NewReader(data))
	if err != nil {
		return streamResult{err: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * waitTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return streamResult{err: err.Error()}
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		a.parseLine(lines.Text(), onToken)
	}
	return a
}

func (a *streamResult) parseLine(line string, onToken func(int)) {
	if id, ok := strings.CutPrefix(line, "id: "); ok {
		a.lastEventID = id
		return
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		if strings.HasPrefix(line, "{") {
			a.err = line
		}
		return
	}
	if data == "[DONE]" {
		a.complete = true
		return
	}
	var chunk struct {
		ID      string `json:"id"`
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage *struct {
			Total int64 `json:"total_tokens"`
		} `json:"usage"`
		Error json.RawMessage `json:"error"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || chunk.Error != nil {
		a.err = data
		return
	}
	a.runID = chunk.ID
	if chunk.Usage != nil {
		a.totalTokens = chunk.Usage.Total
	}
	if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
		a.text += chunk.Choices[0].Delta.Content
		a.tokenTimes = append(a.tokenTimes, time.Now())
		if onToken != nil {
			onToken(len(a.tokenTimes))
		}
	}
}

// audit waits for the bill and compares it with what the callers were told.
func (f *fleet) awaitBilled(want int64) {
	f.t.Helper()
	in := f.instances[len(f.instances)-1]
	eventually(f.t, fmt.Sprintf("billed %d", want), func() bool { return readBudget(f.t, in.operatorsURL, "dala").Billed == want })
	if row := readBudget(f.t, in.operatorsURL, "dala"); row.Committed > row.Prepaid || row.Billed != want {
		f.t.Fatalf("billed %d, want %d; committed %d of %d", row.Billed, want, row.Committed, row.Prepaid)
	}
}
