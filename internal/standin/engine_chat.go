package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const maxChatBodyBytes = 16 << 20

// chatRequest holds the fields of the request's body that the engine reads.
type chatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	// PriorText is the text of the tokens before X-Resume-From, from which an
	// engine that doesn't have the run continues it.
	PriorText string `json:"prior"`
}

// chatAttempt is a chat request with its headers: one attempt at a run.
type chatAttempt struct {
	chatRequest
	runID, attemptHeader string // attemptHeader is returned as received.
	attempt              int    // attemptHeader as a number; 0 if it isn't one.
	resumeFrom           int
	resumeOnly           bool // Resume an existing run; don't start one.
	priority             int
}

// readChatAttempt decodes a request. Malformed numeric headers count as 0.
func readChatAttempt(w http.ResponseWriter, r *http.Request) (chatAttempt, error) {
	a := chatAttempt{
		runID: r.Header.Get(headerRunID), attemptHeader: r.Header.Get(headerAttempt), resumeOnly: r.Header.Get(headerResumeOnly) == "true",
	}
	a.attempt, _ = strconv.Atoi(a.attemptHeader)
	a.resumeFrom, _ = strconv.Atoi(r.Header.Get(headerResumeFrom))
	a.priority, _ = strconv.Atoi(r.Header.Get(headerPriority))
	return a, json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChatBodyBytes)).Decode(&a.chatRequest)
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	attempt, err := readChatAttempt(w, r)
	if err != nil {
		refuseUnexecuted(w, http.StatusBadRequest, err.Error())
		return
	}
	run, status, problem := e.joinOrStartRun(attempt)
	if problem != "" {
		refuseUnexecuted(w, status, problem)
		return
	}
	faults := e.currentFaults()
	if faults.ProxyError {
		http.Error(w, "upstream failed", http.StatusServiceUnavailable)
		return
	}
	if !sleep(r, time.Duration(faults.AnswerDelayMs)*time.Millisecond) {
		return
	}
	run = e.swapper.swap(r.Context(), run)
	w.Header().Set(headerRunID, run.ID)
	w.Header().Set(headerAttempt, attempt.attemptHeader)
	if attempt.Stream {
		e.writeStream(w, r, run, attempt.resumeFrom)
		return
	}
	e.writeCompletion(w, r, run)
}

// joinOrStartRun returns the run that the attempt names, and starts it if it
// isn't known or was cancelled before this attempt. A non-empty problem means
// that the request is refused with status and had no effect.
func (e *Engine) joinOrStartRun(a chatAttempt) (run *engineRun, status int, problem string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run, known := e.runs[a.runID]
	superseded := known && !a.resumeOnly && a.attempt <= run.cancelledAttempt && run.cancelledAttempt > 0
	switch {
	case superseded || known && a.resumeOnly && run.FinishReason == finishCancelled:
		return nil, http.StatusConflict, "the run was cancelled"
	case known && run.FinishReason != finishCancelled:
		return run, 0, ""
	case a.resumeOnly:
		return nil, http.StatusNotFound, "no such run"
	case e.faults.Leaving:
		e.refusals.Count++
		e.refusals.LastRefusal = time.Now().UnixMilli()
		return nil, http.StatusServiceUnavailable, "leaving"
	case e.faults.Refuse:
		return nil, http.StatusTooManyRequests, "refused"
	case a.MaxTokens < 1 || a.resumeFrom < 0 || a.resumeFrom > a.MaxTokens:
		return nil, http.StatusBadRequest, "max_tokens or X-Resume-From out of range"
	case a.PriorText != tokenRangeText(0, a.resumeFrom):
		return nil, http.StatusBadRequest, "prior is not the text of the tokens before X-Resume-From"
	}
	return e.startRun(a), 0, ""
}

// startRun replaces a cancelled run of the same ID and queues the new one. e.mu
// must be held.
func (e *Engine) startRun(a chatAttempt) *engineRun {
	run := newEngineRun(a.runID)
	if previous, ok := e.runs[a.runID]; ok {
		run.cancelledAttempt, run.CancelledTokens = previous.cancelledAttempt, previous.CancelledTokens+previous.CompletionTokens
	}
	run.PromptTokens, run.PriorTokens, run.maxTokens, run.priority = PromptTokens(a.Messages), a.resumeFrom, a.MaxTokens, a.priority
	run.promptBlocks = prefixBlocks(a.Messages)
	run.CachedTokens = min(e.cache.cachedTokens(run.promptBlocks), run.PromptTokens)
	run.remainingPrefill = run.PromptTokens - run.CachedTokens + run.PriorTokens
	e.runs[run.ID] = run
	e.refusals.LastRunStart = time.Now().UnixMilli()
	e.submit(run)
	return run
}

// runState returns a copy of the run's state and a channel that is closed at the
// run's next change.
func (e *Engine) runState(run *engineRun) (EngineRun, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return run.EngineRun, run.changed
}

// writeStream writes the run's tokens from token from on as server-sent events,
// existing tokens immediately and others as they are generated, then the usage
// and [DONE].
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, run *engineRun, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerHeartbeatMs, strconv.FormatInt(e.opts.Heartbeat.Milliseconds(), 10))
	out := eventStream{w: w, controller: http.NewResponseController(w), engine: e, run: run.ID}
	if !out.writeComment() {
		return
	}
	heartbeat := time.NewTicker(e.opts.Heartbeat)
	defer heartbeat.Stop()
	for next := from; ; {
		state, changed := e.runState(run)
		for ; next < state.PriorTokens+state.CompletionTokens; next++ {
			if !out.writeToken(next) {
				return
			}
		}
		if state.Done {
			out.writeEnd(state)
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if !out.writeComment() {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// writeCompletion waits for the run's end and writes the answer as one JSON body.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, run *engineRun) {
	for {
		state, changed := e.runState(run)
		if state.Done {
			writeJSON(w, map[string]any{
				"id": state.ID, "object": "chat.completion", "usage": usageOf(state),
				"choices": []any{map[string]any{
					"index": 0, "finish_reason": state.FinishReason,
					"message": map[string]string{"role": "assistant", "content": tokenRangeText(0, state.PriorTokens+state.CompletionTokens)},
				}},
			})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// engineUsage is the usage object of an answer.
type engineUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	PriorTokens      int `json:"prior_tokens"`
}

func usageOf(run EngineRun) engineUsage {
	return engineUsage{PromptTokens: run.PromptTokens, CompletionTokens: run.CompletionTokens, CachedTokens: run.CachedTokens, PriorTokens: run.PriorTokens}
}

// eventStream writes server-sent events to one connection. Its write methods
// return false if the handler must return.
type eventStream struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	engine        *Engine
	run           string
	writtenTokens int
}

// write writes and flushes. It applies the faults CutAfterTokens, by a panic that
// aborts the connection, and Silent.
func (s *eventStream) write(format string, args ...any) bool {
	faults := s.engine.currentFaults()
	if faults.CutAfterTokens > 0 && s.writtenTokens >= faults.CutAfterTokens {
		panic(http.ErrAbortHandler)
	}
	if faults.Silent {
		return s.blockWhileSilent()
	}
	if _, err := fmt.Fprintf(s.w, format, args...); err != nil {
		return false
	}
	return s.controller.Flush() == nil
}

// blockWhileSilent keeps the connection open without output until the fault
// ends. It then returns false to close the connection, because the event that
// was to be written is lost.
func (s *eventStream) blockWhileSilent() bool {
	for s.engine.currentFaults().Silent {
		time.Sleep(faultPollInterval)
	}
	return false
}

func (s *eventStream) writeComment() bool { return s.write(": ping\n\n") }

// writeToken writes token i. Its event ID is i+1, the X-Resume-From that continues
// after it.
func (s *eventStream) writeToken(i int) bool {
	ok := s.write("id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
		i+1, s.run, TokenText(i))
	s.writtenTokens++
	return ok
}

// writeEnd writes the finish reason with the usage, and [DONE].
func (s *eventStream) writeEnd(run EngineRun) {
	usage, _ := json.Marshal(usageOf(run))
	s.write("data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":%q}],\"usage\":%s}\n\ndata: [DONE]\n\n",
		run.ID, run.FinishReason, usage)
}

// sleep waits for d and reports whether the request is still connected.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
