package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const maxOrderBytes = 16 << 20

type chatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	// Prior is the text of the tokens before X-Resume-From.
	Prior string `json:"prior"`
}

// chatOrder is one order as it came over one connection.
type chatOrder struct {
	chatRequest
	run, attempt string
	number       int // The attempt.
	from         int
	only         bool // Resume a run there is; begin none.
	priority     int
}

func readChatOrder(w http.ResponseWriter, r *http.Request) (chatOrder, error) {
	o := chatOrder{
		run: r.Header.Get(headerRun), attempt: r.Header.Get(headerAttempt), only: r.Header.Get(headerOnly) == "true",
	}
	o.number, _ = strconv.Atoi(o.attempt)
	o.from, _ = strconv.Atoi(r.Header.Get(headerFrom))
	o.priority, _ = strconv.Atoi(r.Header.Get(headerPriority))
	return o, json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&o.chatRequest)
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	order, err := readChatOrder(w, r)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	run, status, problem := e.join(order)
	if problem != "" {
		refuse(w, status, problem)
		return
	}
	faults := e.currentFaults()
	if faults.Masked {
		http.Error(w, "upstream failed", http.StatusServiceUnavailable)
		return
	}
	if !sleep(r, time.Duration(faults.AnswerDelayMs)*time.Millisecond) {
		return
	}
	run = e.crossed.pass(r.Context(), run)
	w.Header().Set(headerRun, run.ID)
	w.Header().Set(headerAttempt, order.attempt)
	if order.Stream {
		e.stream(w, r, run, order.from)
		return
	}
	e.whole(w, r, run)
}

// join finds the order's run, or begins it. A problem means that nothing runs
// by this order.
func (e *Engine) join(o chatOrder) (run *engineRun, status int, problem string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run, known := e.runs[o.run]
	superseded := known && !o.only && o.number <= run.cancelled && run.cancelled > 0
	switch {
	case superseded || known && o.only && run.Finish == finishCancelled:
		return nil, http.StatusConflict, "the run was cancelled"
	case known && run.Finish != finishCancelled:
		return run, 0, ""
	case o.only:
		return nil, http.StatusNotFound, "no such run"
	case e.faults.Leaving:
		e.refused.Count++
		e.refused.Last = time.Now().UnixMilli()
		return nil, http.StatusServiceUnavailable, "leaving"
	case e.faults.Refuse:
		return nil, http.StatusTooManyRequests, "refused"
	case o.MaxTokens < 1 || o.from < 0 || o.from > o.MaxTokens:
		return nil, http.StatusBadRequest, "max_tokens or X-Resume-From out of range"
	case o.Prior != textBetween(0, o.from):
		return nil, http.StatusBadRequest, "prior is not the text of the tokens before X-Resume-From"
	}
	return e.beginRun(o), 0, ""
}

func (e *Engine) beginRun(o chatOrder) *engineRun {
	run := newEngineRun(o.run)
	if before, ok := e.runs[o.run]; ok {
		run.cancelled, run.Earlier = before.cancelled, before.Earlier+before.Completion
	}
	run.Prompt, run.Prior, run.max, run.priority = PromptTokens(o.Messages), o.from, o.MaxTokens, o.priority
	run.blocks = prefixBlocks(o.Messages)
	run.Cached = min(e.cache.cached(run.blocks), run.Prompt)
	run.prefill = run.Prompt - run.Cached + run.Prior
	e.runs[run.ID] = run
	e.refused.LastBegun = time.Now().UnixMilli()
	e.submit(run)
	return run
}

// progress returns a copy of the run's state and the channel of its next change.
func (e *Engine) progress(run *engineRun) (EngineRun, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return run.EngineRun, run.changed
}

// stream writes the run's tokens from an offset on, those that there are at
// once, then a closing event.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *engineRun, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerHeartbeat, strconv.FormatInt(e.opts.Heartbeat.Milliseconds(), 10))
	out := eventStream{w: w, flush: http.NewResponseController(w), engine: e, run: run.ID}
	if !out.comment() {
		return
	}
	heartbeat := time.NewTicker(e.opts.Heartbeat)
	defer heartbeat.Stop()
	for next := from; ; {
		state, changed := e.progress(run)
		for ; next < state.Prior+state.Completion; next++ {
			if !out.token(next) {
				return
			}
		}
		if state.Done {
			out.closing(state)
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if !out.comment() {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, run *engineRun) {
	for {
		state, changed := e.progress(run)
		if state.Done {
			writeJSON(w, map[string]any{
				"id": state.ID, "object": "chat.completion", "usage": usageOf(state),
				"choices": []any{map[string]any{
					"index": 0, "finish_reason": state.Finish,
					"message": map[string]string{"role": "assistant", "content": textBetween(0, state.Prior+state.Completion)},
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

type engineUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Cached     int `json:"cached_tokens"`
	Prior      int `json:"prior_tokens"`
}

func usageOf(run EngineRun) engineUsage {
	return engineUsage{Prompt: run.Prompt, Completion: run.Completion, Cached: run.Cached, Prior: run.Prior}
}

// eventStream writes server-sent events to one connection. Each write returns
// false where the connection is to be given up.
type eventStream struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	engine  *Engine
	run     string
	written int
}

func (s *eventStream) write(format string, args ...any) bool {
	faults := s.engine.currentFaults()
	if faults.CutAfter > 0 && s.written >= faults.CutAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.Silent {
		return s.swallow()
	}
	if _, err := fmt.Fprintf(s.w, format, args...); err != nil {
		return false
	}
	return s.flush.Flush() == nil
}

// swallow keeps the connection open and silent until the fault is switched
// off; what was swallowed is lost, so the connection ends then.
func (s *eventStream) swallow() bool {
	for s.engine.currentFaults().Silent {
		time.Sleep(hangPoll)
	}
	return false
}

func (s *eventStream) comment() bool { return s.write(": ping\n\n") }

func (s *eventStream) token(i int) bool {
	ok := s.write("id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
		i+1, s.run, TokenText(i))
	s.written++
	return ok
}

func (s *eventStream) closing(run EngineRun) {
	usage, _ := json.Marshal(usageOf(run))
	s.write("data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":%q}],\"usage\":%s}\n\ndata: [DONE]\n\n",
		run.ID, run.Finish, usage)
}

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
