// Package endpoint has the clients of the endpoints: model engines and plain
// services. Every answer is checked against the run and attempt that it is
// for; what does not match is dropped.
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"guavapier/internal/record"

	"github.com/rotisserie/eris"
)

// Errors of endpoints. Callers compare them with errors.Is.
var (
	// ErrRefused says that the endpoint refused the order; it did not run.
	ErrRefused = eris.New("endpoint: refused")
	// ErrLeaving is an ErrRefused of an endpoint that is leaving.
	ErrLeaving = eris.New("endpoint: leaving")
	// ErrLost says that the connection failed; the order may have run.
	ErrLost = eris.New("endpoint: connection lost")
	// ErrSilent says that nothing came within the progress deadline.
	ErrSilent = eris.New("endpoint: no progress")
	// ErrMismatch says that an answer was for another run or attempt.
	ErrMismatch = eris.New("endpoint: answer for another run")
)

// The headers between guavapier and its endpoints.
const (
	HeaderRun      = "X-Run-Id"
	HeaderAttempt  = "X-Attempt"
	HeaderFrom     = "X-Resume-From"
	HeaderPriority = "X-Priority"
	HeaderFence    = "X-Fencing-Token"
)

// Order asks an engine to run a request.
type Order struct {
	Run      record.RunID
	Attempt  int
	Priority int
	// From is the number of tokens that the caller already has: the engine
	// resumes the run, or goes on from Prior, after them.
	From int
	// Prior holds those tokens' text, for an engine that has no such run.
	Prior     string
	Model     string
	Messages  json.RawMessage
	MaxTokens int
}

// Token is one generated token. Index counts from 0 over the whole run.
type Token struct {
	Index int
	Text  string
}

// Usage counts tokens as the engine reports them.
type Usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Cached     int64 `json:"cached_tokens"`
}

// Stream is the running answer to an Order.
type Stream interface {
	// Next returns the next token; io.EOF after the closing event.
	Next() (Token, error)
	// Usage and Finish are valid after io.EOF.
	Usage() Usage
	Finish() string
	Close() error
}

// Engines starts, resumes and cancels runs on engines, addressed by base URL.
type Engines interface {
	Start(ctx context.Context, base string, order Order) (Stream, error)
	Cancel(ctx context.Context, base string, run record.RunID) error
}

// HTTPEngines is Engines over HTTP in the shape of OpenAI's chat completions.
type HTTPEngines struct {
	client *http.Client
}

var _ Engines = (*HTTPEngines)(nil)

// NewHTTPEngines returns an Engines client. transport carries the dialing.
func NewHTTPEngines(transport http.RoundTripper) *HTTPEngines {
	return &HTTPEngines{client: &http.Client{Transport: transport}}
}

type engineRequest struct {
	Model         string          `json:"model"`
	Messages      json.RawMessage `json:"messages"`
	MaxTokens     int             `json:"max_tokens"`
	Stream        bool            `json:"stream"`
	StreamOptions streamOptions   `json:"stream_options"`
	Prior         string          `json:"prior,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Start implements Engines.
func (h *HTTPEngines) Start(ctx context.Context, base string, order Order) (Stream, error) {
	body, err := json.Marshal(engineRequest{
		Model: order.Model, Messages: order.Messages, MaxTokens: order.MaxTokens,
		Stream: true, StreamOptions: streamOptions{IncludeUsage: true}, Prior: order.Prior,
	})
	if err != nil {
		return nil, eris.Wrap(err, "endpoint: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "endpoint: build request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRun, string(order.Run))
	req.Header.Set(HeaderAttempt, strconv.Itoa(order.Attempt))
	req.Header.Set(HeaderFrom, strconv.Itoa(order.From))
	req.Header.Set(HeaderPriority, strconv.Itoa(order.Priority))
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, eris.Wrap(errors.Join(ErrLost, err), "endpoint: start")
	}
	if err := checkStart(resp, order); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return &sseStream{body: resp.Body, lines: bufio.NewReader(resp.Body), order: order, next: order.From}, nil
}

func checkStart(resp *http.Response, order Order) error {
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		return errors.Join(ErrRefused, ErrLeaving)
	case resp.StatusCode != http.StatusOK:
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
		return eris.Wrapf(ErrRefused, "endpoint: status %d: %s", resp.StatusCode, text)
	case resp.Header.Get(HeaderRun) != string(order.Run):
		return ErrMismatch
	case resp.Header.Get(HeaderAttempt) != strconv.Itoa(order.Attempt):
		return ErrMismatch
	}
	return nil
}

// Cancel implements Engines.
func (h *HTTPEngines) Cancel(ctx context.Context, base string, run record.RunID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, base+"/runs/"+string(run), nil)
	if err != nil {
		return eris.Wrap(err, "endpoint: build cancel")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return eris.Wrap(errors.Join(ErrLost, err), "endpoint: cancel")
	}
	return resp.Body.Close()
}

type sseStream struct {
	body   io.ReadCloser
	lines  *bufio.Reader
	order  Order
	next   int
	usage  Usage
	finish string
}

type engineChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

const (
	dataPrefix = "data: "
	doneEvent  = "[DONE]"
)

// Next implements Stream.
func (s *sseStream) Next() (Token, error) {
	for {
		line, err := s.lines.ReadString('\n')
		if err != nil {
			return Token{}, eris.Wrap(errors.Join(ErrLost, err), "endpoint: read stream")
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), dataPrefix)
		if !ok {
			continue
		}
		if data == doneEvent {
			return Token{}, io.EOF
		}
		token, ok, err := s.chunk(data)
		if err != nil || ok {
			return token, err
		}
	}
}

func (s *sseStream) chunk(data string) (Token, bool, error) {
	var c engineChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return Token{}, false, eris.Wrap(errors.Join(ErrLost, err), "endpoint: decode chunk")
	}
	if c.ID != string(s.order.Run) {
		return Token{}, false, ErrMismatch
	}
	if c.Usage != nil {
		s.usage = *c.Usage
	}
	if len(c.Choices) == 0 {
		return Token{}, false, nil
	}
	if c.Choices[0].FinishReason != nil {
		s.finish = *c.Choices[0].FinishReason
	}
	if c.Choices[0].Delta.Content == "" {
		return Token{}, false, nil
	}
	token := Token{Index: s.next, Text: c.Choices[0].Delta.Content}
	s.next++
	return token, true, nil
}

// Usage implements Stream.
func (s *sseStream) Usage() Usage { return s.usage }

// Finish implements Stream.
func (s *sseStream) Finish() string { return s.finish }

// Close implements Stream.
func (s *sseStream) Close() error { return s.body.Close() }
