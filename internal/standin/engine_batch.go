package standin

import (
	"slices"
	"time"
)

// Values of EngineRun.FinishReason.
const (
	finishLength    = "length"
	finishCancelled = "cancelled"
)

const (
	// maxEndedRuns bounds how many ended runs are kept for clients that resume.
	maxEndedRuns = 20_000
	// maxPrefillPerStep is the number of tokens that one step prefills at most,
	// over all runs, so that a long prompt doesn't delay the decoding runs.
	maxPrefillPerStep = 512
	// faultPollInterval is how often a blocked loop or stream checks whether
	// its fault has ended.
	faultPollInterval = 5 * time.Millisecond
)

// engineRun is a run with its scheduling state. Engine.mu guards it.
type engineRun struct {
	EngineRun
	priority int
	// cancelledAttempt is the highest cancelled attempt; 0 is none, math.MaxInt
	// all.
	cancelledAttempt int
	maxTokens        int // Length of the answer, PriorTokens included.
	remainingPrefill int // Prompt and prior tokens.
	promptBlocks     []uint64
	// changed is closed, and replaced, at the next token or the run's end.
	changed chan struct{}
}

func newEngineRun(id string) *engineRun {
	return &engineRun{EngineRun: EngineRun{ID: id}, changed: make(chan struct{})}
}

// totalTokens returns how many tokens of the answer exist, prior ones included.
func (r *engineRun) totalTokens() int { return r.PriorTokens + r.CompletionTokens }

// notify unblocks the goroutines that wait for a change of the run.
func (r *engineRun) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// batch is a continuous batch: active runs occupy a slot each, waiting runs are
// queued for one. Engine.mu guards it.
type batch struct {
	active      []*engineRun
	waiting     []*engineRun // By descending priority, then by arrival.
	loopRunning bool
}

func (b *batch) enqueue(run *engineRun) {
	at := len(b.waiting)
	for at > 0 && b.waiting[at-1].priority < run.priority {
		at--
	}
	b.waiting = slices.Insert(b.waiting, at, run)
}

func (b *batch) remove(run *engineRun) {
	isRun := func(r *engineRun) bool { return r == run }
	b.active = slices.DeleteFunc(b.active, isRun)
	b.waiting = slices.DeleteFunc(b.waiting, isRun)
}

// fillSlots moves waiting runs into the free ones of the given number of slots.
func (b *batch) fillSlots(slots int) {
	n := min(slots-len(b.active), len(b.waiting))
	if n <= 0 {
		return
	}
	b.active = append(b.active, b.waiting[:n]...)
	b.waiting = slices.Delete(b.waiting, 0, n)
}

// submit queues a run and starts the batch loop if it isn't running. e.mu must
// be held.
func (e *Engine) submit(run *engineRun) {
	e.batch.enqueue(run)
	if e.batch.loopRunning {
		return
	}
	e.batch.loopRunning = true
	go e.runBatchLoop()
}

// runBatchLoop steps the batch until no runs are left.
func (e *Engine) runBatchLoop() {
	for {
		pause, busy := e.step()
		if !busy {
			return
		}
		time.Sleep(pause)
	}
}

// step executes one step of the batch and returns its simulated duration. busy
// is false if there are no runs; the loop must then end.
func (e *Engine) step() (duration time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.fillSlots(e.opts.Slots)
	if len(e.batch.active) == 0 {
		e.batch.loopRunning = false
		return 0, false
	}
	if e.faults.Hang {
		return faultPollInterval, true
	}
	prefilled, decoded := e.advanceRuns()
	base := e.opts.Step
	if e.faults.StepMs > 0 {
		base = time.Duration(e.faults.StepMs) * time.Millisecond
	}
	duration = base + time.Duration(prefilled)*e.opts.StepPerPrefill + time.Duration(decoded)*e.opts.StepPerSequence
	return duration, true
}

// advanceRuns prefills or decodes each active run once and ends those that are
// complete. It returns the number of prefilled tokens and of decoding runs.
// e.mu must be held.
func (e *Engine) advanceRuns() (prefilled, decoded int) {
	for _, run := range slices.Clone(e.batch.active) {
		if run.remainingPrefill > 0 {
			chunk := min(run.remainingPrefill, maxPrefillPerStep-prefilled)
			run.remainingPrefill -= chunk
			prefilled += chunk
			if run.remainingPrefill == 0 {
				e.cache.add(run.promptBlocks)
			}
			continue
		}
		decoded++
		if run.totalTokens() < run.maxTokens {
			run.CompletionTokens++
		}
		if run.totalTokens() >= run.maxTokens {
			e.batch.remove(run)
			e.endRun(run, finishLength)
			continue
		}
		run.notify()
	}
	return prefilled, decoded
}

// endRun marks a run as done and drops the ended runs beyond maxEndedRuns. e.mu
// must be held.
func (e *Engine) endRun(run *engineRun, finish string) {
	run.Done, run.FinishReason = true, finish
	run.notify()
	e.endedRuns = append(e.endedRuns, run.ID)
	for len(e.endedRuns) > maxEndedRuns {
		delete(e.runs, e.endedRuns[0])
		e.endedRuns = e.endedRuns[1:]
	}
}
