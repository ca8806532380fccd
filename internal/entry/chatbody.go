package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"slices"
)

const defaultMaxTokens = 256

// chatRequest is what the router itself needs of a chat request. All other
// fields go to the engine as they are.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []inputMessage `json:"messages"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
	Stream              bool           `json:"stream"`
	StreamOptions       streamOptions  `json:"stream_options"`
	// These are checked for their types only.
	Temperature      *float64 `json:"temperature"`
	TopP             *float64 `json:"top_p"`
	PresencePenalty  *float64 `json:"presence_penalty"`
	FrequencyPenalty *float64 `json:"frequency_penalty"`
	User             string   `json:"user"`

	// messages and params are the raw fields for the engine.
	messages  json.RawMessage
	params    map[string]json.RawMessage
	maxTokens int
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type inputMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// routerFields are set by the router on every order to an engine.
var routerFields = []string{"model", "messages", "max_tokens", "max_completion_tokens", "n", "stream", "stream_options", "prior"}

// decodedFields are those that chatRequest decodes.
var decodedFields = append([]string{"temperature", "top_p", "presence_penalty", "frequency_penalty", "user"}, routerFields...)

// parseChatBody reads and checks the body of a chat request. Unknown fields are
// passed on; a known field of the wrong type is an error that names it. What is
// checked is what is passed on, also where a field stands twice or in other
// letters.
func (a *API) parseChatBody(body []byte) (*chatRequest, *requestError) {
	var params map[string]json.RawMessage
	if err := json.Unmarshal(body, &params); err != nil || params == nil {
		return nil, badRequest("malformed_body", "The body is not a JSON object.")
	}
	req := &chatRequest{messages: params["messages"]}
	if err := decodeFields(params, req); err != nil {
		return nil, err
	}
	maps.DeleteFunc(params, func(name string, _ json.RawMessage) bool { return slices.Contains(routerFields, name) })
	req.params = params
	return req, a.checkChat(req)
}

func decodeFields(params map[string]json.RawMessage, req *chatRequest) *requestError {
	fields := map[string]json.RawMessage{}
	for _, name := range decodedFields {
		if value, ok := params[name]; ok {
			fields[name] = value
		}
	}
	data, err := json.Marshal(fields)
	if err == nil {
		err = json.Unmarshal(data, req)
	}
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr):
		return badRequest("invalid_type", "The field %s cannot be a JSON %s.", typeErr.Field, typeErr.Value)
	case err != nil:
		return badRequest("malformed_body", "The body is malformed: %v.", err)
	}
	return nil
}

func (a *API) checkChat(req *chatRequest) *requestError {
	req.maxTokens = min(defaultMaxTokens, a.Limits.MaxTokens)
	for _, maxTokens := range []*int{req.MaxTokens, req.MaxCompletionTokens} {
		if maxTokens != nil {
			req.maxTokens = *maxTokens
		}
	}
	switch {
	case req.Model == "":
		return badRequest("model_missing", "The field model is missing.")
	case len(req.Messages) == 0:
		return badRequest("messages_missing", "The field messages must be a list with at least one message.")
	case req.maxTokens < 1 || req.maxTokens > a.Limits.MaxTokens:
		return badRequest("max_tokens_out_of_range", "max_tokens must be between 1 and %d.", a.Limits.MaxTokens)
	case req.N != nil && *req.N != 1:
		return badRequest("n_not_supported", "Only one choice is given for a request; leave n out.")
	}
	for i, message := range req.Messages {
		if message.Role == "" {
			return badRequest("role_missing", "messages[%d] has no role.", i)
		}
		if !isValidContent(message.Content) {
			return badRequest("invalid_type", "The content of messages[%d] must be a string, a list or null.", i)
		}
	}
	return nil
}

func isValidContent(content json.RawMessage) bool {
	content = bytes.TrimSpace(content)
	return len(content) == 0 || content[0] == '"' || content[0] == '[' || string(content) == "null"
}

// maxPromptTokens is the worst case of a prompt's tokens. Byte-level tokenizers
// make at most one token of a byte, in practice one of two to four. What an
// engine counts above the bound is not billed, so a BytesPerToken that is too
// large costs the operator, one that is too small reserves too much. The JSON
// around each message stands for the chat template's tokens.
func (a *API) maxPromptTokens(messages []byte) int {
	return len(messages)/a.Limits.MinPromptBytesPerToken + 1
}
