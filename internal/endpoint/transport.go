package endpoint

import (
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

// maxResponseHeaderBytes bounds the head of an endpoint's answer.
const maxResponseHeaderBytes = 64 << 10

// newClient returns a client that makes one connection for each request, asks
// no proxy and follows no redirect: either could run an order twice.
func newClient(o Options) *http.Client {
	dialer := &net.Dialer{Timeout: o.ConnectTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:    dialer.DialContext,
			DialTLSContext: o.DialTLS,
			// No connection is kept for another request. DisableKeepAlives would
			// say so to the endpoint as well; a server that closes by itself
			// without having read the whole body resets the connection, and what
			// the client has not received of a long answer is lost.
			MaxIdleConnsPerHost:    -1,
			DisableCompression:     true,
			TLSHandshakeTimeout:    o.ConnectTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// nonReplayableBody is a body that net/http cannot read a second time, so that it
// cannot replay a request on a reused connection either, if one is ever used.
type nonReplayableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// setNonReplayableBody makes a request unrepeatable for net/http.
func setNonReplayableBody(req *http.Request, body io.Reader, length int64) {
	req.Body, req.GetBody, req.ContentLength = nonReplayableBody{body}, nil, length
}

// transportError returns what an error of the client means for the order.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(errors.Join(ErrRefused, ErrUnreachable, err), "endpoint: connect")
	}
	return eris.Wrap(errors.Join(ErrLost, err), "endpoint: send")
}

// statusError returns the error of an answer that is not 200 OK. Without the
// endpoint's own word the order may have run, whatever the status says.
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
