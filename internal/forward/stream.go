package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"guavapier/internal/upstream"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// errEventTooLarge says that an event is larger than maxEvent.
var errEventTooLarge = errors.New("forward: event too large")

// stream passes a stream's events on as they come, whole ones only: a stream
// that breaks off can then be resumed behind the last one. It ends as complete
// only if the endpoint's answer did.
func (c *call) stream(ctx context.Context, a *upstream.Answer) attemptResult {
	events := bufio.NewReader(a.Body)
	for {
		event, err := readEvent(events)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			c.open(a)
			c.finishStream()
			return done(a.Status)
		}
		if err != nil {
			return attemptResult{reason: brokenOff(ctx), sent: true, err: err}
		}
		c.open(a)
		if !c.pass(event) {
			return attemptResult{reason: ReasonCallerLeft, sent: true}
		}
	}
}

func brokenOff(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonTimeout
	}
	return ReasonBroken
}

// open sends the answer's head, once: a resumed stream keeps the first one.
func (c *call) open(a *upstream.Answer) {
	if c.opened {
		return
	}
	c.opened = true
	c.first = time.Since(c.began)
	copyHeader(c.w.Header(), a.Header)
	c.w.WriteHeader(a.Status)
}

// pass sends one event at once and says whether the caller still takes it.
func (c *call) pass(event []byte) bool {
	c.phase = phaseCaller
	c.pieces++ // Charged even if the write fails: it may have arrived.
	if _, err := c.w.Write(event); err != nil {
		return false
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return false
	}
	c.phase = phaseEndpoint
	if id := eventID(event); id != "" {
		c.lastID = id
	}
	return true
}

func (c *call) finishStream() { _ = http.NewResponseController(c.w).Flush() }

// readEvent reads up to the empty line that ends an event. At the stream's end
// it returns io.EOF with whatever is left.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > maxEvent {
				return nil, errEventTooLarge
			}
			continue
		case err != nil:
			if errors.Is(err, io.EOF) && len(event) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return event, err
		}
		if len(event) > maxEvent {
			return nil, errEventTooLarge
		}
		if isBlank(line) && len(event) > len(line) {
			return event, nil
		}
	}
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// eventID returns the identity that an event carries, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
