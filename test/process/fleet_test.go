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

// fleet is a platform, engines behind TCP relays, two services and the instances
// of one availability zone, each a process.
type fleet struct {
	t         *testing.T
	platform  string
	engines   []*engine
	services  []string
	instances []*instance
	key       string
}

// engine is an engine process and the relay in front of it.
type engine struct {
	*process
	url   string // Direct address, bypassing the relay.
	relay *relay
}

const fleetBudgetTokens = 10_000_000

// startFleet starts a fleet with the given numbers of engines and instances. It
// returns once all instances list each other, every claim shard has a witness (with
// more than one instance) and the key of team dala is accepted everywhere.
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
		eventually(t, "every instance lists all instances", func() bool { return in.memberCount(t) == instances })
	}
	if instances > 1 {
		for _, in := range f.instances {
			eventually(t, "every claim shard has a holder and a witness", func() bool { return in.allShardsWitnessed(t) })
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

// memberCount returns how many instances this one has on its instance list.
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

// allShardsWitnessed reports whether this instance's folded state has a holder and
// a witness for every claim shard of requests without a session. The first
// instance of a fleet holds shards without a witness; repeatable claims made in
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

// listEndpoints publishes the fleet's endpoints on the platform's endpoint list.
// The one named leaving, if any, is marked as leaving.
func (f *fleet) listEndpoints(leaving string) {
	f.t.Helper()
	mustCall(f.t, http.MethodPut, f.platform+"/endpoints", "", f.endpointRows(leaving, "rig"))
}

// endpointRows returns the endpoint list of the fleet, with the engines at the
// addresses of their relays and the services under the given service name.
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

// callRuns returns the number of runs of each call, summed over all services.
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

// engineRun is one row of an engine's answer to GET /runs.
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

// awaitRunningEngine waits until an engine has generated more than five tokens of
// an unfinished run, and returns that engine.
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

// streamResult is a streamed answer as its caller received it, read to its end.
type streamResult struct {
	text        string
	lastEventID string // The id of the last event.
	runID       string
	complete    bool
	totalTokens int64       // From the usage in the last chunk.
	tokenTimes  []time.Time // Time of arrival of each token.
	err         string      // The error event, error body or transport error, if any.
}

// streamChat sends a streaming chat request and reads the answer to its end. It
// calls onToken, if not nil, after each token with the number of tokens so far.
// headers alternates names and values.
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

// parseLine adds one line of the event stream, or of an error body, to the result.
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

// awaitBilled waits until exactly want tokens are billed, and requires that no
// more tokens are committed than prepaid.
func (f *fleet) awaitBilled(want int64) {
	f.t.Helper()
	in := f.instances[len(f.instances)-1]
	eventually(f.t, fmt.Sprintf("%d tokens billed", want), func() bool { return readBudget(f.t, in.operatorsURL, "dala").Billed == want })
	if row := readBudget(f.t, in.operatorsURL, "dala"); row.Committed > row.Prepaid || row.Billed != want {
		f.t.Fatalf("billed %d, want %d; committed %d of %d", row.Billed, want, row.Committed, row.Prepaid)
	}
}
