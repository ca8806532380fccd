package decide

import "slices"

// engineModel is a batching engine: step = base + a part for each decoding
// sequence + a part for each prompt token computed in the step, and a prefix
// cache by session in limited memory. GPUs work in parallel on one batch.
type engineModel struct {
	name        string
	gpus        int
	slowdown    float64 // Factor on the step's time; 0 is 1.
	leaving     bool
	unreachable bool
	sim         *sim

	waiting, active []*job
	stepping        bool
	tailAnswers     int            // Answers in the last part of the window.
	cache           map[string]int // Tokens by session.
	leastRecent     []string       // Sessions, the least recently used first.
	cacheTokens     int
	uncached, input windowedCount // Prompt tokens: those computed, and all.
}

const (
	slotsPerGPU        = 8
	cacheTokensPerGPU  = 250_000
	prefillChunkPerGPU = 512
	stepBase           = 8e-3
	stepPerSeq         = 0.17e-3
	stepPerToken       = 0.1e-3
)

// job is one attempt at an engine.
type job struct {
	*call
	id           RequestID
	instance     int
	engine       *engineModel
	started      Time
	firstTokenAt Time
	prefillLeft  int // Prompt tokens still to compute.
	tokens       int
	cached       int
	ended        bool
}

// windowedCount follows a count and the most of it in one window.
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

// prefill shares one step's prompt tokens between the active jobs, the higher
// priority first, and returns how many were computed.
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
	e.stepping = false // Only now: finish brings new work in the meantime.
	e.startStep()
}

func (e *engineModel) removeJob(j *job) {
	j.ended = true
	e.waiting = slices.DeleteFunc(e.waiting, func(o *job) bool { return o == j })
}

func (e *engineModel) cachePrefix(session string, tokens int) {
	if session == "" {
		return
	}
	if _, ok := e.cache[session]; ok {
		e.leastRecent = slices.Delete(e.leastRecent, slices.Index(e.leastRecent, session), slices.Index(e.leastRecent, session)+1)
	}
	e.leastRecent = append(e.leastRecent, session)
	e.cacheTokens += tokens - e.cache[session]
	e.cache[session] = tokens
	for e.cacheTokens > cacheTokensPerGPU*e.gpus && len(e.leastRecent) > 1 {
		e.cacheTokens -= e.cache[e.leastRecent[0]]
		delete(e.cache, e.leastRecent[0])
		e.leastRecent = e.leastRecent[1:]
	}
}

func (e *engineModel) report(now Time) LoadReport {
	return LoadReport{Running: len(e.active), Queued: len(e.waiting), At: now}
}
