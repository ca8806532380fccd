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

// A request whose header is only partly received when the drain starts is still
// answered. http.Server.Shutdown treats a keep-alive connection as idle until a
// complete header has been read, and closes it; callers then lost their connection
// in the middle of a request. The test sends the first half of a header before the
// signal and the rest during the drain.
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
	time.Sleep(100 * time.Millisecond) // Time for the server to read the first half.
	in.signal(syscall.SIGTERM)
	eventually(t, "drain started", func() bool { return strings.Contains(in.output(), "server: draining") })
	time.Sleep(100 * time.Millisecond)
	send(last)
	if err := receive(); err != nil {
		t.Errorf("a request received during the drain was not answered: %v", err)
	}
	if code := in.exitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, in.output())
	}
}
