package standin

import (
	"slices"
	"time"
)

// The finish reasons of a run.
const (
	finishLength    = "length"
	finishCancelled = "cancelled"
)

const (
	// maxEndedRuns bounds how many ended runs stay for a resume.
	maxEndedRuns = 20_000
	// maxPrefillPerStep bounds the prompt tokens that one step prefills, so that a
	// long prompt does not hold up the decoding sequences.
	maxPrefillPerStep = 512
	// faultPollInterval is how often a hanging loop looks whether it may go on.
	faultPollInterval = 5 * time.Millisecond
)

// engineRun is one run in the engine. Its fields are guarded by Engine.mu.
type engineRun struct {
	EngineRun
	priority int
	// cancelledAttempt is the last attempt that was cancelled.
	cancelledAttempt int
	maxTokens        int // Tokens of the whole answer, those of Prior included.
	remainingPrefill int // Prompt tokens still to be prefilled.
	promptBlocks     []uint64
	// changed closes with the next token or the run's end.
	changed chan struct{}
}

func newEngineRun(id string) *engineRun {
	return &engineRun{EngineRun: EngineRun{ID: id}, changed: make(chan struct{})}
}

// totalTokens returns how many tokens of the whole answer there are so far.
func (r *engineRun) totalTokens() int { return r.PriorTokens + r.CompletionTokens }

func (r *engineRun) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// batch is the continuous batch: runs in slots, and runs that wait for one.
type batch struct {
	active      []*engineRun
	waiting     []*engineRun // The highest priority first, then by arrival.
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

func (b *batch) fillSlots(slots int) {
	n := min(slots-len(b.active), len(b.waiting))
	if n <= 0 {
		return
	}
	b.active = append(b.active, b.waiting[:n]...)
	b.waiting = slices.Delete(b.waiting, 0, n)
}

// submit queues a run and wakes the loop. e.mu is held.
func (e *Engine) submit(run *engineRun) {
	e.batch.enqueue(run)
	if e.batch.loopRunning {
		return
	}
	e.batch.loopRunning = true
	go e.runBatchLoop()
}

// runBatchLoop steps the batch until it is empty.
func (e *Engine) runBatchLoop() {
	for {
		pause, busy := e.step()
		if !busy {
			return
		}
		time.Sleep(pause)
	}
}

// step runs one step of the batch and returns how long it takes.
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

// endRun closes a run and forgets the oldest ended ones. e.mu is held.
func (e *Engine) endRun(run *engineRun, finish string) {
	run.Done, run.FinishReason = true, finish
	run.notify()
	e.endedRuns = append(e.endedRuns, run.ID)
	for len(e.endedRuns) > maxEndedRuns {
		delete(e.runs, e.endedRuns[0])
		e.endedRuns = e.endedRuns[1:]
	}
}
