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

func (c *Callers) handleChat(w http.ResponseWriter, r *http.Request) {
	body, refused := c.readBody(w, r)
	if refused != nil {
		refused.write(w)
		return
	}
	chat, req, refused := c.chatOf(r, body)
	if refused != nil {
		refused.write(w)
		return
	}
	if req.Stream {
		c.streamChat(w, r, chat, req.StreamOptions.IncludeUsage)
		return
	}
	c.wholeChat(w, r, chat)
}

// chatOf reads a chat request whole; nothing has run before it returns.
func (c *Callers) chatOf(r *http.Request, body []byte) (run.Chat, *chatRequest, *refusal) {
	req, refused := c.parseChat(body)
	if refused != nil {
		return run.Chat{}, nil, refused
	}
	common, refused := c.common(r, body)
	if refused != nil {
		return run.Chat{}, nil, refused
	}
	common.MaxWait = c.Limits.FirstToken
	have, refused := c.lastEvent(r)
	if refused == nil && have.Run != "" && !req.Stream {
		refused = badRequest("last_event_id_without_stream", "%s is for streamed answers.", HeaderLast)
	}
	chat := run.Chat{
		Request: common, Model: req.Model, Messages: req.messages, Params: req.params,
		PromptTokens: c.promptBound(req.messages), MaxTokens: req.maxTokens, ResumeFrom: have,
	}
	return chat, req, refused
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatUsage struct {
	Prompt     int64        `json:"prompt_tokens"`
	Completion int64        `json:"completion_tokens"`
	Total      int64        `json:"total_tokens"`
	Details    usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	Cached int64 `json:"cached_tokens"`
}

type chatCompletion struct {
	ID      record.RunID `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

func usageOf(u endpoint.Usage) *chatUsage {
	return &chatUsage{
		Prompt: u.Prompt, Completion: u.Completion, Total: u.Prompt + u.Completion, Details: usageDetails{Cached: u.Cached},
	}
}

// errTooLarge says that an answer is larger than may be buffered.
var errTooLarge = errors.New("entry: answer too large")

// wholeChat buffers the answer: the caller gets it whole or not at all.
func (c *Callers) wholeChat(w http.ResponseWriter, r *http.Request, chat run.Chat) {
	var text strings.Builder
	tooLarge := false
	result, err := c.Runner.Chat(r.Context(), chat, func(_ record.RunID, t endpoint.Token) error {
		if text.Len()+len(t.Text) > c.Limits.AnswerBytes {
			tooLarge = true
			return errTooLarge
		}
		text.WriteString(t.Text)
		return r.Context().Err()
	})
	c.writeWithin(w)
	if tooLarge {
		writeProblem(w, http.StatusBadGateway, problem{
			Type: typeServer, Code: "answer_too_large", Message: "The answer is too large to be sent whole; ask for a stream.", Outcome: record.OutcomeUnknown,
		})
		return
	}
	if err != nil {
		status, p := fromFailure(err)
		writeProblem(w, status, p)
		return
	}
	writeJSON(w, http.StatusOK, chatCompletion{
		ID: result.Run, Object: "chat.completion", Created: time.Now().Unix(), Model: chat.Model,
		Choices: []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text.String()}, FinishReason: &result.FinishReason}},
		Usage:   usageOf(result.Usage),
	})
}

// writeWithin bounds the next write, so that a caller who takes nothing does
// not hold the connection for ever.
func (c *Callers) writeWithin(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(c.Limits.Write))
}
