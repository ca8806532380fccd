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

// outcomeKind is what became of one request.
type outcomeKind string

const (
	answered outcomeKind = "answered"
	notRun   outcomeKind = "not run"
	unknown  outcomeKind = "unknown"
	partial  outcomeKind = "partial"
	wrong    outcomeKind = "wrong"
)

// outcome is one request's, over all its attempts.
type outcome struct {
	kind         outcomeKind
	note         string
	first, whole time.Duration
}

const (
	maxAttempts  = 5
	maxAnswer    = 64 << 20
	answerWithin = 10 * time.Minute
	betweenTries = 50 * time.Millisecond
)

// player sends requests. It is safe for concurrent use.
type player struct {
	opts     Options
	client   *http.Client
	sessions map[string]string // Tokens by name; written before the replay.
}

func newPlayer(o Options) *player {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &player{opts: o, client: &http.Client{Transport: transport, Timeout: answerWithin}, sessions: map[string]string{}}
}

func (p *player) close() { p.client.CloseIdleConnections() }

func (p *player) openSessions(ctx context.Context, t Trace) error {
	if p.opts.Direct {
		return nil
	}
	for _, r := range t.Requests {
		if _, ok := p.sessions[r.Session]; ok || r.Session == "" {
			continue
		}
		token, err := p.openSession(ctx)
		if err != nil {
			return err
		}
		p.sessions[r.Session] = token
	}
	return nil
}

func (p *player) openSession(ctx context.Context) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.opts.Targets[0]+"/v1/sessions", nil)
	if err != nil {
		return "", eris.Wrap(err, "load: open session")
	}
	req.Header.Set("Authorization", "Bearer "+p.opts.Key)
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

// send sends a request, a second time at another target if the trace says so,
// and compares the two.
func (p *player) send(ctx context.Context, n int, r Request, class ClassSpec) outcome {
	if r.AgainMs == 0 || p.opts.Direct {
		return p.attempts(ctx, n, r, class)
	}
	again := make(chan outcome, 1)
	go func() {
		sleepUntil(ctx, time.Now().Add(time.Duration(r.AgainMs)*time.Millisecond))
		again <- p.attempts(ctx, n+1, r, class)
	}()
	first, second := p.attempts(ctx, n, r, class), <-again
	if first.kind == answered && second.kind == wrong {
		return second
	}
	return first
}

// attempts tries until the request has a final outcome.
func (p *player) attempts(ctx context.Context, n int, r Request, class ClassSpec) outcome {
	a := newAnswer(r, class, p.opts.StandIn)
	var last outcome
	for try := range maxAttempts {
		var wait time.Duration
		last, wait = p.attempt(ctx, p.opts.Targets[(n+try)%len(p.opts.Targets)], r, class, a)
		final := last.kind == answered || last.kind == wrong || wait < 0
		if final || !sleepUntil(ctx, time.Now().Add(wait)) {
			break
		}
	}
	return last
}

// attempt sends the request once. wait is when to try again, negative for never.
func (p *player) attempt(ctx context.Context, target string, r Request, class ClassSpec, a *answer) (o outcome, wait time.Duration) {
	req, err := p.request(ctx, target, r, class, a)
	if err != nil {
		return outcome{kind: notRun, note: err.Error()}, -1
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return outcome{kind: unknown, note: err.Error()}, betweenTries
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	o = a.read(io.LimitReader(resp.Body, maxAnswer))
	if o.kind == partial {
		return o, betweenTries
	}
	return o, -1
}

func (p *player) request(ctx context.Context, target string, r Request, class ClassSpec, a *answer) (*http.Request, error) {
	path := "/v1/chat/completions"
	if class.Kind == KindCall {
		path = "/v1/services/" + class.Service + class.Path
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target+path, bytes.NewReader(body(r, class)))
	if err != nil {
		return nil, eris.Wrap(err, "load: build request")
	}
	req.Header.Set("Content-Type", "application/json")
	if p.opts.Direct {
		req.Header.Set("X-Run-Id", r.ID)
		req.Header.Set("X-Attempt", "1")
		return req, nil
	}
	req.Header.Set("Authorization", "Bearer "+p.opts.Key)
	req.Header.Set("Idempotency-Key", r.ID)
	if token := p.sessions[r.Session]; token != "" {
		req.Header.Set("X-Session", token)
	}
	if class.Priority > 0 {
		req.Header.Set("X-Priority", strconv.Itoa(class.Priority))
	}
	if a.last != "" {
		req.Header.Set("Last-Event-ID", a.last)
	}
	return req, nil
}

// body is the same in all attempts. The session's name comes first, so that
// the prompts of a session share a prefix.
func body(r Request, class ClassSpec) []byte {
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

func refused(resp *http.Response) (outcome, time.Duration) {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &body)
	o := outcome{kind: unknown, note: fmt.Sprintf("status %d, %s", resp.StatusCode, body.Error.Code)}
	if body.Error.Outcome == "not_run" {
		o.kind = notRun
	}
	// Coming back under the same key is safe after every outcome.
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return o, -1
	}
	return o, time.Duration(seconds) * time.Second
}
