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

// blockedWriter is an output whose writes block until release is closed.
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

// Guards against an output that nobody reads: its logger must not block and must
// not use ever more memory. Dropped lines are counted, and a log line reports
// them once the output is read again.
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
		t.Errorf("the heap grew by %d bytes, want at most 8 MiB", growth)
	}
	close(out.release)
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(out.String(), "logging: lines dropped"); {
		if time.Now().After(deadline) {
			t.Fatal("no log line reports the dropped lines within 20 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if ring.Dropped() < 15_000 {
		t.Errorf("%d lines counted as dropped, want at least 15000 of 20000", ring.Dropped())
	}
	_ = ring.Close()
}

// Guards against a Close that waits without limit for an output that nobody reads:
// once the pipe and the ring are full, an instance that has shut down would not
// exit until it is killed.
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
			t.Error("no error although a line could not be written")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("CloseWithTimeout of 50 ms has not returned after 5 s")
	}
}

// An output that is slow but accepts lines within the timeout receives all of them:
// the last lines tell how a process ended.
func TestTheLastLinesAreWritten(t *testing.T) {
	const lines, delay = 20, 10 * time.Millisecond
	synctest.Test(t, func(t *testing.T) { // The fake clock only advances while all goroutines are blocked.
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
			t.Errorf("%d of %d lines written", got, lines)
		}
	})
}

// slowWriter is an output whose writes take delay each.
type slowWriter struct {
	delay time.Duration
	text  strings.Builder
}

func (s *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(s.delay)
	return s.text.Write(p)
}

// closeRecorder is an output that records whether it was closed.
type closeRecorder struct {
	bytes.Buffer
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

// The ring does not own its output: code that runs after the ring is closed still
// writes there.
func TestTheEndOfARingLeavesItsOutputOpen(t *testing.T) {
	var out closeRecorder
	if err := logging.NewRingWriter(&out, 16).CloseWithTimeout(time.Second); err != nil || out.closed {
		t.Errorf("error %v, output closed: %v; want no error and an open output", err, out.closed)
	}
}
