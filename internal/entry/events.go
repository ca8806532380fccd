package entry

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// eventWriter writes server-sent events to one caller, and comments while there are
// none. Nothing is written before the first event or comment, so a refusal
// that comes soon can still have its status.
type eventWriter struct {
	control           *http.ResponseController
	writeTimeout      time.Duration
	heartbeatInterval time.Duration

	// mu guards the writer and everything below.
	mu      sync.Mutex
	w       http.ResponseWriter
	timer   *time.Timer
	started bool
	ended   bool
	err     error // The first write that failed.
}

func (a *API) newEventWriter(w http.ResponseWriter) *eventWriter {
	e := &eventWriter{w: w, control: http.NewResponseController(w), writeTimeout: a.Limits.WriteTimeout, heartbeatInterval: a.Limits.HeartbeatInterval}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timer = time.AfterFunc(e.heartbeatInterval, e.sendHeartbeat)
	return e
}

// send writes one event; id may be empty.
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

// sendDone writes the closing event.
func (e *eventWriter) sendDone() { _ = e.write("data: [DONE]\n\n") }

// sendHeartbeat keeps the connection from looking silent.
func (e *eventWriter) sendHeartbeat() { _ = e.write(": ping\n\n") }

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

// end stops the comments; nothing is written from then on.
func (e *eventWriter) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	e.timer.Stop()
	_ = e.control.SetWriteDeadline(time.Time{})
}

// endIfNotStarted ends the events if nothing was written, and says whether it did:
// then the status is still free.
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
