package decide

import "slices"

// engineModel is a batching engine: step = base + a part for each decoding
// sequence + a part for each prompt token computed in the step, and a prefix
// cache by session in limited memory. GPUs work in parallel on one batch.
type engineModel struct {
	name    string
	gpus    int
	slow    float64 // Factor on the step's time; 0 is 1.
	leaving bool
	cut     bool
	sim     *sim

	waiting, active []*job
	stepping        bool
	last            int            // Answers in the last part of the window.
	cache           map[string]int // Tokens by session.
	recent          []string       // Sessions, the least recently used first.
	cacheTokens     int
	uncached, input rate // Prompt tokens: those computed, and all.
}

const (
	slotsPerGPU  = 8
	memoryPerGPU = 250_000
	chunkPerGPU  = 512
	stepBase     = 8e-3
	stepPerSeq   = 0.17e-3
	stepPerToken = 0.1e-3
)

// job is one attempt at an engine.
type job struct {
	*call
	id       RequestID
	instance int
	engine   *engineModel
	started  Time
	first    Time
	left     int // Prompt tokens still to compute.
	tokens   int
	cached   int
	ended    bool
}

// rate follows a count and the most of it in one window.
type rate struct {
	total, seen, most int
}

func (r *rate) window() {
	r.most = max(r.most, r.total-r.seen)
	r.seen = r.total
}

func (e *engineModel) slots() int { return e.gpus * slotsPerGPU }

func (e *engineModel) add(j *job) {
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, func(a, b *job) int { return int(b.Priority) - int(a.Priority) })
	e.kick()
}

func (e *engineModel) kick() {
	if e.stepping || len(e.waiting)+len(e.active) == 0 {
		return
	}
	e.stepping = true
	e.admitWaiting()
	prefill, decoding := e.prefill(), 0
	for _, j := range e.active {
		if j.left == 0 {
			decoding++
		}
	}
	step := stepBase + (stepPerSeq*float64(decoding)+stepPerToken*float64(prefill))/float64(e.gpus)
	e.sim.after(seconds(step*max(1, e.slow)), func() { e.stepped() })
}

func (e *engineModel) admitWaiting() {
	for len(e.waiting) > 0 && len(e.active) < e.slots() {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.cached = min(e.cache[string(j.Session)], j.PromptTokens)
		j.left = max(1, j.PromptTokens-j.cached)
		e.input.total += j.PromptTokens
		e.uncached.total += j.left
		e.active = append(e.active, j)
		e.remember(string(j.Session), j.PromptTokens+j.MaxTokens)
	}
}

// prefill shares one step's prompt tokens between the active jobs, the higher
// priority first, and returns how many were computed.
func (e *engineModel) prefill() int {
	budget := chunkPerGPU * e.gpus
	done := 0
	for p := PriorityCall; p >= PriorityBatch; p-- {
		for _, j := range e.active {
			if j.Priority == p && j.left > 0 {
				n := min(j.left, budget-done)
				j.left -= n
				done += n
			}
		}
	}
	return done
}

func (e *engineModel) stepped() {
	kept := e.active[:0]
	for _, j := range e.active {
		if j.ended {
			continue
		}
		if j.left > 0 {
			kept = append(kept, j)
			continue
		}
		if j.tokens++; j.tokens == 1 {
			j.first = e.sim.now
			e.sim.firstToken(j)
		}
		if j.tokens >= j.MaxTokens {
			e.sim.finish(j, Result{FirstToken: j.first - j.started, Total: e.sim.now - j.started, Tokens: j.tokens, Cached: j.cached})
			continue
		}
		kept = append(kept, j)
	}
	e.active = kept
	e.stepping = false // Only now: finish brings new work in the meantime.
	e.kick()
}

func (e *engineModel) drop(j *job) {
	j.ended = true
	e.waiting = slices.DeleteFunc(e.waiting, func(o *job) bool { return o == j })
}

func (e *engineModel) remember(session string, tokens int) {
	if session == "" {
		return
	}
	if _, ok := e.cache[session]; ok {
		e.recent = slices.Delete(e.recent, slices.Index(e.recent, session), slices.Index(e.recent, session)+1)
	}
	e.recent = append(e.recent, session)
	e.cacheTokens += tokens - e.cache[session]
	e.cache[session] = tokens
	for e.cacheTokens > memoryPerGPU*e.gpus && len(e.recent) > 1 {
		e.cacheTokens -= e.cache[e.recent[0]]
		delete(e.cache, e.recent[0])
		e.recent = e.recent[1:]
	}
}

func (e *engineModel) report(now Time) Report {
	return Report{Running: len(e.active), Queued: len(e.waiting), At: now}
}
