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

// HTTPEngines is Engines over HTTP in the shape of OpenAI's chat completions.
// It is safe for concurrent use.
type HTTPEngines struct {
	client *http.Client
	opts   Options
	counts *Counts
}

var _ Engines = (*HTTPEngines)(nil)

// NewHTTPEngines returns an Engines client that counts into counts.
func NewHTTPEngines(o Options, counts *Counts) *HTTPEngines {
	return &HTTPEngines{client: newClient(o), opts: o, counts: counts}
}

// Start implements Engines.
func (h *HTTPEngines) Start(ctx context.Context, base string, order Order) (Stream, error) {
	ctx, dog := watch(ctx, h.opts.Silence)
	stream, err := h.start(ctx, base, order, dog)
	if err != nil {
		err = explain(ctx, err)
		dog.stop()
		h.count(err)
		return nil, err
	}
	return stream, nil
}

func (h *HTTPEngines) start(ctx context.Context, base string, order Order, dog *watchdog) (Stream, error) {
	req, err := startRequest(ctx, base, order)
	if err != nil {
		return nil, err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	dog.heard()
	if err := h.checkStart(resp, order); err != nil {
		resp.Body.Close()
		return nil, err
	}
	ms, _ := strconv.Atoi(resp.Header.Get(HeaderHeartbeat))
	dog.expect(time.Duration(ms) * time.Millisecond)
	return newSSEStream(ctx, resp.Body, order, dog, h), nil
}

func orderBody(order Order) map[string]any {
	body := map[string]any{}
	for name, value := range order.Params {
		body[name] = value
	}
	body["model"] = order.Model
	body["messages"] = order.Messages
	body["max_tokens"] = order.MaxTokens
	body["stream"] = true
	body["stream_options"] = map[string]bool{"include_usage": true}
	if order.Prior != "" {
		body["prior"] = order.Prior
	}
	return body
}

func startRequest(ctx context.Context, base string, order Order) (*http.Request, error) {
	body, err := json.Marshal(orderBody(order))
	if err != nil {
		return nil, eris.Wrap(errors.Join(ErrRefused, ErrRejected, err), "endpoint: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", nil)
	if err != nil {
		return nil, eris.Wrap(errors.Join(ErrRefused, err), "endpoint: build request")
	}
	once(req, bytes.NewReader(body), int64(len(body)))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRun, string(order.Run))
	req.Header.Set(HeaderAttempt, strconv.Itoa(order.Attempt))
	req.Header.Set(HeaderFrom, strconv.Itoa(order.From))
	req.Header.Set(HeaderPriority, strconv.Itoa(order.Priority))
	if order.ResumeOnly {
		req.Header.Set(HeaderOnly, "true")
	}
	return req, nil
}

func (h *HTTPEngines) checkStart(resp *http.Response, order Order) error {
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	return checkIdentity(resp, order.Run, order.Attempt, h.counts)
}

// checkIdentity compares an answer's run and attempt with those it is for.
func checkIdentity(resp *http.Response, run record.RunID, attempt int, counts *Counts) error {
	got := resp.Header.Get(HeaderRun)
	if got == "" {
		return eris.Wrapf(ErrLost, "endpoint: status %d without a run id", resp.StatusCode)
	}
	if got != string(run) {
		counts.Crossed.Add(1)
		return eris.Wrapf(ErrMismatch, "endpoint: run %q", got)
	}
	if got := resp.Header.Get(HeaderAttempt); got != strconv.Itoa(attempt) {
		counts.Late.Add(1)
		return eris.Wrapf(ErrMismatch, "endpoint: attempt %q", got)
	}
	return nil
}

func (h *HTTPEngines) count(err error) { h.counts.add(err) }

// add counts an error of one request.
func (c *Counts) add(err error) {
	switch {
	case errors.Is(err, ErrSilent):
		c.Silent.Add(1)
	case errors.Is(err, ErrRefused):
		c.Refused.Add(1)
	case errors.Is(err, ErrLost):
		c.Lost.Add(1)
	}
}

// Cancel implements Engines.
func (h *HTTPEngines) Cancel(ctx context.Context, base string, run record.RunID, attempt int) error {
	resp, err := h.control(ctx, http.MethodDelete, base+"/runs/"+string(run)+"?attempt="+strconv.Itoa(attempt), nil)
	if err == nil && resp >= http.StatusBadRequest {
		err = eris.Wrapf(ErrLost, "endpoint: cancel: status %d", resp)
	}
	return err
}

// State implements Engines.
func (h *HTTPEngines) State(ctx context.Context, base string, run record.RunID) (RunState, error) {
	var state RunState
	status, err := h.control(ctx, http.MethodGet, base+"/runs/"+string(run), &state)
	switch {
	case err != nil:
		return state, err
	case status == http.StatusNotFound:
		return state, errors.Join(ErrRefused, ErrNoRun)
	case status != http.StatusOK:
		return state, eris.Wrapf(ErrLost, "endpoint: state: status %d", status)
	}
	return state, nil
}

// Load is an endpoint's own, lagging word about its load.
type Load struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Leaving bool  `json:"leaving"`
	AgeMs   int64 `json:"age_ms"`
}

// Load asks an engine or a plain service for its load.
func (h *HTTPEngines) Load(ctx context.Context, base string) (Load, error) {
	var load Load
	status, err := h.control(ctx, http.MethodGet, base+"/load", &load)
	if err == nil && status != http.StatusOK {
		err = eris.Wrapf(ErrLost, "endpoint: load: status %d", status)
	}
	return load, err
}

const maxControlBytes = 1 << 20

// control makes a short call and decodes a 200 answer into out.
func (h *HTTPEngines) control(ctx context.Context, method, url string, out any) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.Control)
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
	dec := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxControlBytes))
	if err := dec.Decode(out); err != nil {
		return resp.StatusCode, eris.Wrap(errors.Join(ErrLost, err), "endpoint: decode")
	}
	return resp.StatusCode, nil
}
