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

// startEngine serves an engine, by default with steps of 1 ms, and returns its
// base URL. On cleanup it checks that the batch loop ends.
func startEngine(t *testing.T, opts EngineOptions) (*Engine, string) {
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
			return !e.batch.loopRunning
		})
	})
	return e, server.URL
}

// eventually polls a condition for up to 10 s and fails the test otherwise.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// response is the outcome of one HTTP request.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// postChat sends a chat request for a run. headers alternates names and values.
func postChat(ctx context.Context, url, run string, requestBody map[string]any, headers ...string) response {
	if requestBody["messages"] == nil {
		requestBody["messages"] = []string{"hello"}
	}
	data, _ := json.Marshal(requestBody)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(data))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set(headerRunID, run)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// parseStream returns the joined text of a stream, its usage, and whether it
// ended with [DONE].
func parseStream(body string) (text string, usage engineUsage, done bool) {
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
	e, url := startEngine(t, EngineOptions{})
	e.SetFaults(EngineFaults{CutAfterTokens: 5})
	cut := postChat(t.Context(), url, "r1", map[string]any{"max_tokens": 30, "stream": true})
	if text, _, done := parseStream(cut.body); done || text != tokenRangeText(0, 5) {
		t.Fatalf("stream aborted after 5 tokens returned %q, done %v", text, done)
	}
	e.SetFaults(EngineFaults{})
	rest := postChat(t.Context(), url, "r1", map[string]any{"max_tokens": 30, "stream": true}, headerResumeFrom, "5")
	text, usage, done := parseStream(rest.body)
	if !done || text != tokenRangeText(5, 30) || usage.CompletionTokens != 30 {
		t.Fatalf("stream resumed after token 5 returned %q, usage %+v, done %v", text, usage, done)
	}
	if runs := e.Runs(); len(runs) != 1 || runs[0].CompletionTokens != 30 || !runs[0].Done {
		t.Fatalf("runs %+v", runs)
	}
}

func TestEngineGoesOnFromPriorTokens(t *testing.T) {
	_, url := startEngine(t, EngineOptions{})
	requestBody := func(prior string) map[string]any {
		return map[string]any{"max_tokens": 10, "stream": true, "prior": prior}
	}
	if wrong := postChat(t.Context(), url, "r1", requestBody("else"), headerResumeFrom, "4"); wrong.status != http.StatusBadRequest {
		t.Fatalf("wrong prior text: status %d", wrong.status)
	}
	if missing := postChat(t.Context(), url, "r1", requestBody(""), headerResumeFrom, "4", headerResumeOnly, "true"); missing.status != http.StatusNotFound {
		t.Fatalf("X-Resume-Only for an unknown run: status %d", missing.status)
	}
	text, usage, done := parseStream(postChat(t.Context(), url, "r1", requestBody(tokenRangeText(0, 4)), headerResumeFrom, "4").body)
	if !done || text != tokenRangeText(4, 10) || usage.CompletionTokens != 6 || usage.PriorTokens != 4 {
		t.Fatalf("text %q, usage %+v, done %v", text, usage, done)
	}
}

func TestEngineCancelStopsARunAndForbidsItsLateOrder(t *testing.T) {
	e, url := startEngine(t, EngineOptions{})
	answer := make(chan response, 1)
	go func() {
		answer <- postChat(context.Background(), url, "r1", map[string]any{"max_tokens": 100_000, "stream": true})
	}()
	eventually(t, "tokens", func() bool { runs := e.Runs(); return len(runs) == 1 && runs[0].CompletionTokens > 3 })
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
		if got := postChat(t.Context(), url, "superseded", map[string]any{"max_tokens": 5}, headerAttempt, c.attempt); got.status != c.status {
			t.Fatalf("attempt %s after cancelling attempt 2: status %d", c.attempt, got.status)
		}
	}
	late := postChat(t.Context(), url, "never-sent", map[string]any{"max_tokens": 5})
	if late.status != http.StatusConflict || late.header.Get(headerNotRun) != "true" {
		t.Fatalf("request after its run was cancelled: status %d, header %v", late.status, late.header)
	}
	for _, run := range after {
		if !run.Done || run.FinishReason != finishCancelled || run.CompletionTokens > 50_000 {
			t.Fatalf("run %+v", run)
		}
	}
}

func TestEnginePrioritiesGoFirstIntoSlots(t *testing.T) {
	e, url := startEngine(t, EngineOptions{Slots: 1})
	order := make(chan string, 3)
	post := func(run, priority string, tokens int) {
		postChat(context.Background(), url, run, map[string]any{"max_tokens": tokens}, headerPriority, priority)
		order <- run
	}
	go post("first", "1", 200)
	eventually(t, "first runs", func() bool { return len(e.Runs()) == 1 })
	go post("low", "1", 1)
	eventually(t, "low waits", func() bool { return len(e.Runs()) == 2 })
	go post("high", "3", 1)
	if a, b, c := <-order, <-order, <-order; a != "first" || b != "high" || c != "low" {
		t.Fatalf("runs ended in the order %s, %s, %s", a, b, c)
	}
}

func TestEnginePrefixCacheIsBoundedAndReported(t *testing.T) {
	e, url := startEngine(t, EngineOptions{CacheTokens: 64, CacheLag: time.Nanosecond})
	prompt := func(fill string) []string { return []string{strings.Repeat(fill, 4*blockBytes)} }
	usageFor := func(run, fill string) engineUsage {
		_, usage, _ := parseStream(postChat(t.Context(), url, run, map[string]any{"max_tokens": 1, "stream": true, "messages": prompt(fill)}).body)
		return usage
	}
	if first, again := usageFor("r1", "a"), usageFor("r2", "a"); first.CachedTokens != 0 || again.CachedTokens != 64 {
		t.Fatalf("%d cached tokens on the first request, %d on the second", first.CachedTokens, again.CachedTokens)
	}
	usageFor("r3", "b")
	if evicted := usageFor("r4", "a"); evicted.CachedTokens != 0 {
		t.Fatalf("%d cached tokens after eviction", evicted.CachedTokens)
	}
	events := e.cache.eventsAfter(0, time.Now().Add(time.Second), 0)
	if len(events) == 0 || len(events) >= int(e.cache.seq) {
		t.Fatalf("%d of %d cache events returned; some of them must be lost", len(events), e.cache.seq)
	}
}

func TestEngineStepTimeGrowsWithTheBatch(t *testing.T) {
	e := NewEngine(EngineOptions{Step: 100, StepPerSequence: 10, StepPerPrefill: 1, Slots: 3})
	e.batch.loopRunning = true // Keeps submit from starting the loop: the test calls step.
	for n := range 3 {
		e.startRun(chatAttempt{runID: strconv.Itoa(n), chatRequest: chatRequest{Messages: make([]byte, 39), MaxTokens: 9}})
	}
	if pause, _ := e.step(); pause != 100+3*10 {
		t.Fatalf("step with 30 prefilled tokens took %d ns", pause)
	}
	if pause, _ := e.step(); pause != 100+3*10 {
		t.Fatalf("step with 3 decoding runs took %d ns", pause)
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
		"masked":  {EngineFaults{ProxyError: true}, http.StatusServiceUnavailable, ""},
	} {
		e, url := startEngine(t, EngineOptions{})
		e.SetFaults(c.faults)
		a := postChat(t.Context(), url, "r1", map[string]any{"max_tokens": 2})
		ran := len(e.Runs()) == 1
		if a.status != c.status || a.header.Get(headerNotRun) != c.notRun || ran != (c.notRun == "") {
			t.Errorf("%s: status %d, header %q, ran %v", name, a.status, a.header.Get(headerNotRun), ran)
		}
	}
	command := EngineCommand{Kind: "model", Name: "large"}
	enforcing, ignoring := commandState{}, commandState{ignoreFencingToken: true}
	if !enforcing.apply(command, 7) || enforcing.apply(command, 6) || !enforcing.apply(command, 7) {
		t.Error("a command with a superseded fencing token was applied, or a current one rejected")
	}
	if !ignoring.apply(command, 7) || !ignoring.apply(command, 6) {
		t.Error("a command was rejected despite ignoreFencingToken")
	}
}

func TestCrossedAnswersSwapInPairs(t *testing.T) {
	var s answerSwapper[string]
	s.setPairs(1)
	first := make(chan string, 1)
	go func() { first <- s.swap(t.Context(), "a") }()
	eventually(t, "first half", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.pending != nil })
	if second := s.swap(t.Context(), "b"); second != "a" || <-first != "b" {
		t.Fatal("answers of the pair not swapped")
	}
	if third := s.swap(t.Context(), "c"); third != "c" {
		t.Fatalf("third answer replaced by %s although no pairs were left", third)
	}
}
