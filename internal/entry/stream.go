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
	*eventWriter
	eventID func(run record.RunID, n int) string
	model   string
	created int64
}

func (s *chatStream) newChunk(run record.RunID, choices ...chatChoice) chatCompletion {
	if choices == nil {
		choices = []chatChoice{}
	}
	return chatCompletion{ID: run, Object: "chat.completion.chunk", Created: s.created, Model: s.model, Choices: choices}
}

func (s *chatStream) sendToken(run record.RunID, t endpoint.Token) error {
	delta := &chatDelta{Content: t.Text}
	if t.Index == 0 {
		delta.Role = "assistant"
	}
	return s.send(s.eventID(run, t.Index+1), s.newChunk(run, chatChoice{Delta: delta}))
}

// finish writes the closing of a whole answer.
func (s *chatStream) finish(result run.ChatResult, withUsage bool) {
	_ = s.send("", s.newChunk(result.Run, chatChoice{Delta: &chatDelta{}, FinishReason: &result.Finish}))
	if withUsage {
		usage := s.newChunk(result.Run)
		usage.Usage = newChatUsage(result.Usage)
		_ = s.send("", usage)
	}
	s.sendDone()
}

// serveStreamedChat streams an answer. A failure after the first event goes out as an
// event of its own, and the stream ends without its closing event, so that the
// caller knows that the answer is partial.
func (a *API) serveStreamedChat(w http.ResponseWriter, r *http.Request, chat run.Chat, withUsage bool) {
	eventID := func(run record.RunID, n int) string { return a.eventID(chat.Team.Name, run, n) }
	s := &chatStream{eventWriter: a.newEventWriter(w), eventID: eventID, model: chat.Model, created: time.Now().Unix()}
	defer s.end()
	result, err := a.Runner.Chat(r.Context(), chat, s.sendToken)
	if err == nil {
		s.finish(result, withUsage)
		return
	}
	status, p := problemFromError(err)
	if !s.endIfNotStarted() {
		_ = s.send("", p.body())
		return
	}
	a.setWriteDeadline(w)
	writeProblem(w, status, p)
}
