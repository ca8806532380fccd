package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"slices"
)

// defaultMaxTokens bounds the answer of a request without max_tokens.
const defaultMaxTokens = 256

// chatRequest holds the fields of a chat request's body that this service reads
// or validates. All other fields are passed to the engine unchanged.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []inputMessage `json:"messages"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
	Stream              bool           `json:"stream"`
	StreamOptions       streamOptions  `json:"stream_options"`
	// The following fields are decoded only to validate their types.
	Temperature      *float64 `json:"temperature"`
	TopP             *float64 `json:"top_p"`
	PresencePenalty  *float64 `json:"presence_penalty"`
	FrequencyPenalty *float64 `json:"frequency_penalty"`
	User             string   `json:"user"`

	// messages and params are passed to the engine as the caller sent them: the
	// field messages, and every field that isn't one of routerFields.
	messages json.RawMessage
	params   map[string]json.RawMessage
	// maxTokens is the bound on the answer: max_completion_tokens, max_tokens or the
	// default.
	maxTokens int
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// inputMessage is one message of a prompt. Content is a string, a list of parts
// or null, and isn't decoded further.
type inputMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// routerFields are the fields that this service sets itself in each request to
// an engine, so they aren't passed on with the caller's other fields. prior is the
// part of the answer that another engine generated before the run resumed at this
// one.
var routerFields = []string{"model", "messages", "max_tokens", "max_completion_tokens", "n", "stream", "stream_options", "prior"}

// decodedFields are the fields that chatRequest decodes.
var decodedFields = append([]string{"temperature", "top_p", "presence_penalty", "frequency_penalty", "user"}, routerFields...)

// parseChatBody decodes and validates the body of a chat request. Unknown fields
// are passed on; a known field of the wrong type is an error that names it. The
// body is split into fields first, by exact name and with the last of duplicate
// fields, so that the values validated are the ones that the engine receives:
// encoding/json alone would match names regardless of case.
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

// decodeFields decodes the decodedFields among params into req.
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

// checkChat validates the decoded fields and sets req.maxTokens.
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

// isValidContent reports whether a message's content is a string, a list, null or
// absent.
func isValidContent(content json.RawMessage) bool {
	content = bytes.TrimSpace(content)
	return len(content) == 0 || content[0] == '"' || content[0] == '[' || string(content) == "null"
}

// maxPromptTokens returns an upper bound on the number of tokens of a prompt, which
// is reserved from the budget. A byte-level tokenizer yields at most one token per
// byte; in practice it yields one per two to four bytes. Tokens that an engine
// counts beyond the bound are not billed: a MinPromptBytesPerToken that is too
// large costs the operator, one that is too small reserves more than needed. The
// JSON syntax around each message is included in messages and accounts for the
// tokens of the chat template.
func (a *API) maxPromptTokens(messages []byte) int {
	return len(messages)/a.Limits.MinPromptBytesPerToken + 1
}
