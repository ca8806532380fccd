package logging_test

import (
	"bytes"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/logging"
)

// blockedWriter is a reader of the output that takes nothing until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blockedWriter) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// A reader that stops must neither hold up requests nor make memory grow; what
// is lost is counted and told.
func TestAStoppedReaderBlocksNothing(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	ring := logging.NewRingWriter(out, 100)
	log := zerolog.New(ring)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range 20_000 {
		log.Info().Int("i", i).Str("text", strings.Repeat("x", 200)).Msg("logging: test")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if growth := int64(after.HeapInuse) - int64(before.HeapInuse); growth > 8<<20 {
		t.Errorf("the heap grew by %d bytes", growth)
	}
	close(out.release)
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(out.String(), "logging: lines dropped"); {
		if time.Now().After(deadline) {
			t.Fatal("dropped lines are not told")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if ring.Dropped() < 15_000 {
		t.Errorf("%d lines counted as dropped", ring.Dropped())
	}
	_ = ring.Close()
}

// What callers saw: nothing; by reading, a process whose output is full and not read
// is killed at its end. Order of events: the reader of the output stops; the pipe and
// the ring fill; the instance has ended, and Close waits for the reader. Cause: Close
// had no limit.
func TestAStoppedReaderHoldsUpNoEnd(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	t.Cleanup(func() { close(out.release) })
	ring := logging.NewRingWriter(out, 100)
	log := zerolog.New(ring)
	log.Info().Msg("logging: test")
	closed := make(chan error, 1)
	go func() { closed <- ring.CloseWithTimeout(50 * time.Millisecond) }()
	select {
	case err := <-closed:
		if err == nil {
			t.Error("lines are left, and Close says nothing")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("still waiting after 5 s")
	}
}

// What was written before the end is read whole by a reader that takes it, as slowly
// as the time that is left allows: the last lines tell how a process ended.
func TestTheLastLinesAreWritten(t *testing.T) {
	const lines, delay = 20, 10 * time.Millisecond
	synctest.Test(t, func(t *testing.T) { // Time stands still while anything runs.
		out := &slowWriter{delay: delay}
		ring := logging.NewRingWriter(out, 2*lines)
		log := zerolog.New(ring)
		for range lines {
			log.Info().Msg("logging: test")
		}
		if err := ring.CloseWithTimeout(2 * lines * delay); err != nil {
			t.Fatal(err)
		}
		if got := strings.Count(out.text.String(), "logging: test"); got != lines {
			t.Errorf("%d of %d lines", got, lines)
		}
	})
}

// slowWriter is a reader of the output that takes its time for each line.
type slowWriter struct {
	delay time.Duration
	text  strings.Builder
}

func (s *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(s.delay)
	return s.text.Write(p)
}

// closeRecorder is an output that notes whether it was closed.
type closeRecorder struct {
	bytes.Buffer
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

// The ring does not own its output: what ends after it still writes there.
func TestTheEndOfARingLeavesItsOutputOpen(t *testing.T) {
	var out closeRecorder
	if err := logging.NewRingWriter(&out, 16).CloseWithTimeout(time.Second); err != nil || out.closed {
		t.Errorf("%v, closed: %v", err, out.closed)
	}
}
