package entry

import (
	"net/http"
	"time"

	"guavapier/internal/endpoint"
	"guavapier/internal/record"
	"guavapier/internal/run"
)

// chatStream writes the tokens of a run as events in the chat completions format. The ID
// of a token's event comes from eventID and contains the number of tokens sent so far.
type chatStream struct {
	*eventWriter
	eventID func(run record.RunID, n int) string
	model   string
	created int64
}

// newChunk returns the data of one event. Without choices it has an empty list.
func (s *chatStream) newChunk(run record.RunID, choices ...chatChoice) chatCompletion {
	if choices == nil {
		choices = []chatChoice{}
	}
	return chatCompletion{ID: run, Object: "chat.completion.chunk", Created: s.created, Model: s.model, Choices: choices}
}

// sendToken sends one token; it is a run.TokenSink.
func (s *chatStream) sendToken(run record.RunID, t endpoint.Token) error {
	delta := &chatDelta{Content: t.Text}
	if t.Index == 0 {
		delta.Role = "assistant"
	}
	return s.send(s.eventID(run, t.Index+1), s.newChunk(run, chatChoice{Delta: delta}))
}

// finish sends the end of a complete answer: the finish reason, the usage if the caller
// asked for it, and the closing event.
func (s *chatStream) finish(result run.ChatResult, withUsage bool) {
	_ = s.send("", s.newChunk(result.Run, chatChoice{Delta: &chatDelta{}, FinishReason: &result.FinishReason}))
	if withUsage {
		usage := s.newChunk(result.Run)
		usage.Usage = newChatUsage(result.Usage)
		_ = s.send("", usage)
	}
	s.sendDone()
}

// serveStreamedChat runs a chat request and streams the answer. If the run fails after the
// first event, the error is sent as an event and the stream ends without the closing event,
// by which the caller recognizes a partial answer.
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
