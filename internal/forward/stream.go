package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"guavapier/internal/placement"
	"guavapier/internal/spool"
	"guavapier/internal/upstream"
)

// maxEventBytes bounds one event of a stream, since an event is buffered until complete.
const maxEventBytes = 1 << 20

// errEventTooLarge is returned for a stream event larger than maxEventBytes.
var errEventTooLarge = errors.New("forward: stream event exceeds the maximum size")

// forwardStream passes a stream's events on to the caller as they arrive. Only complete
// events are sent, so that a stream that breaks off can be resumed after the last one. The
// result is final only if the endpoint's answer ended properly.
func (c *call) forwardStream(ctx context.Context, assignment *placement.Assignment, a *upstream.Answer) attemptResult {
	body, caller := c.startSpool(a)
	defer func() { c.endSpool(a, body, caller) }()
	events := bufio.NewReader(body)
	for {
		event, err := readEvent(events)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			result := c.finish(ctx, assignment, a)
			if result.final {
				c.sendHeader(a)
				c.flush()
			}
			return result
		}
		if err != nil {
			return attemptResult{reason: streamErrorReason(ctx), sent: true, err: err}
		}
		if !c.recordOrigin(ctx, assignment) {
			return attemptResult{reason: ReasonOriginUnknown, sent: true}
		}
		c.sendHeader(a)
		if !c.writeEvent(caller, event) {
			return attemptResult{reason: ReasonCallerDisconnected, sent: true}
		}
	}
}

// streamErrorReason returns why reading the endpoint's stream failed.
func streamErrorReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonTimeout
	}
	return ReasonAnswerFailed
}

// sendHeader sends the answer's status and header unless they have been sent: a stream that
// is resumed at another endpoint continues the first answer.
func (c *call) sendHeader(a *upstream.Answer) {
	if c.headerSent {
		return
	}
	c.headerSent = true
	c.timeToHeader = time.Since(c.start)
	copyHeader(c.w.Header(), a.Header)
	c.w.WriteHeader(a.Status)
}

// writeEvent sends one event without delay and reports whether the write succeeded.
func (c *call) writeEvent(caller *spool.Writer, event []byte) bool {
	c.phase = phaseCaller
	c.events++ // Charged even if the write fails: it may have arrived.
	err := caller.Watch(func() error {
		if _, err := c.w.Write(event); err != nil {
			return err
		}
		return http.NewResponseController(c.w).Flush()
	})
	if err != nil {
		return false
	}
	c.phase = phaseEndpoint
	if id := eventID(event); id != "" {
		c.lastEventID = id
	}
	return true
}

// flush sends what is buffered for the caller; errors are ignored.
func (c *call) flush() { _ = http.NewResponseController(c.w).Flush() }

// readEvent reads one event including the empty line that ends it. It returns io.EOF at the
// end of the stream, io.ErrUnexpectedEOF if the stream ends within an event, and
// errEventTooLarge for an event larger than maxEventBytes.
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

// isBlank reports whether a line holds nothing but its line break.
func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// eventID returns the value of an event's id field, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
