package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// EngineFaults are the switchable faults of the engine stand-in.
type EngineFaults struct {
	// Leaving refuses new work with 503; running work goes on.
	Leaving bool `json:"leaving"`
	// StepMs replaces the time of one step; 0 leaves it.
	StepMs int `json:"step_ms"`
}

// EngineOptions set the engine stand-in.
type EngineOptions struct {
	Name  string
	Model string
	// Step is the time to generate one token.
	Step time.Duration
}

// EngineRun is what the engine did for one run.
type EngineRun struct {
	ID         string `json:"id"`
	Prompt     int    `json:"prompt_tokens"`
	Completion int    `json:"completion_tokens"`
	Done       bool   `json:"done"`
}

// Engine is the stand-in for a model engine. It answers a prompt with tokens
// that are a function of the run alone, so a test can tell a whole answer.
type Engine struct {
	opts EngineOptions

	mu     sync.Mutex
	runs   map[string]*EngineRun
	faults EngineFaults
}

// NewEngine returns an idle engine.
func NewEngine(opts EngineOptions) *Engine {
	return &Engine{opts: opts, runs: map[string]*EngineRun{}}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.handleChat)
	r.Get("/runs", e.handleRuns)
	r.Delete("/runs/{run}", e.handleCancel)
	r.Put("/faults", e.handleFaults)
	return r
}

type chatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

// PromptTokens counts the stand-in's tokens of a messages value: four bytes
// make one.
func PromptTokens(messages []byte) int { return len(messages)/4 + 1 }

// TokenText returns token i of every stand-in answer.
func TokenText(i int) string { return "w" + strconv.Itoa(i) + " " }

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.currentFaults().Leaving {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Run-Id")
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	run := e.begin(id, PromptTokens(req.Messages))
	w.Header().Set("X-Run-Id", id)
	w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
	w.Header().Set("Content-Type", "text/event-stream")
	e.generate(w, r, run, from, req.MaxTokens)
}

func (e *Engine) begin(id string, prompt int) *EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	run, ok := e.runs[id]
	if !ok {
		run = &EngineRun{ID: id, Prompt: prompt}
		e.runs[id] = run
	}
	return run
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, run *EngineRun, from, tokens int) {
	flush := http.NewResponseController(w)
	for i := from; i < tokens; i++ {
		select {
		case <-time.After(e.step()):
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
		run.Completion = max(run.Completion, i+1)
		e.mu.Unlock()
		fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", run.ID, TokenText(i))
		_ = flush.Flush()
	}
	e.mu.Lock()
	run.Done = true
	done := *run
	e.mu.Unlock()
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\n", run.ID, done.Prompt, done.Completion)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) step() time.Duration {
	if ms := e.currentFaults().StepMs; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return e.opts.Step
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) handleRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	runs := make([]EngineRun, 0, len(e.runs))
	for _, run := range e.runs {
		runs = append(runs, *run)
	}
	e.mu.Unlock()
	writeJSON(w, runs)
}

func (e *Engine) handleCancel(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if !readJSON(w, r, &f) {
		return
	}
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	writeJSON(w, f)
}
