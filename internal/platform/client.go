package platform

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
	"time"

	"guavapier/internal/record"

	"github.com/rotisserie/eris"
)

// Client is the HTTP client of the platform's log and instance list.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client of the platform at base (http://ip:port). Each
// call ends after timeout at the latest, a long poll after its wait more.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: base, http: &http.Client{}, timeout: timeout}
}

// Secure makes the client dial https addresses by dial.
func (c *Client) Secure(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.http.Transport = &http.Transport{DialTLSContext: dial}
}

type appended struct {
	Offset uint64 `json:"offset"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream record.Stream, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var got appended
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
		return eris.Wrap(err, "platform: encode instance")
	}
	return c.call(ctx, http.MethodPost, "/instances", body, nil)
}

// List implements Directory.
func (c *Client) List(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var list List
	err := c.call(ctx, http.MethodGet, "/instances", nil, &list)
	return list, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "platform: build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// A connection that failed once may be silent for good: none of the
		// idle ones is trusted, the next call dials anew.
		c.http.CloseIdleConnections()
		return eris.Wrap(errors.Join(ErrUnavailable, err), "platform: call")
	}
	defer resp.Body.Close()
	if err := statusError(resp); err != nil {
		if errors.Is(err, ErrTrimmed) && out != nil {
			// The answer still names the first offset kept.
			_ = json.NewDecoder(resp.Body).Decode(out)
		}
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return eris.Wrap(errors.Join(ErrUnavailable, err), "platform: decode answer")
	}
	return nil
}

func statusError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusGone:
		return ErrTrimmed
	default:
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
		return eris.Wrapf(ErrUnavailable, "platform: status %d: %s", resp.StatusCode, text)
	}
}
