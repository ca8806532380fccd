package logstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/httpanswer"
	"guavapier/internal/record"
)

// Client is the HTTP client of the platform's log and instance list. It implements Log and
// Directory and is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration

	cacheMu    sync.Mutex // Guards cachedETag and cachedList.
	cachedETag string
	cachedList MemberList
}

// errNotModified reports a 304 response to a conditional request.
var errNotModified = eris.New("logstore: not modified")

// NewClient returns a client of the platform at base, a URL without path such as
// http://ip:port. Each call is bounded by timeout, a long poll by timeout plus its wait.
func NewClient(base string, timeout time.Duration) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	return &Client{base: base, http: &http.Client{Transport: httpanswer.Strict(transport)}, timeout: timeout}
}

// SetTLSDialer makes the client use dial for https connections; dial returns a connection
// with TLS. It must be called before the first request.
func (c *Client) SetTLSDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.http.Transport = httpanswer.Strict(&http.Transport{DialTLSContext: dial})
}

// appendResponse is the body of the response to an append.
type appendResponse struct {
	Offset uint64 `json:"offset"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream record.Stream, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var got appendResponse
	err := c.call(ctx, http.MethodPost, "/log/"+url.PathEscape(string(stream)), data, &got)
	return got.Offset, err
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream record.Stream, from uint64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var page Page
	err := c.call(ctx, http.MethodGet, "/log/"+url.PathEscape(string(stream))+"?"+query.Encode(), nil, &page)
	return page, err
}

// Announce implements Directory.
func (c *Client) Announce(ctx context.Context, self Instance) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(self)
	if err != nil {
		return eris.Wrap(err, "logstore: encode instance")
	}
	return c.call(ctx, http.MethodPost, "/instances", body, nil)
}

// List implements Directory. It sends the entity tag of the last list, so that the platform
// sends the list only after a change: in a large fleet it is read far more often than it
// changes.
func (c *Client) List(ctx context.Context) (MemberList, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	etag, cached := c.loadCachedList()
	header := http.Header{}
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	var list MemberList
	respHeader, err := c.roundTrip(ctx, http.MethodGet, "/instances", nil, header, &list)
	switch {
	case errors.Is(err, errNotModified):
		return cached, nil
	case err != nil:
		return MemberList{}, err
	}
	c.storeCachedList(respHeader.Get("ETag"), list)
	return list, nil
}

// loadCachedList returns the last member list that was read and its entity tag, which is
// empty if none was read.
func (c *Client) loadCachedList() (string, MemberList) {
	c.cacheMu.Lock()
	defer c.cacheMu.Unlock()
	return c.cachedETag, c.cachedList
}

// storeCachedList replaces the cached member list and its entity tag.
func (c *Client) storeCachedList(etag string, list MemberList) {
	c.cacheMu.Lock()
	defer c.cacheMu.Unlock()
	c.cachedETag, c.cachedList = etag, list
}

// call is roundTrip without request or response header.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	_, err := c.roundTrip(ctx, method, path, body, nil, out)
	return err
}

// maxAnswerBytes bounds the body of an answer; a page of records has a few megabytes at most.
const maxAnswerBytes = 64 << 20

// roundTrip sends one request, decodes the JSON body of its response into out unless that is
// nil, and returns the response's header. The error of a failed call or of a status other than
// 200 is ErrUnavailable, ErrThrottled, ErrTrimmed or errNotModified, which may be wrapped. With
// ErrTrimmed out is decoded as well, if possible.
func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte, header http.Header, out any) (http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "logstore: build request")
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// The idle connections may be broken like this one, without an error to show it:
		// close them, so that the next call dials.
		c.http.CloseIdleConnections()
		return nil, eris.Wrap(errors.Join(ErrUnavailable, err), "logstore: send request")
	}
	defer resp.Body.Close()
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxAnswerBytes)
	if err := statusError(resp); err != nil {
		if errors.Is(err, ErrTrimmed) && out != nil {
			// The body holds the first offset still kept; see Page.First.
			_ = json.NewDecoder(resp.Body).Decode(out)
		}
		return nil, err
	}
	if out == nil {
		return resp.Header, nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return nil, eris.Wrap(errors.Join(ErrUnavailable, err), "logstore: decode response")
	}
	return resp.Header, nil
}

// statusError returns the error that a response's status stands for, nil for 200.
func statusError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotModified:
		return errNotModified
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusGone:
		return ErrTrimmed
	default:
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
		return eris.Wrapf(ErrUnavailable, "logstore: unexpected status %d: %s", resp.StatusCode, text)
	}
}
