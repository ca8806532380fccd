package entry

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// events writes server-sent events to one caller, and comments while there are
// none. Nothing is written before the first event or comment, so a refusal
// that comes soon can still have its status.
type events struct {
	control   *http.ResponseController
	within    time.Duration
	heartbeat time.Duration

	// mu guards the writer and everything below.
	mu    sync.Mutex
	w     http.ResponseWriter
	timer *time.Timer
	begun bool
	done  bool
	err   error // The first write that failed.
}

func (c *Callers) newEvents(w http.ResponseWriter) *events {
	e := &events{w: w, control: http.NewResponseController(w), within: c.Limits.Write, heartbeat: c.Limits.Heartbeat}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timer = time.AfterFunc(e.heartbeat, e.comment)
	return e
}

// send writes one event; id may be empty.
func (e *events) send(id string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if id != "" {
		id = "id: " + id + "\n"
	}
	return e.write(id + "data: " + string(data) + "\n\n")
}

// closing writes the closing event.
func (e *events) closing() { _ = e.write("data: [DONE]\n\n") }

// comment keeps the connection from looking silent.
func (e *events) comment() { _ = e.write(": ping\n\n") }

func (e *events) write(text string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.done || e.err != nil {
		return e.err
	}
	if !e.begun {
		e.begun = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(e.within))
	if _, e.err = e.w.Write([]byte(text)); e.err == nil {
		e.err = e.control.Flush()
	}
	e.timer.Reset(e.heartbeat)
	return e.err
}

// end stops the comments; nothing is written from then on.
func (e *events) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done = true
	e.timer.Stop()
	_ = e.control.SetWriteDeadline(time.Time{})
}

// endUnbegun ends the events if nothing was written, and says whether it did:
// then the status is still free.
func (e *events) endUnbegun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.begun {
		return false
	}
	e.done = true
	e.timer.Stop()
	return true
}
