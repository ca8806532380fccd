package decide

import "slices"

// engineModel simulates an engine with continuous batching. A step takes a
// fixed time, a time for each sequence that decodes and a time for each
// prompt token computed in it. The prefix cache, by session, has limited
// memory. The engine's GPUs work on one batch in parallel.
type engineModel struct {
	name        string
	gpus        int
	slowdown    float64 // Factor on the duration of a step; 0 counts as 1.
	leaving     bool
	unreachable bool // Its zone is cut off.
	sim         *sim

	waiting, active []*job
	stepping        bool
	tailAnswers     int            // Answers in the last tailWindow.
	cache           map[string]int // Cached tokens by session.
	lruSessions     []string       // Sessions in the cache, the least recently used first.
	cacheTokens     int
	uncached, input windowedCount // Prompt tokens: computed ones, and all.
}

const (
	// The capacity of one GPU: sequences in a batch, tokens in the prefix cache,
	// and prompt tokens in a step.
	slotsPerGPU        = 8
	cacheTokensPerGPU  = 250_000
	prefillChunkPerGPU = 512
	// The duration of a step in seconds: fixed, for each decoding sequence, and
	// for each prompt token. The latter two are divided by the number of GPUs.
	stepBase     = 8e-3
	stepPerSeq   = 0.17e-3
	stepPerToken = 0.1e-3
)

// job is one attempt of a call at an engine.
type job struct {
	*call
	id           RequestID
	instance     int
	engine       *engineModel
	started      Time
	firstTokenAt Time
	prefillLeft  int // Prompt tokens still to compute.
	tokens       int // Generated so far.
	cached       int
	ended        bool
}

// windowedCount is a running count that remembers its largest increase in one
// window.
type windowedCount struct {
	total, counted, maxPerWindow int
}

func (r *windowedCount) endWindow() {
	r.maxPerWindow = max(r.maxPerWindow, r.total-r.counted)
	r.counted = r.total
}

func (e *engineModel) slots() int { return e.gpus * slotsPerGPU }

func (e *engineModel) addJob(j *job) {
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, func(a, b *job) int { return int(b.Priority) - int(a.Priority) })
	e.startStep()
}

// startStep starts the next step unless one is running or there is no work.
func (e *engineModel) startStep() {
	if e.stepping || len(e.waiting)+len(e.active) == 0 {
		return
	}
	e.stepping = true
	e.admitWaiting()
	prefill, decoding := e.prefill(), 0
	for _, j := range e.active {
		if j.prefillLeft == 0 {
			decoding++
		}
	}
	step := stepBase + (stepPerSeq*float64(decoding)+stepPerToken*float64(prefill))/float64(e.gpus)
	e.sim.after(seconds(step*max(1, e.slowdown)), func() { e.endStep() })
}

// admitWaiting moves waiting jobs into free slots.
func (e *engineModel) admitWaiting() {
	for len(e.waiting) > 0 && len(e.active) < e.slots() {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.cached = min(e.cache[string(j.Session)], j.PromptTokens)
		j.prefillLeft = max(1, j.PromptTokens-j.cached)
		e.input.total += j.PromptTokens
		e.uncached.total += j.prefillLeft
		e.active = append(e.active, j)
		e.cachePrefix(string(j.Session), j.PromptTokens+j.MaxTokens)
	}
}

// prefill divides one step's budget of prompt tokens among the active jobs,
// the higher priority first, and returns how many are computed.
func (e *engineModel) prefill() int {
	budget := prefillChunkPerGPU * e.gpus
	computed := 0
	for p := PriorityCall; p >= PriorityBatch; p-- {
		for _, j := range e.active {
			if j.Priority == p && j.prefillLeft > 0 {
				n := min(j.prefillLeft, budget-computed)
				j.prefillLeft -= n
				computed += n
			}
		}
	}
	return computed
}

// endStep gives each decoding job one token and ends the complete ones.
func (e *engineModel) endStep() {
	kept := e.active[:0]
	for _, j := range e.active {
		if j.ended {
			continue
		}
		if j.prefillLeft > 0 {
			kept = append(kept, j)
			continue
		}
		if j.tokens++; j.tokens == 1 {
			j.firstTokenAt = e.sim.now
			e.sim.onFirstToken(j)
		}
		if j.tokens >= j.MaxTokens {
			e.sim.onFinish(j, Result{FirstToken: j.firstTokenAt - j.started, Total: e.sim.now - j.started, Tokens: j.tokens, Cached: j.cached})
			continue
		}
		kept = append(kept, j)
	}
	e.active = kept
	e.stepping = false // Only now, because finish submits new work that must not start a step.
	e.startStep()
}

func (e *engineModel) removeJob(j *job) {
	j.ended = true
	e.waiting = slices.DeleteFunc(e.waiting, func(o *job) bool { return o == j })
}

// cachePrefix puts a session's prefix into the cache and evicts the least
// recently used ones that no longer fit.
func (e *engineModel) cachePrefix(session string, tokens int) {
	if session == "" {
		return
	}
	if _, ok := e.cache[session]; ok {
		e.lruSessions = slices.Delete(e.lruSessions, slices.Index(e.lruSessions, session), slices.Index(e.lruSessions, session)+1)
	}
	e.lruSessions = append(e.lruSessions, session)
	e.cacheTokens += tokens - e.cache[session]
	e.cache[session] = tokens
	for e.cacheTokens > cacheTokensPerGPU*e.gpus && len(e.lruSessions) > 1 {
		e.cacheTokens -= e.cache[e.lruSessions[0]]
		delete(e.cache, e.lruSessions[0])
		e.lruSessions = e.lruSessions[1:]
	}
}

func (e *engineModel) report(now Time) LoadReport {
	return LoadReport{Running: len(e.active), Queued: len(e.waiting), At: now}
}
