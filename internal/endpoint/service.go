package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Call is one HTTP request to a plain service. Path is appended to the base URL
// and may contain a query.
type Call struct {
	Run         record.RunID
	Attempt     int
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Answer is a plain service's complete response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Services is a client for plain services, addressed by base URL.
type Services interface {
	// Call returns the complete response. With ErrRefused the call did not run;
	// with any other error it may have run.
	Call(ctx context.Context, base string, call Call) (Answer, error)
}

// HTTPServices implements Services over HTTP. It is safe for concurrent use.
type HTTPServices struct {
	client *http.Client
	opts   Options
	counts *Counters
}

var _ Services = (*HTTPServices)(nil)

// NewHTTPServices returns a client that records failures in counts.
func NewHTTPServices(o Options, counts *Counters) *HTTPServices {
	return &HTTPServices{client: newClient(o), opts: o, counts: counts}
}

// Call implements Services. Only ctx bounds the time until the response is
// complete; its deadline causes ErrNoProgress.
func (h *HTTPServices) Call(ctx context.Context, base string, call Call) (Answer, error) {
	answer, err := h.call(ctx, base, call)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		err = errors.Join(ErrNoProgress, err)
	}
	h.counts.countError(err)
	return answer, err
}

func (h *HTTPServices) call(ctx context.Context, base string, call Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, base+call.Path, nil)
	if err != nil {
		return Answer{}, eris.Wrap(errors.Join(ErrRefused, ErrRejected, err), "endpoint: build service call")
	}
	setNonReplayableBody(req, bytes.NewReader(call.Body), int64(len(call.Body)))
	req.Header.Set("Content-Type", call.ContentType)
	req.Header.Set(HeaderRunID, string(call.Run))
	req.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	resp, err := h.client.Do(req)
	if err != nil {
		return Answer{}, transportError(err)
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderNotRun) == "true" {
		return Answer{}, statusError(resp)
	}
	if err := checkIdentity(resp, call.Run, call.Attempt, h.counts); err != nil {
		return Answer{}, err
	}
	return h.readAnswer(resp)
}

func (h *HTTPServices) readAnswer(resp *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, h.opts.MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, eris.Wrap(errors.Join(ErrLost, err), "endpoint: read response body")
	}
	if int64(len(body)) > h.opts.MaxAnswerBytes {
		return Answer{}, eris.Wrap(ErrLost, "endpoint: response body exceeds the size limit")
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
