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
	// keepEnded bounds how many ended runs stay for a resume.
	keepEnded = 20_000
	// prefillChunk bounds the prompt tokens that one step prefills, so that a
	// long prompt does not hold up the decoding sequences.
	prefillChunk = 512
	// hangPoll is how often a hanging loop looks whether it may go on.
	hangPoll = 5 * time.Millisecond
)

// engineRun is one run in the engine. Its fields are guarded by Engine.mu.
type engineRun struct {
	EngineRun
	priority int
	// cancelled is the last attempt that was cancelled.
	cancelled int
	max       int // Tokens of the whole answer, those of Prior included.
	prefill   int // Prompt tokens still to be prefilled.
	blocks    []uint64
	// changed closes with the next token or the run's end.
	changed chan struct{}
}

func newEngineRun(id string) *engineRun {
	return &engineRun{EngineRun: EngineRun{ID: id}, changed: make(chan struct{})}
}

// tokens returns how many tokens of the whole answer there are so far.
func (r *engineRun) tokens() int { return r.Prior + r.Completion }

func (r *engineRun) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// batch is the continuous batch: runs in slots, and runs that wait for one.
type batch struct {
	active  []*engineRun
	waiting []*engineRun // The highest priority first, then by arrival.
	looping bool
}

func (b *batch) enqueue(run *engineRun) {
	at := len(b.waiting)
	for at > 0 && b.waiting[at-1].priority < run.priority {
		at--
	}
	b.waiting = slices.Insert(b.waiting, at, run)
}

func (b *batch) remove(run *engineRun) {
	same := func(r *engineRun) bool { return r == run }
	b.active = slices.DeleteFunc(b.active, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
}

func (b *batch) fill(slots int) {
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
	if e.batch.looping {
		return
	}
	e.batch.looping = true
	go e.loop()
}

// loop steps the batch until it is empty.
func (e *Engine) loop() {
	for {
		pause, busy := e.step()
		if !busy {
			return
		}
		time.Sleep(pause)
	}
}

// step runs one step of the batch and returns how long it takes.
func (e *Engine) step() (pause time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.fill(e.opts.Slots)
	if len(e.batch.active) == 0 {
		e.batch.looping = false
		return 0, false
	}
	if e.faults.Hang {
		return hangPoll, true
	}
	prefilled, decoded := e.stepRuns()
	base := e.opts.Step
	if e.faults.StepMs > 0 {
		base = time.Duration(e.faults.StepMs) * time.Millisecond
	}
	pause = base + time.Duration(prefilled)*e.opts.StepPerPrefill + time.Duration(decoded)*e.opts.StepPerSequence
	return pause, true
}

func (e *Engine) stepRuns() (prefilled, decoded int) {
	for _, run := range slices.Clone(e.batch.active) {
		if run.prefill > 0 {
			chunk := min(run.prefill, prefillChunk-prefilled)
			run.prefill -= chunk
			prefilled += chunk
			if run.prefill == 0 {
				e.cache.add(run.blocks)
			}
			continue
		}
		decoded++
		if run.tokens() < run.max {
			run.Completion++
		}
		if run.tokens() >= run.max {
			e.batch.remove(run)
			e.end(run, finishLength)
			continue
		}
		run.notify()
	}
	return prefilled, decoded
}

// end closes a run and forgets the oldest ended ones. e.mu is held.
func (e *Engine) end(run *engineRun, finish string) {
	run.Done, run.Finish = true, finish
	run.notify()
	e.ended = append(e.ended, run.ID)
	for len(e.ended) > keepEnded {
		delete(e.runs, e.ended[0])
		e.ended = e.ended[1:]
	}
}
