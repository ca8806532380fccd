package process_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A request whose head is on its way in as the instance is told to end is
// answered. Callers saw the connection end under it. Cause: http.Server.Shutdown
// takes a kept connection for idle until a whole head was read, and drops what is
// read after its call. Evidence: the half that came before the signal was read, and
// the end came with the drain.
func TestARequestThatIsBeingReadInADrainIsAnswered(t *testing.T) {
	f := startFleet(t, 1, 1)
	in := f.instances[0]
	conn, err := net.Dial("tcp", strings.TrimPrefix(in.callersURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	answers := bufio.NewReader(conn)
	send := func(text string) {
		t.Helper()
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
	}
	receive := func() error {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	const first, last = "GET /readyz HTTP/1.1\r\nHost: h\r\n", "\r\n"
	send(first + last)
	if err := receive(); err != nil {
		t.Fatal(err)
	}
	send(first)
	time.Sleep(100 * time.Millisecond) // It is read meanwhile.
	in.signal(syscall.SIGTERM)
	eventually(t, "drain", func() bool { return strings.Contains(in.output(), "server: draining") })
	time.Sleep(100 * time.Millisecond)
	send(last)
	if err := receive(); err != nil {
		t.Errorf("read and not answered: %v", err)
	}
	if code := in.exitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, in.output())
	}
}
