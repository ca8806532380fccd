package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// answer collects one request's answer over its attempts.
type answer struct {
	request Request
	class   ClassSpec
	standIn bool
	began   time.Time
	first   time.Duration
	text    strings.Builder
	last    string // The last event's id.
	run     string
}

func newAnswer(r Request, class ClassSpec, standIn bool) *answer {
	return &answer{request: r, class: class, standIn: standIn, began: time.Now()}
}

func (a *answer) read(body io.Reader) outcome {
	switch a.class.Kind {
	case KindStream:
		return a.readStream(body)
	case KindWhole:
		return a.readWhole(body)
	}
	return a.readCall(body)
}

// done returns the outcome of an answer that has come to its closing.
func (a *answer) done() outcome {
	if a.standIn {
		want := standInText(a.request.Tokens)
		if got := a.text.String(); got != want {
			return outcome{kind: wrong, note: fmt.Sprintf("%d bytes of text, want %d", len(got), len(want))}
		}
	}
	return a.timed()
}

func (a *answer) timed() outcome {
	whole := time.Since(a.began)
	if a.first == 0 {
		a.first = whole
	}
	return outcome{kind: answered, first: a.first, whole: whole}
}

// standInText is the stand-in engine's whole answer of n tokens.
func standInText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "w%d ", i)
	}
	return b.String()
}

type chunk struct {
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

func (a *answer) readStream(body io.Reader) outcome {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			a.last = id
			continue
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return a.done()
		}
		if o := a.take(data); o.kind != "" {
			return o
		}
	}
	return outcome{kind: partial, note: fmt.Sprintf("stream ended after %q", a.last)}
}

// take takes one event; its outcome is empty while the answer goes on.
func (a *answer) take(data string) outcome {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return outcome{kind: wrong, note: err.Error()}
	}
	if c.Error != nil {
		return outcome{kind: partial, note: string(c.Error)}
	}
	if a.run == "" {
		a.run = c.ID
	}
	if c.ID != a.run {
		return outcome{kind: wrong, note: "event of run " + c.ID}
	}
	if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
		if a.first == 0 {
			a.first = time.Since(a.began)
		}
		a.text.WriteString(c.Choices[0].Delta.Content)
	}
	return outcome{}
}

func (a *answer) readWhole(body io.Reader) outcome {
	var c chunk
	if err := json.NewDecoder(body).Decode(&c); err != nil || len(c.Choices) == 0 {
		return outcome{kind: partial, note: fmt.Sprintf("whole answer: %v", err)}
	}
	a.text.Reset()
	a.text.WriteString(c.Choices[0].Message.Content)
	return a.done()
}

func (a *answer) readCall(data io.Reader) outcome {
	text, err := io.ReadAll(data)
	if err != nil {
		return outcome{kind: partial, note: err.Error()}
	}
	if !a.standIn {
		return a.timed()
	}
	var got struct {
		Path  string `json:"path"`
		Count int    `json:"count"`
		Bytes int    `json:"bytes"`
	}
	want := len(body(a.request, a.class))
	if err := json.Unmarshal(text, &got); err != nil || got.Count != 1 || got.Bytes != want || !strings.HasSuffix(got.Path, a.class.Path) {
		return outcome{kind: wrong, note: string(text)}
	}
	return a.timed()
}
