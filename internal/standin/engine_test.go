package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// engineUnder is an engine with fast steps behind a test server.
func engineUnder(t *testing.T, opts EngineOptions) (*Engine, string) {
	t.Helper()
	opts.Model = "small"
	if opts.Step == 0 {
		opts.Step = time.Millisecond
	}
	e := NewEngine(opts)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		e.SetFaults(EngineFaults{})
		server.Close()
		http.DefaultClient.CloseIdleConnections()
		eventually(t, "loop ends", func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return !e.batch.looping
		})
	})
	return e, server.URL
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

type got struct {
	status int
	header http.Header
	body   string
	err    error
}

// send posts an order; headers are pairs.
func send(ctx context.Context, url, run string, order map[string]any, headers ...string) got {
	if order["messages"] == nil {
		order["messages"] = []string{"hello"}
	}
	data, _ := json.Marshal(order)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(data))
	if err != nil {
		return got{err: err}
	}
	req.Header.Set(headerRun, run)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return got{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return got{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// tokensOf joins a stream's tokens and says how it ended.
func tokensOf(body string) (text string, usage engineUsage, done bool) {
	var b strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), usage, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Usage *engineUsage `json:"usage"`
		}
		if json.Unmarshal([]byte(data), &chunk) != nil {
			return "malformed", usage, false
		}
		b.WriteString(chunk.Choices[0].Delta.Content)
		if chunk.Usage != nil {
			usage = *chunk.Usage
		}
	}
	return b.String(), usage, false
}

func TestEngineRunGoesOnAndIsResumedWithoutGeneratingAnew(t *testing.T) {
	e, url := engineUnder(t, EngineOptions{})
	e.SetFaults(EngineFaults{CutAfter: 5})
	cut := send(t.Context(), url, "r1", map[string]any{"max_tokens": 30, "stream": true})
	if text, _, done := tokensOf(cut.body); done || text != textBetween(0, 5) {
		t.Fatalf("cut stream gave %q, done %v", text, done)
	}
	e.SetFaults(EngineFaults{})
	rest := send(t.Context(), url, "r1", map[string]any{"max_tokens": 30, "stream": true}, headerFrom, "5")
	text, usage, done := tokensOf(rest.body)
	if !done || text != textBetween(5, 30) || usage.Completion != 30 {
		t.Fatalf("resumed stream gave %q, usage %+v, done %v", text, usage, done)
	}
	if runs := e.Runs(); len(runs) != 1 || runs[0].Completion != 30 || !runs[0].Done {
		t.Fatalf("runs %+v", runs)
	}
}

func TestEngineGoesOnFromPriorTokens(t *testing.T) {
	_, url := engineUnder(t, EngineOptions{})
	order := func(prior string) map[string]any {
		return map[string]any{"max_tokens": 10, "stream": true, "prior": prior}
	}
	if wrong := send(t.Context(), url, "r1", order("else"), headerFrom, "4"); wrong.status != http.StatusBadRequest {
		t.Fatalf("wrong prior text: status %d", wrong.status)
	}
	if missing := send(t.Context(), url, "r1", order(""), headerFrom, "4", headerOnly, "true"); missing.status != http.StatusNotFound {
		t.Fatalf("resume of no run: status %d", missing.status)
	}
	text, usage, done := tokensOf(send(t.Context(), url, "r1", order(textBetween(0, 4)), headerFrom, "4").body)
	if !done || text != textBetween(4, 10) || usage.Completion != 6 || usage.Prior != 4 {
		t.Fatalf("text %q, usage %+v, done %v", text, usage, done)
	}
}

func TestEngineCancelStopsARunAndForbidsItsLateOrder(t *testing.T) {
	e, url := engineUnder(t, EngineOptions{})
	answer := make(chan got, 1)
	go func() {
		answer <- send(context.Background(), url, "r1", map[string]any{"max_tokens": 100_000, "stream": true})
	}()
	eventually(t, "tokens", func() bool { runs := e.Runs(); return len(runs) == 1 && runs[0].Completion > 3 })
	for _, run := range []string{"r1", "never-sent"} {
		req, _ := http.NewRequest(http.MethodDelete, url+"/runs/"+run, nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil || resp.Body.Close() != nil || resp.StatusCode != http.StatusNoContent {
			t.Fatalf("cancel: %v %v", resp, err)
		}
	}
	<-answer
	after := e.Runs()
	req, _ := http.NewRequest(http.MethodDelete, url+"/runs/superseded?attempt=2", nil)
	if resp, err := http.DefaultClient.Do(req); err != nil || resp.Body.Close() != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		attempt string
		status  int
	}{{"2", http.StatusConflict}, {"3", http.StatusOK}, {"2", http.StatusConflict}} {
		if got := send(t.Context(), url, "superseded", map[string]any{"max_tokens": 5}, headerAttempt, c.attempt); got.status != c.status {
			t.Fatalf("attempt %s after the cancel of 2: status %d", c.attempt, got.status)
		}
	}
	late := send(t.Context(), url, "never-sent", map[string]any{"max_tokens": 5})
	if late.status != http.StatusConflict || late.header.Get(headerNotRun) != "true" {
		t.Fatalf("late order: %d %v", late.status, late.header)
	}
	for _, run := range after {
		if !run.Done || run.Finish != finishCancelled || run.Completion > 50_000 {
			t.Fatalf("run %+v", run)
		}
	}
}

func TestEnginePrioritiesGoFirstIntoSlots(t *testing.T) {
	e, url := engineUnder(t, EngineOptions{Slots: 1})
	order := make(chan string, 3)
	post := func(run, priority string, tokens int) {
		send(context.Background(), url, run, map[string]any{"max_tokens": tokens}, headerPriority, priority)
		order <- run
	}
	go post("first", "1", 200)
	eventually(t, "first runs", func() bool { return len(e.Runs()) == 1 })
	go post("low", "1", 1)
	eventually(t, "low waits", func() bool { return len(e.Runs()) == 2 })
	go post("high", "3", 1)
	if a, b, c := <-order, <-order, <-order; a != "first" || b != "high" || c != "low" {
		t.Fatalf("order %s, %s, %s", a, b, c)
	}
}

func TestEnginePrefixCacheIsBoundedAndReported(t *testing.T) {
	e, url := engineUnder(t, EngineOptions{CacheTokens: 64, CacheLag: time.Nanosecond})
	prompt := func(fill string) []string { return []string{strings.Repeat(fill, 4*blockBytes)} }
	ask := func(run, fill string) engineUsage {
		_, usage, _ := tokensOf(send(t.Context(), url, run, map[string]any{"max_tokens": 1, "stream": true, "messages": prompt(fill)}).body)
		return usage
	}
	if first, again := ask("r1", "a"), ask("r2", "a"); first.Cached != 0 || again.Cached != 64 {
		t.Fatalf("cached %d, then %d", first.Cached, again.Cached)
	}
	ask("r3", "b")
	if evicted := ask("r4", "a"); evicted.Cached != 0 {
		t.Fatalf("cached %d after eviction", evicted.Cached)
	}
	events := e.cache.since(0, time.Now().Add(time.Second), 0)
	if len(events) == 0 || len(events) >= int(e.cache.seq) {
		t.Fatalf("%d of %d events: gaps expected", len(events), e.cache.seq)
	}
}

func TestEngineStepTimeGrowsWithTheBatch(t *testing.T) {
	e := NewEngine(EngineOptions{Step: 100, StepPerSequence: 10, StepPerPrefill: 1, Slots: 3})
	e.batch.looping = true // The test steps by itself.
	for n := range 3 {
		e.beginRun(chatOrder{run: strconv.Itoa(n), chatRequest: chatRequest{Messages: make([]byte, 39), MaxTokens: 9}})
	}
	if pause, _ := e.step(); pause != 100+3*10 {
		t.Fatalf("prefill step took %d", pause)
	}
	if pause, _ := e.step(); pause != 100+3*10 {
		t.Fatalf("decoding step took %d", pause)
	}
}

func TestEngineRefusalsAndFences(t *testing.T) {
	for name, c := range map[string]struct {
		faults EngineFaults
		status int
		notRun string
	}{
		"leaving": {EngineFaults{Leaving: true}, http.StatusServiceUnavailable, "true"},
		"refuse":  {EngineFaults{Refuse: true}, http.StatusTooManyRequests, "true"},
		"masked":  {EngineFaults{Masked: true}, http.StatusServiceUnavailable, ""},
	} {
		e, url := engineUnder(t, EngineOptions{})
		e.SetFaults(c.faults)
		a := send(t.Context(), url, "r1", map[string]any{"max_tokens": 2})
		ran := len(e.Runs()) == 1
		if a.status != c.status || a.header.Get(headerNotRun) != c.notRun || ran != (c.notRun == "") {
			t.Errorf("%s: status %d, header %q, ran %v", name, a.status, a.header.Get(headerNotRun), ran)
		}
	}
	order := EngineOrder{Kind: "model", Name: "large"}
	respects, ignores := orders{}, orders{ignoreFence: true}
	if !respects.obey(order, 7) || respects.obey(order, 6) || !respects.obey(order, 7) {
		t.Error("fencing number not respected")
	}
	if !ignores.obey(order, 7) || !ignores.obey(order, 6) {
		t.Error("fencing number not ignored")
	}
}

func TestCrossedAnswersSwapInPairs(t *testing.T) {
	var c crossing[string]
	c.set(1)
	first := make(chan string, 1)
	go func() { first <- c.pass(t.Context(), "a") }()
	eventually(t, "first half", func() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.open != nil })
	if second := c.pass(t.Context(), "b"); second != "a" || <-first != "b" {
		t.Fatal("not swapped")
	}
	if third := c.pass(t.Context(), "c"); third != "c" {
		t.Fatalf("third answer swapped for %s", third)
	}
}
