package main

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// killedWork is the most that a request of the plain service works, by the sheet.
	killedWork = 110 * time.Millisecond
	// beforeKill is how long traffic flows before an engine is killed, and afterKill how long after.
	beforeKill, afterKill = 3 * time.Second, 3 * time.Second
)

// errNotBusy is returned if the engine that is to be killed gets no request.
var errNotBusy = errors.New("the engine that was to be killed got no request")

// playKilledEngine kills one of four engines with SIGKILL while it is in the middle of an answer that
// has no length. The rule MIXED is broken if a client gets a success whose body is not whole.
func playKilledEngine(f *fleet) (broken int, err error) {
	if err := f.setState(desiredState(route("lookups", "/interlock/", "safe", 2), route("once", "/setpoint/", "unsafe", 1))); err != nil {
		return 0, err
	}
	var isDue atomic.Bool
	inMiddle := make(chan struct{}, 1)
	f.onEngineLine = func(line string) {
		if _, isHalf := cutLine(line, "engine i-0: "+lineHalfSent); isHalf && isDue.CompareAndSwap(true, false) {
			inMiddle <- struct{}{}
		}
	}
	err = f.startSmall(func(int) []string { return []string{"-unframed", "-work", killedWork.String()} })
	if err != nil {
		return 0, err
	}
	var whole, cut atomic.Int64
	wait := f.startTraffic(beforeKill+afterKill, func(c *client) {
		method, path := http.MethodGet, "/interlock/table"
		if c.isOdd() {
			method, path = http.MethodPost, "/setpoint/table"
		}
		id := c.nextID()
		f.countSuccess(id, c.send(method, path, id, ""), &whole, &cut)
	})
	time.Sleep(beforeKill)
	if hasTrouble() {
		isDue.Store(true)
		select {
		case <-inMiddle:
			f.killEngine(f.engines[0])
		case <-time.After(afterKill):
			return 0, errNotBusy
		}
	}
	wait()
	f.record("%d whole successes, %d successes with a part of the body", whole.Load(), cut.Load())
	if whole.Load() == 0 {
		return 0, errNothingServed
	}
	return int(cut.Load()), nil
}

// countSuccess counts an answer that is a whole success, or one that looks complete with only a part of
// the engine's body.
func (f *fleet) countSuccess(id string, a answer, whole, cut *atomic.Int64) {
	switch {
	case a.err != nil || a.status != http.StatusOK:
	case a.body == answerBody(id, bodyBytes):
		whole.Add(1)
	default:
		cut.Add(1)
		f.record("MIXED: the body of the success for %s is %d of the %d bytes of the engine's body, and looks complete", id, len(a.body), bodyBytes)
	}
}
