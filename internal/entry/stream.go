package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"guavapier/internal/endpoint"
	"guavapier/internal/record"
	"guavapier/internal/run"
)

// eventWriter writes a chat completion as server-sent events. Nothing is
// written before the first event, so a refusal can still have its status.
type eventWriter struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	model   string
	created int64
	begun   bool
}

func newEventWriter(w http.ResponseWriter, model string) *eventWriter {
	return &eventWriter{w: w, flush: http.NewResponseController(w), model: model, created: time.Now().Unix()}
}

func (e *eventWriter) begin() {
	if e.begun {
		return
	}
	e.begun = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

// send writes one event; id numbers the tokens from 1.
func (e *eventWriter) send(id int, v any) error {
	e.begin()
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if id > 0 {
		fmt.Fprintf(e.w, "id: %d\n", id)
	}
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return e.flush.Flush()
}

func (e *eventWriter) done() {
	fmt.Fprint(e.w, "data: [DONE]\n\n")
	_ = e.flush.Flush()
}

func (e *eventWriter) chunk(choices []chatChoice) chatCompletion {
	return chatCompletion{Object: "chat.completion.chunk", Created: e.created, Model: e.model, Choices: choices}
}

func (c *Callers) streamChat(w http.ResponseWriter, r *http.Request, chat run.Chat, withUsage bool) {
	events := newEventWriter(w, chat.Model)
	result, err := c.Runner.Chat(r.Context(), chat, func(_ record.RunID, t endpoint.Token) error {
		delta := &chatDelta{Content: t.Text}
		if t.Index == 0 {
			delta.Role = "assistant"
		}
		return events.send(t.Index+1, events.chunk([]chatChoice{{Delta: delta}}))
	})
	if err != nil {
		status, p := fromFailure(err)
		if !events.begun {
			writeProblem(w, status, p)
			return
		}
		_ = events.send(0, p.body())
		return
	}
	closing := events.chunk([]chatChoice{{Delta: &chatDelta{}, FinishReason: &result.Finish}})
	closing.ID = string(result.Run)
	_ = events.send(0, closing)
	if withUsage {
		usage := events.chunk([]chatChoice{})
		usage.Usage = usageOf(result.Usage)
		_ = events.send(0, usage)
	}
	events.done()
}
