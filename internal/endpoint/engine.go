package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// HTTPEngines implements Engines over HTTP with the format of OpenAI's chat
// completions API. It is safe for concurrent use.
type HTTPEngines struct {
	client *http.Client
	opts   Options
	counts *Counters
}

var _ Engines = (*HTTPEngines)(nil)

// NewHTTPEngines returns a client that records failures in counts.
func NewHTTPEngines(o Options, counts *Counters) *HTTPEngines {
	return &HTTPEngines{client: newClient(o), opts: o, counts: counts}
}

// Start implements Engines.
func (h *HTTPEngines) Start(ctx context.Context, base string, req RunRequest) (Stream, error) {
	ctx, idleWatchdog := startWatchdog(ctx, h.opts.IdleTimeout)
	stream, err := h.start(ctx, base, req, idleWatchdog)
	if err != nil {
		err = asNoProgress(ctx, err)
		idleWatchdog.stop()
		h.countError(err)
		return nil, err
	}
	return stream, nil
}

func (h *HTTPEngines) start(ctx context.Context, base string, runReq RunRequest, idleWatchdog *watchdog) (Stream, error) {
	req, err := newStartRequest(ctx, base, runReq)
	if err != nil {
		return nil, err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	idleWatchdog.reset()
	if err := h.checkStartResponse(resp, runReq); err != nil {
		resp.Body.Close()
		return nil, err
	}
	ms, _ := strconv.Atoi(resp.Header.Get(HeaderHeartbeat))
	idleWatchdog.limitToHeartbeats(time.Duration(ms) * time.Millisecond)
	return newSSEStream(ctx, resp.Body, runReq, idleWatchdog, h), nil
}

func requestBody(req RunRequest) map[string]any {
	body := map[string]any{}
	for name, value := range req.ExtraFields {
		body[name] = value
	}
	body["model"] = req.Model
	body["messages"] = req.Messages
	body["max_tokens"] = req.MaxTokens
	body["stream"] = true
	body["stream_options"] = map[string]bool{"include_usage": true}
	if req.PriorText != "" {
		body["prior"] = req.PriorText
	}
	return body
}

func newStartRequest(ctx context.Context, base string, runReq RunRequest) (*http.Request, error) {
	body, err := json.Marshal(requestBody(runReq))
	if err != nil {
		return nil, eris.Wrap(errors.Join(ErrRefused, ErrRejected, err), "endpoint: encode request body")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", nil)
	if err != nil {
		return nil, eris.Wrap(errors.Join(ErrRefused, err), "endpoint: build request")
	}
	setNonReplayableBody(req, bytes.NewReader(body), int64(len(body)))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRunID, string(runReq.Run))
	req.Header.Set(HeaderAttempt, strconv.Itoa(runReq.Attempt))
	req.Header.Set(HeaderResumeFrom, strconv.Itoa(runReq.ResumeFrom))
	req.Header.Set(HeaderPriority, strconv.Itoa(runReq.Priority))
	if runReq.ResumeOnly {
		req.Header.Set(HeaderResumeOnly, "true")
	}
	return req, nil
}

func (h *HTTPEngines) checkStartResponse(resp *http.Response, runReq RunRequest) error {
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	return checkIdentity(resp, runReq.Run, runReq.Attempt, h.counts)
}

// checkIdentity compares a response's run and attempt with those of its request.
// It returns ErrLost if the response has no run ID, else ErrMismatch if they
// differ.
func checkIdentity(resp *http.Response, run record.RunID, attempt int, counts *Counters) error {
	got := resp.Header.Get(HeaderRunID)
	if got == "" {
		return eris.Wrapf(ErrLost, "endpoint: status %d without an X-Run-Id header", resp.StatusCode)
	}
	if got != string(run) {
		counts.WrongRun.Add(1)
		return eris.Wrapf(ErrMismatch, "endpoint: response carries run ID %q", got)
	}
	if got := resp.Header.Get(HeaderAttempt); got != strconv.Itoa(attempt) {
		counts.StaleAttempt.Add(1)
		return eris.Wrapf(ErrMismatch, "endpoint: response carries attempt %q", got)
	}
	return nil
}

func (h *HTTPEngines) countError(err error) { h.counts.countError(err) }

// countError increments the counter for the class of a request's error. Responses for
// another run or attempt (ErrMismatch) and missing tokens (ErrGap) have counters of their
// own, which are incremented where they are detected.
func (c *Counters) countError(err error) {
	switch {
	case errors.Is(err, ErrNoProgress):
		c.NoProgress.Add(1)
	case errors.Is(err, ErrRefused):
		c.Refused.Add(1)
	case errors.Is(err, ErrLost):
		c.Lost.Add(1)
	}
}

// Cancel implements Engines.
func (h *HTTPEngines) Cancel(ctx context.Context, base string, run record.RunID, attempt int) error {
	status, err := h.doControl(ctx, http.MethodDelete, base+"/runs/"+string(run)+"?attempt="+strconv.Itoa(attempt), nil)
	if err == nil && status >= http.StatusBadRequest {
		err = eris.Wrapf(ErrLost, "endpoint: cancel: status %d", status)
	}
	return err
}

// State implements Engines.
func (h *HTTPEngines) State(ctx context.Context, base string, run record.RunID) (RunState, error) {
	var state RunState
	status, err := h.doControl(ctx, http.MethodGet, base+"/runs/"+string(run), &state)
	switch {
	case err != nil:
		return state, err
	case status == http.StatusNotFound:
		return state, errors.Join(ErrRefused, ErrRunNotFound)
	case status != http.StatusOK:
		return state, eris.Wrapf(ErrLost, "endpoint: state: status %d", status)
	}
	return state, nil
}

// Load is the load that an endpoint reports about itself. AgeMs is the age of
// the report in milliseconds.
type Load struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Leaving bool  `json:"leaving"`
	AgeMs   int64 `json:"age_ms"`
}

// Load returns the load report of an engine or a plain service.
func (h *HTTPEngines) Load(ctx context.Context, base string) (Load, error) {
	var load Load
	status, err := h.doControl(ctx, http.MethodGet, base+"/load", &load)
	if err == nil && status != http.StatusOK {
		err = eris.Wrapf(ErrLost, "endpoint: load: status %d", status)
	}
	return load, err
}

// maxControlResponseBytes bounds the body of a response to doControl.
const maxControlResponseBytes = 1 << 20

// doControl sends a request without a body, bounded by ControlTimeout. It decodes
// the JSON body of a 200 response into out, unless out is nil.
func (h *HTTPEngines) doControl(ctx context.Context, method, url string, out any) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.ControlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return 0, eris.Wrap(err, "endpoint: build request")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, transportError(err)
	}
	defer resp.Body.Close()
	if out == nil || resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	dec := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxControlResponseBytes))
	if err := dec.Decode(out); err != nil {
		return resp.StatusCode, eris.Wrap(errors.Join(ErrLost, err), "endpoint: decode control response")
	}
	return resp.StatusCode, nil
}
