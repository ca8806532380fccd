package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// maxEventLineBytes bounds one line of an engine's event stream.
const maxEventLineBytes = 1 << 20

const (
	idPrefix        = "id:"
	dataPrefix      = "data:"
	doneEvent       = "[DONE]"
	finishCancelled = "cancelled"
)

// sseStream implements Stream over an engine's server-sent events. The ids of
// content events count from 1 over the run; each is accepted once, in order.
type sseStream struct {
	ctx          context.Context
	body         io.ReadCloser
	lines        *bufio.Scanner
	runReq       RunRequest
	idleWatchdog *watchdog
	client       *HTTPEngines

	nextIndex    int    // Index of the next token; equals the number of tokens before it.
	eventID      string // The id of the event being read; empty if it has none so far.
	usage        Usage
	finishReason string
}

func newSSEStream(ctx context.Context, body io.ReadCloser, runReq RunRequest, idleWatchdog *watchdog, client *HTTPEngines) *sseStream {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLineBytes)
	return &sseStream{ctx: ctx, body: body, lines: lines, runReq: runReq, idleWatchdog: idleWatchdog, client: client, nextIndex: runReq.ResumeFrom}
}

// engineChunk is the JSON data of one event.
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

// Next implements Stream.
func (s *sseStream) Next() (Token, error) {
	token, err := s.read()
	if err != nil && !errors.Is(err, io.EOF) {
		err = asNoProgress(s.ctx, err)
		s.client.countError(err)
	}
	return token, err
}

// read returns the next token, or io.EOF after the [DONE] event of a complete
// answer. Each line resets the watchdog, so comments count as progress.
func (s *sseStream) read() (Token, error) {
	for s.lines.Scan() {
		s.idleWatchdog.reset()
		line := s.lines.Text()
		if id, ok := strings.CutPrefix(line, idPrefix); ok {
			s.eventID = strings.TrimSpace(id)
			continue
		}
		data, ok := strings.CutPrefix(line, dataPrefix)
		if !ok {
			continue // A comment, a blank line or an unused field.
		}
		data = strings.TrimSpace(data)
		if data == doneEvent {
			return Token{}, s.checkComplete()
		}
		token, ok, err := s.parseEvent(data)
		if err != nil || ok {
			return token, err
		}
	}
	return Token{}, eris.Wrap(errors.Join(ErrLost, s.lines.Err()), "endpoint: stream ended without a [DONE] event")
}

// parseEvent processes the data of one event. ok reports whether it contained the
// next token.
func (s *sseStream) parseEvent(data string) (token Token, ok bool, err error) {
	id := s.eventID
	s.eventID = ""
	var c engineChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return Token{}, false, eris.Wrap(errors.Join(ErrLost, err), "endpoint: decode event")
	}
	if c.ID != string(s.runReq.Run) {
		s.client.counts.WrongRun.Add(1)
		return Token{}, false, eris.Wrapf(ErrMismatch, "endpoint: event carries run ID %q", c.ID)
	}
	if c.Usage != nil {
		s.usage = *c.Usage
	}
	if len(c.Choices) == 0 {
		return Token{}, false, nil
	}
	if c.Choices[0].FinishReason != nil {
		s.finishReason = *c.Choices[0].FinishReason
	}
	if c.Choices[0].Delta.Content == "" {
		return Token{}, false, nil
	}
	return s.acceptContent(id, c.Choices[0].Delta.Content)
}

// acceptContent checks the id of a content event. A repeated event is dropped. A
// gap is an error, since the missing tokens can only be read by resuming the run
// on another connection.
func (s *sseStream) acceptContent(id, text string) (token Token, ok bool, err error) {
	n, err := strconv.Atoi(id)
	switch {
	case err != nil:
		return Token{}, false, eris.Wrapf(ErrLost, "endpoint: invalid event id %q", id)
	case n <= s.nextIndex:
		s.client.counts.DuplicateEvents.Add(1)
		return Token{}, false, nil
	case n > s.nextIndex+1:
		s.client.counts.Gaps.Add(1)
		return Token{}, false, eris.Wrapf(errors.Join(ErrLost, ErrGap), "endpoint: event %d follows event %d", n, s.nextIndex)
	}
	s.nextIndex = n
	return Token{Index: n - 1, Text: text}, true, nil
}

// checkComplete checks, at the [DONE] event, that the answer was neither cancelled
// nor cut short. It returns io.EOF for a complete answer.
func (s *sseStream) checkComplete() error {
	switch {
	case s.finishReason == finishCancelled:
		return eris.Wrap(errors.Join(ErrLost, ErrCancelled), "endpoint: stream closed by a cancellation")
	case s.finishReason == "":
		return eris.Wrap(ErrLost, "endpoint: [DONE] event without a finish reason")
	case s.usage.AnswerTokens() != int64(s.nextIndex):
		s.client.counts.Gaps.Add(1)
		return eris.Wrapf(errors.Join(ErrLost, ErrGap), "endpoint: received %d of %d tokens", s.nextIndex, s.usage.AnswerTokens())
	}
	return io.EOF
}

// Usage implements Stream.
func (s *sseStream) Usage() Usage { return s.usage }

// Finish implements Stream.
func (s *sseStream) Finish() string { return s.finishReason }

// Close implements Stream. It closes the connection, which does not stop the run
// at the engine.
func (s *sseStream) Close() error {
	s.idleWatchdog.stop()
	return s.body.Close()
}
