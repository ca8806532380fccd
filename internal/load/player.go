package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// outcomeKind classifies the outcome of a request. The last two are faults of the
// instances: partial is an incomplete answer, wrong an answer with content that
// the request can't have, or one that shows that a call was executed more than once.
type outcomeKind string

const (
	answered outcomeKind = "answered"
	notRun   outcomeKind = "not run"
	unknown  outcomeKind = "unknown"
	partial  outcomeKind = "partial"
	wrong    outcomeKind = "wrong"
)

// outcome is the final outcome of a request after all attempts. detail explains
// outcomes other than answered, which alone has the times.
type outcome struct {
	kind              outcomeKind
	detail            string
	firstToken, total time.Duration // From the start of the first attempt.
}

const (
	maxAttempts      = 5
	maxResponseBytes = 64 << 20
	requestTimeout   = 10 * time.Minute      // For one attempt, its answer included.
	retryDelay       = 50 * time.Millisecond // After a failed connection or partial answer.
)

// replayer sends the requests of a trace. After openSessions it is safe for
// concurrent use.
type replayer struct {
	opts          Options
	client        *http.Client
	sessionTokens map[string]string // By the session's name in the trace.
}

func newReplayer(o Options) *replayer {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &replayer{opts: o, client: &http.Client{Transport: transport, Timeout: requestTimeout}, sessionTokens: map[string]string{}}
}

func (p *replayer) close() { p.client.CloseIdleConnections() }

// openSessions opens a session for each session name of the trace.
func (p *replayer) openSessions(ctx context.Context, t Trace) error {
	if p.opts.Direct {
		return nil
	}
	for _, r := range t.Requests {
		if _, ok := p.sessionTokens[r.Session]; ok || r.Session == "" {
			continue
		}
		token, err := p.openSession(ctx)
		if err != nil {
			return err
		}
		p.sessionTokens[r.Session] = token
	}
	return nil
}

// openSession opens a session and returns its token.
func (p *replayer) openSession(ctx context.Context) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.opts.Targets[0]+"/v1/sessions", nil)
	if err != nil {
		return "", eris.Wrap(err, "load: open session")
	}
	req.Header.Set("Authorization", "Bearer "+p.opts.APIKey)
	resp, err := p.client.Do(req)
	if err != nil {
		return "", eris.Wrap(err, "load: open session")
	}
	defer resp.Body.Close()
	var opened struct {
		Token string `json:"token"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&opened); err != nil || resp.StatusCode != http.StatusCreated {
		return "", eris.Errorf("load: open session: status %d", resp.StatusCode)
	}
	return opened.Token, nil
}

// sendWithDuplicate sends a request, and a duplicate to the next target if the
// request has DuplicateAfterMs. It returns the first one's outcome, or the
// duplicate's if the first one was answered and the duplicate is wrong, such as
// for a call that ran twice.
func (p *replayer) sendWithDuplicate(ctx context.Context, index int, r Request, class ClassSpec) outcome {
	if r.DuplicateAfterMs == 0 || p.opts.Direct {
		return p.sendWithRetries(ctx, index, r, class)
	}
	duplicate := make(chan outcome, 1)
	go func() {
		sleepUntil(ctx, time.Now().Add(time.Duration(r.DuplicateAfterMs)*time.Millisecond))
		duplicate <- p.sendWithRetries(ctx, index+1, r, class)
	}()
	first, second := p.sendWithRetries(ctx, index, r, class), <-duplicate
	if first.kind == answered && second.kind == wrong {
		return second
	}
	return first
}

// sendWithRetries sends a request up to maxAttempts times, to the targets in
// rotation, until its outcome is final, and returns the last outcome.
func (p *replayer) sendWithRetries(ctx context.Context, firstTarget int, r Request, class ClassSpec) outcome {
	a := newResponseReader(r, class, p.opts.StandIn)
	var last outcome
	for try := range maxAttempts {
		var wait time.Duration
		last, wait = p.sendOnce(ctx, p.opts.Targets[(firstTarget+try)%len(p.opts.Targets)], r, class, a)
		final := last.kind == answered || last.kind == wrong || wait < 0
		if final || !sleepUntil(ctx, time.Now().Add(wait)) {
			break
		}
	}
	return last
}

// sendOnce makes one attempt. wait is the delay before the next attempt; negative
// means that there must be none.
func (p *replayer) sendOnce(ctx context.Context, target string, r Request, class ClassSpec, a *responseReader) (o outcome, wait time.Duration) {
	req, err := p.newRequest(ctx, target, r, class, a)
	if err != nil {
		return outcome{kind: notRun, detail: err.Error()}, -1
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return outcome{kind: unknown, detail: err.Error()}, retryDelay
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	o = a.read(io.LimitReader(resp.Body, maxResponseBytes))
	if o.kind == partial {
		return o, retryDelay
	}
	return o, -1
}

// newRequest builds an attempt. It resumes a stream after the last event that
// earlier attempts received, except with Options.Direct.
func (p *replayer) newRequest(ctx context.Context, target string, r Request, class ClassSpec, a *responseReader) (*http.Request, error) {
	path := "/v1/chat/completions"
	if class.Kind == KindCall {
		path = "/v1/services/" + class.Service + class.Path
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target+path, bytes.NewReader(requestBody(r, class)))
	if err != nil {
		return nil, eris.Wrap(err, "load: build request")
	}
	req.Header.Set("Content-Type", "application/json")
	if p.opts.Direct {
		req.Header.Set("X-Run-Id", r.ID)
		req.Header.Set("X-Attempt", "1")
		return req, nil
	}
	req.Header.Set("Authorization", "Bearer "+p.opts.APIKey)
	req.Header.Set("Idempotency-Key", r.ID)
	if token := p.sessionTokens[r.Session]; token != "" {
		req.Header.Set("X-Session", token)
	}
	if class.Priority > 0 {
		req.Header.Set("X-Priority", strconv.Itoa(class.Priority))
	}
	if a.lastEventID != "" {
		req.Header.Set("Last-Event-ID", a.lastEventID)
	}
	return req, nil
}

// requestBody returns the body of a request, which is the same for each attempt.
// The text starts with the session's name, so that the prompts of a session share
// a prefix.
func requestBody(r Request, class ClassSpec) []byte {
	text := r.Session + ":" + strings.Repeat("x", r.Bytes) + ":" + r.ID
	if class.Kind == KindCall {
		return []byte(fmt.Sprintf("{%q:%q}", "text", text))
	}
	data, _ := json.Marshal(map[string]any{
		"model": "small", "max_tokens": r.Tokens, "stream": class.Kind == KindStream,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	return data
}

// readRefusal returns the outcome of an answer with a status other than 200, and
// the delay in Retry-After, or -1 without one.
func readRefusal(resp *http.Response) (outcome, time.Duration) {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &body)
	o := outcome{kind: unknown, detail: fmt.Sprintf("status %d, %s", resp.StatusCode, body.Error.Code)}
	if body.Error.Outcome == "not_run" {
		o.kind = notRun
	}
	// A retry with the same Idempotency-Key is safe after each outcome.
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return o, -1
	}
	return o, time.Duration(seconds) * time.Second
}
