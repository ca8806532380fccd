package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// clientTimeLimit is the time limit of the rig controllers' requests.
const clientTimeLimit = 1500 * time.Millisecond

// answer is what a client got for one request.
type answer struct {
	status int // 0 if the connection ended without an answer.
	signed bool
	body   string
	err    error // Set if the answer is not complete.
}

// client sends requests one after the other on a kept connection to one router.
type client struct {
	f      *fleet
	router *router
	name   int
	count  int
	http   http.Client
}

func (f *fleet) newClient(name int, r *router) *client {
	return &client{f: f, router: r, name: name, http: http.Client{
		Timeout: clientTimeLimit, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1},
	}}
}

// nextID returns the identity of the client's next request.
func (c *client) nextID() string {
	c.count++
	return fmt.Sprintf("%06x%010x", c.name, c.count)
}

// setHeader sets the host and the header fields that each request has.
func (c *client) setHeader(r *http.Request, id string, timeLimit time.Duration) {
	r.Host = hostOfRoutes
	r.Header.Set("Request-Id", id)
	r.Header.Set("X-Api-Key", keyOfTenant)
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeLimit.Milliseconds()))
}

// send sends a request and reads the answer.
func (c *client) send(method, path, id, body string) answer {
	request, err := http.NewRequest(method, "http://"+c.router.front+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	c.setHeader(request, id, clientTimeLimit)
	c.f.record("client: sends %s %s %s to %s", method, path, id, c.router.name)
	resp, err := c.http.Do(request)
	if err != nil {
		c.f.record("client: no answer to %s: %v", id, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, signed: resp.Header.Get("Response-Signature") != "", body: string(data), err: err}
	c.f.record("client: gets %d for %s, signed: %t, Content-Length %q, %d bytes, error %v", a.status, id, a.signed, resp.Header.Get("Content-Length"), len(data), err)
	return a
}

// promisesNotRun reports whether the answer says that the request has not run and never will.
func (a answer) promisesNotRun() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
