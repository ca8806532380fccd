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

// The headers between guavapier and its endpoints, from the endpoint's side.
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

// EngineFaults are the switchable faults of the engine stand-in.
type EngineFaults struct {
	// Leaving refuses new work with 503 and X-Not-Run; running work goes on.
	Leaving bool `json:"leaving"`
	// Refuse refuses new work with 429 and X-Not-Run.
	Refuse bool `json:"refuse"`
	// StepMs replaces the base time of one step; 0 leaves it.
	StepMs int `json:"step_ms"`
	// Hang stops the batch loop: heartbeats come, tokens do not.
	Hang bool `json:"hang"`
	// Silent writes nothing more on any open connection; runs go on.
	Silent bool `json:"silent"`
	// AnswerDelayMs holds back the head of each new answer.
	AnswerDelayMs int `json:"answer_delay_ms"`
	// SwapPairs is how many pairs of answers are still to be swapped.
	SwapPairs int `json:"crossed"`
	// CutAfterTokens closes each connection after that many tokens; 0 never.
	CutAfterTokens int `json:"cut_after"`
	// ProxyError answers 503 without X-Not-Run after the run has begun, as a
	// proxy between the two ends does.
	ProxyError bool `json:"masked"`
}

// EngineOptions set the engine stand-in. Zero values get a default.
type EngineOptions struct {
	Name  string
	Model string
	// Step is the base time of one batching step. Each decoding sequence adds
	// StepPerSequence, each prompt token that is prefilled StepPerPrefill.
	Step            time.Duration
	StepPerSequence time.Duration
	StepPerPrefill  time.Duration
	// Slots is the size of the batch.
	Slots int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// IgnoreFencingToken obeys orders with an old fencing number.
	IgnoreFencingToken bool
	// LoadLag and CacheLag are how late load reports and cache events are.
	LoadLag  time.Duration
	CacheLag time.Duration
	// Heartbeat is the time between comments on a stream without tokens.
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

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// EngineRun is what the engine did for one run. Completion counts the tokens
// that were generated here; Prior those taken over from another engine.
type EngineRun struct {
	ID               string `json:"id"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
	PriorTokens      int    `json:"prior_tokens"`
	// CancelledTokens counts tokens that attempts which were cancelled here generated.
	CancelledTokens int    `json:"earlier_tokens,omitempty"`
	Done            bool   `json:"done"`
	FinishReason    string `json:"finish_reason,omitempty"`
}

// Engine is the stand-in for a model engine. Token i of every answer is
// TokenText(i), so a test can tell a whole answer.
//
// One loop steps the batch while there is work and ends when there is none.
type Engine struct {
	opts EngineOptions

	// mu guards everything below, and the fields of each run.
	mu         sync.Mutex
	runs       map[string]*engineRun
	endedRuns  []string // Ended runs, the oldest first.
	batch      batch
	cache      *prefixCache
	faults     EngineFaults
	swapper    answerSwapper[*engineRun]
	loadReport lagged[LoadReport]
	commands   commandState
	refusals   Refusals
}

// Refusals counts the orders that the engine refused because it was leaving.
// Times are Unix milliseconds.
type Refusals struct {
	Count       int   `json:"count"`
	LastRefusal int64 `json:"last"`
	// LastRunStart is when the engine last began a run.
	LastRunStart int64 `json:"last_begun"`
}

// NewEngine returns an idle engine.
func NewEngine(opts EngineOptions) *Engine {
	opts = opts.withDefaults()
	return &Engine{
		opts: opts, runs: map[string]*engineRun{},
		cache: newPrefixCache(opts.CacheTokens), loadReport: lagged[LoadReport]{lag: opts.LoadLag},
		commands: commandState{loadedModels: []string{opts.Model}, ignoreFencingToken: opts.IgnoreFencingToken},
	}
}

// Handler returns the engine's HTTP interface.
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

// PromptTokens counts the stand-in's tokens of a messages value: four bytes
// make one.
func PromptTokens(messages []byte) int { return len(messages)/4 + 1 }

// TokenText returns token i of every stand-in answer.
func TokenText(i int) string { return "w" + strconv.Itoa(i) + " " }

// tokenRangeText returns the tokens from..to-1 as one text.
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

// SetFaults switches the faults.
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

// Runs returns what the engine did for each run it knows.
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

// handleCancelRun stops a run. One that is not known yet is marked, so that an
// order which arrives after its cancel does not run.
func (e *Engine) handleCancelRun(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "run")
	e.mu.Lock()
	defer e.mu.Unlock()
	run, ok := e.runs[id]
	if !ok {
		run = newEngineRun(id)
		e.runs[id] = run
	}
	// Without an attempt the cancel is for every one.
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

// refuseUnexecuted answers an order that surely did not run.
func refuseUnexecuted(w http.ResponseWriter, status int, text string) {
	w.Header().Set(headerNotRun, "true")
	http.Error(w, text, status)
}
