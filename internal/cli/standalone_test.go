package cli

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"
)

// terminal collects what a command writes to both outputs. It is safe for concurrent use.
type terminal struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (w *terminal) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *terminal) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// A newcomer finds the commands to try at the end of the output: nothing is logged after
// them while nothing happens.
func TestTheExamplesOfAStandaloneRunComeLast(t *testing.T) {
	const lastExample, quiet = "budgets/sample/main", 2 * time.Second
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	output, ended := &terminal{}, make(chan error, 1)
	go func() { ended <- runStandalone(ctx, stdio{out: output, err: output}, "127.0.0.1:0", "127.0.0.1:0") }()
	for limit := time.Now().Add(30 * time.Second); !strings.Contains(output.String(), lastExample); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("no examples within 30 s:\n%s", output)
		}
	}
	time.Sleep(quiet)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if last := lines[len(lines)-1]; !strings.Contains(last, lastExample) {
		t.Errorf("the output ends with %q, want the last example", last)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
