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

	"guavapier/internal/record"
)

// Client is the HTTP client of the platform's log and instance list.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration

	cacheMu    sync.Mutex // Guards the last list and its entity tag.
	cachedETag string
	cachedList MemberList
}

// errNotModified says that what a conditional request asks for has not changed.
var errNotModified = eris.New("logstore: not modified")

// NewClient returns a client of the platform at base (http://ip:port). Each
// call ends after timeout at the latest, a long poll after its wait more.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: base, http: &http.Client{}, timeout: timeout}
}

// SetTLSDialer makes the client dial https addresses by dial.
func (c *Client) SetTLSDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.http.Transport = &http.Transport{DialTLSContext: dial}
}

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

// List implements Directory. It asks for the list only if it has changed since
// the last answer: a large fleet's list is read far more often than it changes.
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

// loadCachedList returns the last list and its entity tag, learn replaces them.
func (c *Client) loadCachedList() (string, MemberList) {
	c.cacheMu.Lock()
	defer c.cacheMu.Unlock()
	return c.cachedETag, c.cachedList
}

func (c *Client) storeCachedList(etag string, list MemberList) {
	c.cacheMu.Lock()
	defer c.cacheMu.Unlock()
	c.cachedETag, c.cachedList = etag, list
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	_, err := c.roundTrip(ctx, method, path, body, nil, out)
	return err
}

// roundTrip does one request and decodes its answer into out. It returns the
// answer's header.
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
		// A connection that failed once may be silent for good: none of the
		// idle ones is trusted, the next call dials anew.
		c.http.CloseIdleConnections()
		return nil, eris.Wrap(errors.Join(ErrUnavailable, err), "logstore: call")
	}
	defer resp.Body.Close()
	if err := statusError(resp); err != nil {
		if errors.Is(err, ErrTrimmed) && out != nil {
			// The answer still names the first offset kept.
			_ = json.NewDecoder(resp.Body).Decode(out)
		}
		return nil, err
	}
	if out == nil {
		return resp.Header, nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return nil, eris.Wrap(errors.Join(ErrUnavailable, err), "logstore: decode answer")
	}
	return resp.Header, nil
}

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
		return eris.Wrapf(ErrUnavailable, "logstore: status %d: %s", resp.StatusCode, text)
	}
}
