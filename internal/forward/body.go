package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"guavapier/internal/upload"
)

const (
	// defaultMaxBodyBytes bounds a request body if the desired state sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// memoryRetryAfter applies when the memory for bodies is used up; a body takes about a
	// second to arrive and be answered. memoryRetryJitter keeps callers apart.
	memoryRetryAfter, memoryRetryJitter = time.Second, 500 * time.Millisecond
	// discardTime bounds the reading of the body of a request that is refused before it is read.
	// The connection can be used again only if that ends.
	discardTime = 250 * time.Millisecond
	// maxDiscardBytes is the largest body that is read for that.
	maxDiscardBytes = 64 << 10
	// unknownDiscardTime and maxUnknownDiscardBytes are the same for a body of unknown length: a
	// short one has arrived with its header.
	unknownDiscardTime, maxUnknownDiscardBytes = 50 * time.Millisecond, 16 << 10
)

// readBody reads the whole body before the request is sent, so that an attempt can be
// retried and no endpoint receives an incomplete request. Its caller may take until the
// request's deadline.
func (c *call) readBody(r *http.Request) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	limit := c.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	c.phase = phaseBody
	connection := http.NewResponseController(c.w)
	_ = connection.SetReadDeadline(c.deadline) // Fails only if the connection is closed, as the read does then.
	c.upload = c.f.Uploads.Begin(c.bodyOwner(r), func() { _ = connection.SetReadDeadline(time.Unix(1, 0)) })
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	body, err := c.upload.Receive(ctx, r.Body, r.ContentLength, min(limit, c.f.Uploads.Max()))
	if err != nil {
		return c.refuseBody(err)
	}
	// The server reads on from here to notice if the caller disconnects.
	_ = connection.SetReadDeadline(time.Time{})
	c.body = body
	return nil
}

// bodyOwner returns on whose account the body is held: the organisation's, else the caller's
// address.
func (c *call) bodyOwner(r *http.Request) string {
	if team := c.team(); team != "" {
		return "organisation " + string(team)
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return host
}

// refuseBody returns the refusal of a request whose body was not received.
func (c *call) refuseBody(err error) *refusal {
	switch {
	case errors.Is(err, upload.ErrTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooLarge}
	case errors.Is(err, upload.ErrNoRoom), errors.Is(err, upload.ErrEvicted):
		return notRun(ReasonNoMemory, memoryRetryAfter+rand.N(memoryRetryJitter))
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, reason: ReasonBodyTimeout}
	}
	return &refusal{status: http.StatusBadRequest, reason: ReasonBodyIncomplete}
}

// releaseBody gives the memory of the body back.
func (c *call) releaseBody() {
	if c.upload != nil {
		c.upload.End()
	}
}

// limitRest bounds what is read of the rest of the body of a request that is refused: the server
// reads it before it uses the connection again.
func (c *call) limitRest(r *http.Request) {
	if r.ContentLength == 0 || c.body != nil {
		return
	}
	connection := http.NewResponseController(c.w)
	if r.ContentLength < 0 && c.upload == nil {
		_ = connection.SetReadDeadline(time.Now().Add(unknownDiscardTime))
		if _, err := io.CopyN(io.Discard, r.Body, maxUnknownDiscardBytes); errors.Is(err, io.EOF) {
			return
		}
	}
	until := time.Now().Add(discardTime)
	if c.upload != nil || r.ContentLength < 0 || r.ContentLength > maxDiscardBytes {
		c.w.Header().Set("Connection", "close")
		until = time.Unix(1, 0)
	}
	_ = connection.SetReadDeadline(until) // Fails only if the connection is closed.
}
