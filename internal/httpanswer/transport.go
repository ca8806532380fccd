package httpanswer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"

	"guavapier/internal/dial"
)

// transport is the http.RoundTripper that Strict returns.
type transport struct {
	*http.Transport
}

// Strict returns a transport that sends requests by t, over connections of its own, and refuses what is no whole answer:
// it fails with ErrMalformed for a malformed head, and reading a body without a length fails if the server has ended the
// connection before it has received the request. TLS tells the latter by itself. Of a request whose length is not stated
// only the head is waited for.
func Strict(t *http.Transport) http.RoundTripper {
	next := t.DialContext
	if next == nil {
		next = new(net.Dialer).DialContext
	}
	t.DialContext = confirmEnds(next)
	return transport{t}
}

// confirmEnds returns a dial function whose connections are *conn.
func confirmEnds(next dial.Func) dial.Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.beginRequest(r.ContentLength)
		}
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := errors.Join(CheckStatus(resp.StatusCode), checkNames(resp.Header)); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
