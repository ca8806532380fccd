package endpoint

import (
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"guavapier/internal/httpanswer"
)

// maxResponseHeaderBytes bounds the header of an endpoint's response.
const maxResponseHeaderBytes = 64 << 10

// newClient returns a client that opens one connection per request, uses no proxy
// and follows no redirects. A proxy or a redirect could run a request twice.
func newClient(o Options) *http.Client {
	dialer := &net.Dialer{Timeout: o.ConnectTimeout}
	return &http.Client{
		Transport: httpanswer.Strict(&http.Transport{
			DialContext:    dialer.DialContext,
			DialTLSContext: o.DialTLS,
			// Connections are not reused. DisableKeepAlives would do the same but
			// also send "Connection: close". A server that then closes the
			// connection without having read the whole request body resets it, and
			// the part of a long response still in transit is lost.
			MaxIdleConnsPerHost:    -1,
			DisableCompression:     true,
			TLSHandshakeTimeout:    o.ConnectTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// nonReplayableBody wraps a request body so that net/http can't rewind it and
// therefore can't replay the request, should a connection ever be reused.
type nonReplayableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// setNonReplayableBody sets a request's body, of the given length in bytes, so that
// net/http can't send the request a second time.
func setNonReplayableBody(req *http.Request, body io.Reader, length int64) {
	req.Body, req.GetBody, req.ContentLength = nonReplayableBody{body}, nil, length
}

// transportError classifies an error of the HTTP client. A request whose
// connection was not established did not run: ErrRefused and ErrUnreachable. Any
// other error is ErrLost.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(errors.Join(ErrRefused, ErrUnreachable, err), "endpoint: connect")
	}
	return eris.Wrap(errors.Join(ErrLost, err), "endpoint: send request or receive response header")
}

// statusError classifies a response that is not 200 OK or that has HeaderNotRun.
// Without HeaderNotRun the request may have run, whatever the status, and the
// error is ErrLost.
func statusError(resp *http.Response) error {
	const maxShownBytes = 256
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxShownBytes))
	if resp.Header.Get(HeaderNotRun) != "true" {
		return eris.Wrapf(ErrLost, "endpoint: status %d: %s", resp.StatusCode, text)
	}
	err := ErrRefused
	switch resp.StatusCode {
	case http.StatusServiceUnavailable:
		err = errors.Join(ErrRefused, ErrLeaving)
	case http.StatusNotFound:
		err = errors.Join(ErrRefused, ErrRunNotFound)
	case http.StatusConflict:
		err = errors.Join(ErrRefused, ErrCancelled)
	case http.StatusBadRequest:
		err = errors.Join(ErrRefused, ErrRejected)
	}
	return eris.Wrapf(err, "endpoint: status %d: %s", resp.StatusCode, text)
}
