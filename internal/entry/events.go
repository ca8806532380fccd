package entry

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// eventWriter writes a stream of server-sent events to one caller, with comments as
// heartbeats while there are no events. The status line is sent with the first event
// or comment, so a request that fails before can still be answered with an error
// status.
type eventWriter struct {
	control           *http.ResponseController
	writeTimeout      time.Duration
	heartbeatInterval time.Duration

	// mu guards the fields below, and writes to w.
	mu      sync.Mutex
	w       http.ResponseWriter
	timer   *time.Timer
	started bool
	ended   bool
	err     error // Of the first write that failed.
}

// newEventWriter returns a writer that starts to send heartbeats after one
// HeartbeatInterval. The caller must call end, or endIfNotStarted with the result
// true, before its handler returns.
func (a *API) newEventWriter(w http.ResponseWriter) *eventWriter {
	e := &eventWriter{w: w, control: http.NewResponseController(w), writeTimeout: a.Limits.WriteTimeout, heartbeatInterval: a.Limits.HeartbeatInterval}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timer = time.AfterFunc(e.heartbeatInterval, e.sendHeartbeat)
	return e
}

// send writes one event with v as JSON. An empty id writes an event without ID.
func (e *eventWriter) send(id string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if id != "" {
		id = "id: " + id + "\n"
	}
	return e.write(id + "data: " + string(data) + "\n\n")
}

// sendDone writes the event that marks a complete answer.
func (e *eventWriter) sendDone() { _ = e.write("data: [DONE]\n\n") }

// sendHeartbeat writes a comment, so that middleboxes and the caller don't take the
// connection for idle.
func (e *eventWriter) sendHeartbeat() { _ = e.write(": ping\n\n") }

// write sends text, preceded by the response header on the first call, and restarts
// the heartbeat interval. After end it does nothing; after a failed write it returns
// that write's error.
func (e *eventWriter) write(text string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended || e.err != nil {
		return e.err
	}
	if !e.started {
		e.started = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(e.writeTimeout))
	if _, e.err = e.w.Write([]byte(text)); e.err == nil {
		e.err = e.control.Flush()
	}
	e.timer.Reset(e.heartbeatInterval)
	return e.err
}

// end stops the heartbeats. Later writes have no effect.
func (e *eventWriter) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	e.timer.Stop()
	_ = e.control.SetWriteDeadline(time.Time{})
}

// endIfNotStarted ends the stream if nothing was written yet, and reports whether it
// did; if so, the response can still be given any status.
func (e *eventWriter) endIfNotStarted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.started {
		return false
	}
	e.ended = true
	e.timer.Stop()
	return true
}
