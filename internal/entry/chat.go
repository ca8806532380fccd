package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"guavapier/internal/decide"
	"guavapier/internal/endpoint"
	"guavapier/internal/record"
	"guavapier/internal/run"
	"guavapier/internal/session"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the least number of bytes that the prompt bound counts as
// one token. The bound is a worst case: engines report the real count.
const bytesPerToken = 1

const defaultMaxTokens = 256

type chatRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (c *Callers) handleChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.Limits.BodyBytes))
	if err != nil {
		writeProblem(w, http.StatusRequestEntityTooLarge, invalid("body_too_large", "The body is larger than allowed."))
		return
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		writeProblem(w, http.StatusBadRequest, invalid("malformed_body", "The body is not valid JSON: "+err.Error()))
		return
	}
	if p, ok := c.checkChat(&req); !ok {
		writeProblem(w, http.StatusBadRequest, p)
		return
	}
	common, p, ok := c.common(r, body)
	if !ok {
		writeProblem(w, http.StatusForbidden, p)
		return
	}
	common.Wait = c.Limits.FirstToken
	chat := run.Chat{
		Request: common, Model: req.Model, Messages: req.Messages,
		PromptTokens: len(req.Messages)/bytesPerToken + 1, MaxTokens: req.MaxTokens,
	}
	if req.Stream {
		c.streamChat(w, r, chat, req.StreamOptions.IncludeUsage)
		return
	}
	c.wholeChat(w, r, chat)
}

func (c *Callers) checkChat(req *chatRequest) (problem, bool) {
	if req.MaxTokens == 0 {
		req.MaxTokens = req.MaxCompletionTokens
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = min(defaultMaxTokens, c.Limits.MaxTokens)
	}
	switch {
	case req.Model == "":
		return invalid("model_missing", "The field model is missing."), false
	case len(req.Messages) == 0 || req.Messages[0] != '[':
		return invalid("messages_missing", "The field messages must be a list."), false
	case req.MaxTokens < 1 || req.MaxTokens > c.Limits.MaxTokens:
		return invalid("max_tokens_out_of_range", fmt.Sprintf("max_tokens must be between 1 and %d.", c.Limits.MaxTokens)), false
	}
	return problem{}, true
}

// common reads what all requests have in common: session, key, priority.
func (c *Callers) common(r *http.Request, body []byte) (run.Request, problem, bool) {
	team := teamOf(r)
	q := run.Request{
		Team: team, Digest: xxhash.Sum64(body), First: r.Header.Get(HeaderFirst) == "true", Priority: decide.PriorityInteractive,
		// Without a session there is no home zone: the claim's shard must not
		// depend on the instance that a retry reaches.
		Session: session.Identity{Team: team.Name},
	}
	if token := r.Header.Get(HeaderSession); token != "" {
		id, err := c.Sessions.Verify(token)
		if err != nil || id.Team != team.Name {
			return q, invalid("invalid_session", "The session is not valid for this team."), false
		}
		q.Session = id
	}
	key := r.Header.Get(HeaderKey)
	q.Keyed = key != ""
	if key == "" {
		// No retry can name this request again, so the key needs no memory.
		key, q.First = string(record.NewRunID()), true
	}
	q.Key = record.RequestKey{Team: team.Name, Session: q.Session.ID, Key: key}
	if p, err := strconv.Atoi(r.Header.Get(HeaderPriority)); err == nil {
		q.Priority = decide.Priority(min(max(p, int(decide.PriorityBatch)), int(decide.PriorityCall)))
	}
	return q, problem{}, true
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
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Total      int64 `json:"total_tokens"`
}

type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

func usageOf(u endpoint.Usage) *chatUsage {
	return &chatUsage{Prompt: u.Prompt, Completion: u.Completion, Total: u.Prompt + u.Completion}
}

func (c *Callers) wholeChat(w http.ResponseWriter, r *http.Request, chat run.Chat) {
	var text strings.Builder
	result, err := c.Runner.Chat(r.Context(), chat, func(_ record.RunID, t endpoint.Token) error {
		text.WriteString(t.Text)
		return nil
	})
	if err != nil {
		status, p := fromFailure(err)
		writeProblem(w, status, p)
		return
	}
	writeJSON(w, http.StatusOK, chatCompletion{
		ID: string(result.Run), Object: "chat.completion", Created: time.Now().Unix(), Model: chat.Model,
		Choices: []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text.String()}, FinishReason: &result.Finish}},
		Usage:   usageOf(result.Usage),
	})
}
