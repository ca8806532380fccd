package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// responseReader accumulates and checks the answer to one request over all its
// attempts.
type responseReader struct {
	request     Request
	class       ClassSpec
	standIn     bool
	startedAt   time.Time     // Of the first attempt.
	firstToken  time.Duration // Since startedAt; 0 before the first token.
	text        strings.Builder
	lastEventID string // Where the next attempt resumes.
	runID       string // The ID in the first event; each later event must have it.
}

func newResponseReader(r Request, class ClassSpec, standIn bool) *responseReader {
	return &responseReader{request: r, class: class, standIn: standIn, startedAt: time.Now()}
}

// read reads the body of one attempt. The outcome is partial if it is incomplete.
func (a *responseReader) read(body io.Reader) outcome {
	switch a.class.Kind {
	case KindStream:
		return a.readStream(body)
	case KindWhole:
		return a.readCompletion(body)
	}
	return a.readCall(body)
}

// checkCompletion returns the outcome of a complete chat answer, whose text it
// checks if it comes from a stand-in.
func (a *responseReader) checkCompletion() outcome {
	if a.standIn {
		want := standInCompletion(a.request.Tokens)
		if got := a.text.String(); got != want {
			return outcome{kind: wrong, detail: fmt.Sprintf("%d bytes of text, want %d", len(got), len(want))}
		}
	}
	return a.answeredNow()
}

// answeredNow returns the outcome of an answer that ends now.
func (a *responseReader) answeredNow() outcome {
	total := time.Since(a.startedAt)
	if a.firstToken == 0 {
		a.firstToken = total
	}
	return outcome{kind: answered, firstToken: a.firstToken, total: total}
}

// standInCompletion returns the stand-in engine's answer of n tokens; see
// standin.TokenText.
func standInCompletion(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "w%d ", i)
	}
	return b.String()
}

// chatResponse is the part that is checked of a chat completion, or of one event
// of a streamed one.
type chatResponse struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// readStream reads server-sent events up to [DONE] or the first invalid one.
func (a *responseReader) readStream(body io.Reader) outcome {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			a.lastEventID = id
			continue
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return a.checkCompletion()
		}
		if o := a.applyEvent(data); o.kind != "" {
			return o
		}
	}
	return outcome{kind: partial, detail: fmt.Sprintf("stream ended without [DONE] after event %q", a.lastEventID)}
}

// applyEvent adds the data of one event to the answer. It returns the zero outcome
// unless the event ends the answer as partial or wrong.
func (a *responseReader) applyEvent(data string) outcome {
	var c chatResponse
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return outcome{kind: wrong, detail: err.Error()}
	}
	if c.Error != nil {
		return outcome{kind: partial, detail: string(c.Error)}
	}
	if a.runID == "" {
		a.runID = c.ID
	}
	if c.ID != a.runID {
		return outcome{kind: wrong, detail: "event belongs to run " + c.ID}
	}
	if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
		if a.firstToken == 0 {
			a.firstToken = time.Since(a.startedAt)
		}
		a.text.WriteString(c.Choices[0].Delta.Content)
	}
	return outcome{}
}

// readCompletion reads a chat completion that isn't streamed.
func (a *responseReader) readCompletion(body io.Reader) outcome {
	var c chatResponse
	if err := json.NewDecoder(body).Decode(&c); err != nil || len(c.Choices) == 0 {
		return outcome{kind: partial, detail: fmt.Sprintf("chat completion not decoded, or without choices: %v", err)}
	}
	a.text.Reset()
	a.text.WriteString(c.Choices[0].Message.Content)
	return a.checkCompletion()
}

// readCall reads the answer to a call. A stand-in's answer must have the call's
// path and size, and the call must have run once.
func (a *responseReader) readCall(responseBody io.Reader) outcome {
	text, err := io.ReadAll(responseBody)
	if err != nil {
		return outcome{kind: partial, detail: err.Error()}
	}
	if !a.standIn {
		return a.answeredNow()
	}
	var got struct {
		Path  string `json:"path"`
		Count int    `json:"count"`
		Bytes int    `json:"bytes"`
	}
	want := len(requestBody(a.request, a.class))
	if err := json.Unmarshal(text, &got); err != nil || got.Count != 1 || got.Bytes != want || !strings.HasSuffix(got.Path, a.class.Path) {
		return outcome{kind: wrong, detail: string(text)}
	}
	return a.answeredNow()
}
