package origin

import (
	"testing"
	"time"
)

func TestHistoryTellsTheOnlyVersion(t *testing.T) {
	const lifetime = 20 * time.Second
	h := NewHistory()
	h.Observe("s", "v1", 0)
	if _, ok := h.Only("s", lifetime, time.Minute); ok {
		t.Error("told before the whole list was read")
	}
	h.Start(0)
	h.Observe("s", "v1", 19*time.Second)
	if _, ok := h.Only("s", lifetime, 19*time.Second); ok {
		t.Error("told by a history that is shorter than a stream")
	}
	if v, ok := h.Only("s", lifetime, 20*time.Second); !ok || v != "v1" {
		t.Errorf("%q, %t; want v1", v, ok)
	}
	h.Observe("s", "v2", 21*time.Second)
	if v, ok := h.Only("s", lifetime, 21*time.Second); ok {
		t.Errorf("told %q of two", v)
	}
	h.Observe("s", "v2", 45*time.Second)
	if v, ok := h.Only("s", lifetime, 45*time.Second); !ok || v != "v2" {
		t.Errorf("%q, %t; want v2 once v1 is gone for as long as a stream lasts", v, ok)
	}
	if _, ok := h.Only("other", lifetime, 45*time.Second); ok {
		t.Error("told a version of a service without endpoints")
	}
}

func TestAGapInTheListStartsTheHistoryAgain(t *testing.T) {
	h := NewHistory()
	h.Start(0)
	h.Start(30 * time.Second)
	h.Observe("s", "v1", 40*time.Second)
	if _, ok := h.Only("s", 20*time.Second, 40*time.Second); ok {
		t.Error("told by a history with a gap")
	}
}

func TestHistoryForgetsWhatIsLongGone(t *testing.T) {
	h := NewHistory()
	h.Observe("s", "v1", 0)
	h.Start(0)
	h.Observe("s", "v2", 2*historyRetention)
	h.Sweep(2 * historyRetention)
	if len(h.lastSeen["s"]) != 1 {
		t.Errorf("%v, want v2 alone", h.lastSeen)
	}
	if v, ok := h.Only("s", 2*historyRetention, 2*historyRetention); ok {
		t.Errorf("told %q for longer than versions are remembered", v)
	}
}
