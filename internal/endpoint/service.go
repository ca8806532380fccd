package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"guavapier/internal/record"

	"github.com/rotisserie/eris"
)

// Call is one call of a plain service.
type Call struct {
	Run         record.RunID
	Attempt     int
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Answer is a plain service's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Services calls plain services, addressed by base URL.
type Services interface {
	// Call returns the whole answer. ErrRefused says that the call did not
	// run; every other error leaves that open.
	Call(ctx context.Context, base string, call Call) (Answer, error)
}

// HTTPServices is Services over HTTP.
type HTTPServices struct {
	client    *http.Client
	maxAnswer int64
}

var _ Services = (*HTTPServices)(nil)

// NewHTTPServices returns a Services client whose answers are bounded.
func NewHTTPServices(transport http.RoundTripper, maxAnswer int64) *HTTPServices {
	return &HTTPServices{client: &http.Client{Transport: transport}, maxAnswer: maxAnswer}
}

// Call implements Services.
func (h *HTTPServices) Call(ctx context.Context, base string, call Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, eris.Wrap(errors.Join(ErrRefused, err), "endpoint: build call")
	}
	// GetBody would let net/http send the call a second time by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", call.ContentType)
	req.Header.Set(HeaderRun, string(call.Run))
	req.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	resp, err := h.client.Do(req)
	if err != nil {
		return Answer{}, eris.Wrap(errors.Join(ErrLost, err), "endpoint: call")
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderRun) != string(call.Run) {
		return Answer{}, ErrMismatch
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return Answer{}, errors.Join(ErrRefused, ErrLeaving)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, h.maxAnswer+1))
	if err != nil {
		return Answer{}, eris.Wrap(errors.Join(ErrLost, err), "endpoint: read answer")
	}
	if int64(len(body)) > h.maxAnswer {
		return Answer{}, eris.Wrap(ErrLost, "endpoint: answer too large")
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
