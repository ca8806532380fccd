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

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLarge says that an event is larger than maxEvent.
var errEventTooLarge = errors.New("forward: event too large")

// forwardStream passes a forwardStream's events on as they come, whole ones only: a forwardStream
// that breaks off can then be resumed behind the last one. It ends as complete
// only if the endpoint's answer did.
func (c *call) forwardStream(ctx context.Context, a *upstream.Answer) attemptResult {
	events := bufio.NewReader(a.Body)
	for {
		event, err := readEvent(events)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			c.sendHeader(a)
			c.flush()
			return finalResult(a.Status)
		}
		if err != nil {
			return attemptResult{reason: streamErrorReason(ctx), sent: true, err: err}
		}
		c.sendHeader(a)
		if !c.writeEvent(event) {
			return attemptResult{reason: ReasonCallerDisconnected, sent: true}
		}
	}
}

func streamErrorReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonTimeout
	}
	return ReasonAnswerFailed
}

// sendHeader sends the answer's head, once: a resumed stream keeps the first one.
func (c *call) sendHeader(a *upstream.Answer) {
	if c.headerSent {
		return
	}
	c.headerSent = true
	c.timeToHeader = time.Since(c.start)
	copyHeader(c.w.Header(), a.Header)
	c.w.WriteHeader(a.Status)
}

// writeEvent sends one event at once and says whether the caller still takes it.
func (c *call) writeEvent(event []byte) bool {
	c.phase = phaseCaller
	c.events++ // Charged even if the write fails: it may have arrived.
	if _, err := c.w.Write(event); err != nil {
		return false
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return false
	}
	c.phase = phaseEndpoint
	if id := eventID(event); id != "" {
		c.lastEventID = id
	}
	return true
}

func (c *call) flush() { _ = http.NewResponseController(c.w).Flush() }

// readEvent reads up to the empty line that ends an event. At the stream's end
// it returns io.EOF with whatever is left.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > maxEventBytes {
				return nil, errEventTooLarge
			}
			continue
		case err != nil:
			if errors.Is(err, io.EOF) && len(event) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return event, err
		}
		if len(event) > maxEventBytes {
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
