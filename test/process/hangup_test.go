package process_test

import (
	"syscall"
	"testing"
	"time"
)

// A hangup ended an instance of the built-in platform at once, with callers'
// requests under way and without a drain.
func TestAHangupEndsNoInstance(t *testing.T) {
	f := startFleet(t, 1, 1)
	in := f.instances[0]
	in.signal(syscall.SIGHUP)
	select {
	case <-in.exited:
		t.Fatalf("%v", in.cmd.ProcessState)
	case <-time.After(200 * time.Millisecond):
	}
	if got := f.streamChat(in, 10, nil); !got.complete {
		t.Errorf("%d tokens, error %q", len(got.tokenTimes), got.err)
	}
}
