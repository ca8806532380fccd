package process_test

import (
	"syscall"
	"testing"
	"time"
)

// SIGHUP must not end an instance that runs on the built-in platform. Without a
// handler, the signal's default action killed the process at once, without a
// drain and with callers' requests in flight.
func TestAHangupEndsNoInstance(t *testing.T) {
	f := startFleet(t, 1, 1)
	in := f.instances[0]
	in.signal(syscall.SIGHUP)
	select {
	case <-in.exited:
		t.Fatalf("SIGHUP ended the instance: %v", in.cmd.ProcessState)
	case <-time.After(200 * time.Millisecond):
	}
	if got := f.streamChat(in, 10, nil); !got.complete {
		t.Errorf("answer after SIGHUP has %d tokens and is not complete, error %q", len(got.tokenTimes), got.err)
	}
}
