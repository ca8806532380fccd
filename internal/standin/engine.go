package standin

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Headers of the protocol between an instance and an endpoint.
const (
	headerRunID        = "X-Run-Id"
	headerAttempt      = "X-Attempt"
	headerResumeFrom   = "X-Resume-From"
	headerResumeOnly   = "X-Resume-Only"
	headerPriority     = "X-Priority"
	headerFencingToken = "X-Fencing-Token"
	headerNotRun       = "X-Not-Run"
	headerHeartbeatMs  = "X-Heartbeat-Ms"
)

// EngineFaults selects the faults that the engine stand-in simulates. The zero
// value is no fault. It is the body of GET and PUT /faults.
type EngineFaults struct {
	// Leaving refuses new runs with 503 and X-Not-Run, as an engine that drains
	// does; existing runs continue.
	Leaving bool `json:"leaving"`
	// Refuse refuses new runs with 429 and X-Not-Run.
	Refuse bool `json:"refuse"`
	// StepMs replaces EngineOptions.Step, in milliseconds; 0 keeps it.
	StepMs int `json:"step_ms"`
	// Hang stops generation while streams still get heartbeats.
	Hang bool `json:"hang"`
	// Silent stops all writes to open streams, heartbeats too; runs continue.
	// When it ends, the streams that it held are closed.
	Silent bool `json:"silent"`
	// AnswerDelayMs delays the response header of each request, in milliseconds.
	AnswerDelayMs int `json:"answer_delay_ms"`
	// SwapPairs is for how many pairs of requests the answers are swapped. GET
	// /faults doesn't count it down.
	SwapPairs int `json:"crossed"`
	// CutAfterTokens aborts each stream after that many tokens; 0 is never.
	CutAfterTokens int `json:"cut_after"`
	// ProxyError starts the run and answers 503 without X-Not-Run, as a proxy
	// between the instance and the engine does.
	ProxyError bool `json:"masked"`
}

// EngineOptions configures an Engine. Zero values get a default, except Name,
// Model and Step.
type EngineOptions struct {
	Name  string
	Model string
	// Step is the base duration of one step of the batch. Each decoding run
	// adds StepPerSequence, each prefilled token StepPerPrefill.
	Step            time.Duration
	StepPerSequence time.Duration
	StepPerPrefill  time.Duration
	// Slots is the maximum number of runs in the batch; others are queued.
	Slots int
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int
	// IgnoreFencingToken accepts commands with a superseded fencing token, as
	// an engine without support for fencing does.
	IgnoreFencingToken bool
	// LoadLag bounds the age of load reports. CacheLag is the time from a
	// change of the cache until its event can be read.
	LoadLag  time.Duration
	CacheLag time.Duration
	// Heartbeat is the interval between comments on a stream.
	Heartbeat time.Duration
}

func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.StepPerSequence, 20*time.Microsecond)
	setDefault(&o.StepPerPrefill, 10*time.Microsecond)
	setDefault(&o.Slots, 16)
	setDefault(&o.CacheTokens, 64_000)
	setDefault(&o.LoadLag, 500*time.Millisecond)
	setDefault(&o.CacheLag, time.Second)
	setDefault(&o.Heartbeat, 500*time.Millisecond)
	return o
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// EngineRun is the state of one run in the engine. CompletionTokens counts the
// tokens that this engine generated, PriorTokens the tokens before them that
// another engine generated. CachedTokens counts the prompt tokens that the
// prefix cache held when the run started.
type EngineRun struct {
	ID               string `json:"id"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
	PriorTokens      int    `json:"prior_tokens"`
	// CancelledTokens counts the tokens that this engine generated in earlier,
	// cancelled attempts of the run.
	CancelledTokens int    `json:"earlier_tokens,omitempty"`
	Done            bool   `json:"done"`
	FinishReason    string `json:"finish_reason,omitempty"`
}

// Engine simulates a model engine with continuous batching, a prefix cache and
// resumable runs. Token i of every answer is TokenText(i), so that a test can
// check an answer's content. It is safe for concurrent use.
//
// A goroutine steps the batch while there are runs and ends when there are none.
type Engine struct {
	opts EngineOptions

	// mu guards everything below, and the fields of each run.
	mu         sync.Mutex
	runs       map[string]*engineRun
	endedRuns  []string // IDs, the first ended first.
	batch      batch
	cache      *prefixCache
	faults     EngineFaults
	swapper    answerSwapper[*engineRun]
	loadReport lagged[LoadReport]
	commands   commandState
	refusals   Refusals
}

// Refusals counts the chat requests that the engine refused because it was
// leaving. Times are Unix milliseconds; 0 is never.
type Refusals struct {
	Count       int   `json:"count"`
	LastRefusal int64 `json:"last"`
	// LastRunStart is when the engine last started a run.
	LastRunStart int64 `json:"last_begun"`
}

// NewEngine returns an engine without runs, with opts.Model loaded.
func NewEngine(opts EngineOptions) *Engine {
	opts = opts.withDefaults()
	return &Engine{
		opts: opts, runs: map[string]*engineRun{},
		cache: newPrefixCache(opts.CacheTokens), loadReport: lagged[LoadReport]{lag: opts.LoadLag},
		commands: commandState{loadedModels: []string{opts.Model}, ignoreFencingToken: opts.IgnoreFencingToken},
	}
}

// Handler returns the engine's HTTP API: chat completions, runs, load, cache
// events, commands and faults.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.handleChat)
	r.Get("/runs", e.handleListRuns)
	r.Get("/runs/{run}", e.handleGetRun)
	r.Delete("/runs/{run}", e.handleCancelRun)
	r.Get("/refusals", e.handleGetRefusals)
	r.Get("/load", e.handleLoad)
	r.Get("/cache/events", e.handleListCacheEvents)
	r.Get("/orders", e.handleListCommands)
	r.Post("/orders", e.handlePostCommand)
	r.Get("/faults", e.handleGetFaults)
	r.Put("/faults", e.handlePutFaults)
	return r
}

// PromptTokens returns the number of tokens that the stand-in counts for the
// JSON text of messages: one for each four bytes, plus one.
func PromptTokens(messages []byte) int { return len(messages)/4 + 1 }

// TokenText returns the text of the token at index i of an answer, counted from 0.
// It is the same in all answers.
func TokenText(i int) string { return "w" + strconv.Itoa(i) + " " }

// tokenRangeText returns the text of the tokens from to to-1.
func tokenRangeText(from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(TokenText(i))
	}
	return text.String()
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the simulated faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.swapper.setPairs(f.SwapPairs)
}

func (e *Engine) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.currentFaults())
}

func (e *Engine) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if !readJSON(w, r, &f) {
		return
	}
	e.SetFaults(f)
	writeJSON(w, f)
}

// Runs returns the state of each known run, in no order. Ended runs are known
// until maxEndedRuns newer ones have ended.
func (e *Engine) Runs() []EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]EngineRun, 0, len(e.runs))
	for _, run := range e.runs {
		runs = append(runs, run.EngineRun)
	}
	return runs
}

func (e *Engine) handleGetRefusals(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	refusals := e.refusals
	e.mu.Unlock()
	writeJSON(w, refusals)
}

func (e *Engine) handleListRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) }

func (e *Engine) handleGetRun(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	run, ok := e.runs[chi.URLParam(r, "run")]
	var state EngineRun
	if ok {
		state = run.EngineRun
	}
	e.mu.Unlock()
	if !ok {
		refuseUnexecuted(w, http.StatusNotFound, "no such run")
		return
	}
	writeJSON(w, state)
}

// handleCancelRun ends a run and rejects its attempts up to the one that the
// query names. It also does so for a run that isn't known yet, so that a request
// which arrives after its cancellation doesn't start the run.
func (e *Engine) handleCancelRun(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "run")
	e.mu.Lock()
	defer e.mu.Unlock()
	run, ok := e.runs[id]
	if !ok {
		run = newEngineRun(id)
		e.runs[id] = run
	}
	// Without a valid attempt, all attempts are cancelled.
	attempt, err := strconv.Atoi(r.URL.Query().Get("attempt"))
	if err != nil {
		attempt = math.MaxInt
	}
	run.cancelledAttempt = max(run.cancelledAttempt, attempt)
	if !run.Done {
		e.batch.remove(run)
		e.endRun(run, finishCancelled)
	}
	w.WriteHeader(http.StatusNoContent)
}

// refuseUnexecuted answers with status and X-Not-Run, which tells the instance
// that the request had no effect here and may be sent elsewhere.
func refuseUnexecuted(w http.ResponseWriter, status int, text string) {
	w.Header().Set(headerNotRun, "true")
	http.Error(w, text, status)
}
