package process_test

import (
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// An instance drains and exits even if its standard error is a full pipe that
// nobody reads. With synchronous writes, each log line blocked on the pipe and the
// drain never began.
func TestAStoppedReaderOfTheLogHoldsUpNoDrain(t *testing.T) {
	_, platform := startStandin(t, "platform")
	file := instanceSettings(t, "entry-1", "hall-a", platform, "")
	const callersAddr = "127.23.45.67:8191"
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	withFixedAddr := strings.Replace(string(text), `callers = "127.0.0.1:0"`, `callers = "`+callersAddr+`"`, 1)
	if err := os.WriteFile(file, []byte(withFixedAddr), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, "serve", "-settings", file)
	cmd.Stderr = fullPipe(t)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	eventually(t, "ready", func() bool {
		resp, err := http.Get("http://" + callersAddr + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the instance did not exit before the timeout")
	}
}

// fullPipe returns the write end of a pipe whose buffer is full, so that further
// writes block.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = reader.Close(), writer.Close() })
	_ = writer.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	for err == nil {
		_, err = writer.Write(make([]byte, 4096))
	}
	return writer
}
