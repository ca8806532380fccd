package entry

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"guavapier/internal/endpoint"
	"guavapier/internal/record"
	"guavapier/internal/run"
)

func (a *API) handleChat(w http.ResponseWriter, r *http.Request) {
	body, release, reqErr := a.readBody(w, r)
	defer release()
	if reqErr != nil {
		reqErr.write(w)
		return
	}
	chat, req, reqErr := a.parseChatRequest(r, body)
	if reqErr != nil {
		reqErr.write(w)
		return
	}
	if req.Stream {
		a.serveStreamedChat(w, r, chat, req.StreamOptions.IncludeUsage)
		return
	}
	a.serveBufferedChat(w, r, chat)
}

// parseChatRequest validates the body and the headers of a chat request. If it
// returns an error, nothing has run.
func (a *API) parseChatRequest(r *http.Request, body []byte) (run.Chat, *chatRequest, *requestError) {
	req, reqErr := a.parseChatBody(body)
	if reqErr != nil {
		return run.Chat{}, nil, reqErr
	}
	common, reqErr := a.parseCommon(r, body)
	if reqErr != nil {
		return run.Chat{}, nil, reqErr
	}
	common.MaxWait = a.Limits.FirstTokenTimeout
	position, reqErr := a.parseLastEventID(r)
	if reqErr == nil && position.Run != "" && !req.Stream {
		reqErr = badRequest("last_event_id_without_stream", "%s is for streamed answers.", HeaderLastEventID)
	}
	chat := run.Chat{
		Request: common, Model: req.Model, Messages: req.messages, Params: req.params,
		PromptTokens: a.maxPromptTokens(req.messages), MaxTokens: req.maxTokens, ResumeFrom: position,
	}
	return chat, req, reqErr
}

// answerMessage is the message of an answer that is sent whole.
type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatChoice is the single choice of an answer: Message if it is sent whole,
// Delta in a chunk of a stream.
type chatChoice struct {
	Index        int            `json:"index"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *chatDelta     `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// chatDelta is the part of an answer's message that one chunk adds.
type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// chatUsage holds the number of tokens that a request used.
type chatUsage struct {
	Prompt     int64        `json:"prompt_tokens"`
	Completion int64        `json:"completion_tokens"`
	Total      int64        `json:"total_tokens"`
	Details    usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	Cached int64 `json:"cached_tokens"`
}

// chatCompletion is the body of an answer, or the data of one event of a stream.
type chatCompletion struct {
	ID      record.RunID `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

func newChatUsage(u endpoint.Usage) *chatUsage {
	return &chatUsage{
		Prompt: u.Prompt, Completion: u.Completion, Total: u.Prompt + u.Completion, Details: usageDetails{Cached: u.Cached},
	}
}

// errAnswerTooLarge stops a run whose answer exceeds Limits.MaxAnswerBytes.
var errAnswerTooLarge = errors.New("entry: answer too large")

// serveBufferedChat runs a chat request and sends the answer once it is
// complete, so that a failure in the middle can still be answered with an error
// status.
func (a *API) serveBufferedChat(w http.ResponseWriter, r *http.Request, chat run.Chat) {
	var text strings.Builder
	tooLarge := false
	result, err := a.Runner.Chat(r.Context(), chat, func(_ record.RunID, t endpoint.Token) error {
		if text.Len()+len(t.Text) > a.Limits.MaxAnswerBytes {
			tooLarge = true
			return errAnswerTooLarge
		}
		text.WriteString(t.Text)
		return r.Context().Err()
	})
	a.setWriteDeadline(w)
	if tooLarge {
		writeProblem(w, http.StatusBadGateway, problem{
			Type: typeServer, Code: "answer_too_large", Message: "The answer is too large to be sent whole; ask for a stream.", Outcome: record.OutcomeUnknown,
		})
		return
	}
	if err != nil {
		status, p := problemFromError(err)
		writeProblem(w, status, p)
		return
	}
	writeJSON(w, http.StatusOK, chatCompletion{
		ID: result.Run, Object: "chat.completion", Created: time.Now().Unix(), Model: chat.Model,
		Choices: []chatChoice{{Message: &answerMessage{Role: "assistant", Content: text.String()}, FinishReason: &result.FinishReason}},
		Usage:   newChatUsage(result.Usage),
	})
}

// setWriteDeadline bounds the next write to the caller. Without it a caller that
// doesn't read would block the handler forever.
func (a *API) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(a.Limits.WriteTimeout))
}
