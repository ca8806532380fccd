package entry

import (
	"net/http"
	"time"

	"guavapier/internal/endpoint"
	"guavapier/internal/record"
	"guavapier/internal/run"
)

// chatStream puts a run's tokens into events, numbered by id.
type chatStream struct {
	*events
	id      func(run record.RunID, n int) string
	model   string
	created int64
}

func (s *chatStream) chunk(run record.RunID, choices ...chatChoice) chatCompletion {
	if choices == nil {
		choices = []chatChoice{}
	}
	return chatCompletion{ID: run, Object: "chat.completion.chunk", Created: s.created, Model: s.model, Choices: choices}
}

func (s *chatStream) token(run record.RunID, t endpoint.Token) error {
	delta := &chatDelta{Content: t.Text}
	if t.Index == 0 {
		delta.Role = "assistant"
	}
	return s.send(s.id(run, t.Index+1), s.chunk(run, chatChoice{Delta: delta}))
}

// whole writes the closing of a whole answer.
func (s *chatStream) whole(result run.ChatResult, withUsage bool) {
	_ = s.send("", s.chunk(result.Run, chatChoice{Delta: &chatDelta{}, FinishReason: &result.FinishReason}))
	if withUsage {
		usage := s.chunk(result.Run)
		usage.Usage = usageOf(result.Usage)
		_ = s.send("", usage)
	}
	s.closing()
}

// streamChat streams an answer. A failure after the first event goes out as an
// event of its own, and the stream ends without its closing event, so that the
// caller knows that the answer is partial.
func (c *Callers) streamChat(w http.ResponseWriter, r *http.Request, chat run.Chat, withUsage bool) {
	id := func(run record.RunID, n int) string { return c.eventID(chat.Team.Name, run, n) }
	s := &chatStream{events: c.newEvents(w), id: id, model: chat.Model, created: time.Now().Unix()}
	defer s.end()
	result, err := c.Runner.Chat(r.Context(), chat, s.token)
	if err == nil {
		s.whole(result, withUsage)
		return
	}
	status, p := fromFailure(err)
	if !s.endUnbegun() {
		_ = s.send("", p.body())
		return
	}
	c.writeWithin(w)
	writeProblem(w, status, p)
}
