package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testIdleTimeout = 150 * time.Millisecond

func testOptions() Options {
	return Options{ConnectTimeout: time.Second, IdleTimeout: testIdleTimeout, ControlTimeout: 5 * time.Second, MaxAnswerBytes: 1 << 10}
}

// contentEvent returns a content event of run r1 with the given event id.
func contentEvent(id any, text string) string {
	return fmt.Sprintf("id: %v\ndata: {\"id\":\"r1\",\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, text)
}

// closingEvents returns the last events of run r1: finish reason and usage, then
// [DONE].
func closingEvents(finish string, completion int) string {
	return fmt.Sprintf("data: {\"id\":\"r1\",\"choices\":[{\"delta\":{},\"finish_reason\":%q}],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", finish, completion)
}

// respondWith returns a handler that writes the events as run r1, attempt 1.
func respondWith(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderRunID, "r1")
		w.Header().Set(HeaderAttempt, "1")
		fmt.Fprint(w, strings.Join(events, ""))
	}
}

// respondStatus returns a handler that responds with an error status and the
// given value of HeaderNotRun.
func respondStatus(code int, notRun string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNotRun, notRun)
		http.Error(w, "no", code)
	}
}

// neverRespond reads the request and blocks until the client disconnects.
func neverRespond(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// readAnswer starts run r1, attempt 1, and reads its answer to the end.
func readAnswer(base string, counts *Counters) (text string, err error) {
	h := NewHTTPEngines(testOptions(), counts)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	stream, err := h.Start(ctx, base, RunRequest{Run: "r1", Attempt: 1, Messages: json.RawMessage("[]"), MaxTokens: 9})
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var b strings.Builder
	for {
		token, err := stream.Next()
		if err != nil {
			return b.String(), err
		}
		b.WriteString(token.Text)
	}
}

func TestEngineAnswersAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		handler              http.HandlerFunc
		text                 string
		wantErr, unwantedErr error // errors.Is must hold for the first and not for the second.
		counts               CounterValues
	}{
		"whole": {respondWith(contentEvent(1, "a"), ": ping\n\n", contentEvent(2, "b"), closingEvents("stop", 2)), "ab", io.EOF, ErrLost, CounterValues{}},
		"wrong run in the header": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRunID, "r2")
			w.Header().Set(HeaderAttempt, "1")
		}, "", ErrMismatch, ErrRefused, CounterValues{WrongRun: 1}},
		"wrong attempt in the header": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRunID, "r1")
			w.Header().Set(HeaderAttempt, "7")
		}, "", ErrMismatch, ErrRefused, CounterValues{StaleAttempt: 1}},
		"wrong run in an event": {
			respondWith(contentEvent(1, "a"), strings.Replace(contentEvent(2, "b"), "r1", "r2", 1), closingEvents("stop", 2)),
			"a", ErrMismatch, io.EOF, CounterValues{WrongRun: 1},
		},
		"repeated event": {respondWith(contentEvent(1, "a"), contentEvent(1, "a"), contentEvent(2, "b"), closingEvents("stop", 2)), "ab", io.EOF, ErrLost, CounterValues{DuplicateEvents: 1}},
		"gap":            {respondWith(contentEvent(1, "a"), contentEvent(3, "c"), closingEvents("stop", 3)), "a", ErrGap, io.EOF, CounterValues{Gaps: 1, Lost: 1}},
		"gap at the end": {
			respondWith(contentEvent(1, "a"), closingEvents("stop", 2)), "a", ErrGap, io.EOF, CounterValues{Gaps: 1, Lost: 1},
		},
		"no event id":      {respondWith(contentEvent("", "a"), closingEvents("stop", 1)), "", ErrLost, io.EOF, CounterValues{Lost: 1}},
		"no [DONE] event":  {respondWith(contentEvent(1, "a")), "a", ErrLost, io.EOF, CounterValues{Lost: 1}},
		"no finish reason": {respondWith(contentEvent(1, "a"), "data: [DONE]\n\n"), "a", ErrLost, io.EOF, CounterValues{Lost: 1}},
		"cancelled":        {respondWith(contentEvent(1, "a"), closingEvents("cancelled", 1)), "a", ErrCancelled, io.EOF, CounterValues{Lost: 1}},
		"endpoint's 503":   {respondStatus(503, "true"), "", ErrLeaving, ErrLost, CounterValues{Refused: 1}},
		"endpoint's 429":   {respondStatus(429, "true"), "", ErrRefused, ErrLeaving, CounterValues{Refused: 1}},
		"endpoint's 400":   {respondStatus(400, "true"), "", ErrRejected, ErrLost, CounterValues{Refused: 1}},
		"endpoint's 404":   {respondStatus(404, "true"), "", ErrRunNotFound, ErrLost, CounterValues{Refused: 1}},
		"proxy's 503":      {respondStatus(503, ""), "", ErrLost, ErrRefused, CounterValues{Lost: 1}},
		"proxy's 429":      {respondStatus(429, ""), "", ErrLost, ErrRefused, CounterValues{Lost: 1}},
		"redirect": {func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/elsewhere" {
				respondWith(contentEvent(1, "a"), closingEvents("stop", 1))(w, r)
				return
			}
			http.Redirect(w, r, "/elsewhere", http.StatusFound)
		}, "", ErrLost, io.EOF, CounterValues{Lost: 1}},
		"no response": {neverRespond, "", ErrNoProgress, ErrRefused, CounterValues{NoProgress: 1}},
		"no data after the first token": {func(w http.ResponseWriter, r *http.Request) {
			respondWith(contentEvent(1, "a"))(w, r)
			_ = http.NewResponseController(w).Flush()
			neverRespond(w, r)
		}, "a", ErrNoProgress, ErrRefused, CounterValues{NoProgress: 1}},
		"connection closed without a response": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "", ErrLost, ErrRefused, CounterValues{Lost: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			var counts Counters
			text, err := readAnswer(server.URL, &counts)
			if text != c.text || !errors.Is(err, c.wantErr) || errors.Is(err, c.unwantedErr) || counts.Snapshot() != c.counts {
				t.Fatalf("text %q, error %v, counts %+v", text, err, counts.Snapshot())
			}
		})
	}
}

func TestNoConnectionMeansNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if _, err := readAnswer("http://"+l.Addr().String(), &Counters{}); !errors.Is(err, ErrUnreachable) || !errors.Is(err, ErrRefused) {
		t.Fatalf("error %v", err)
	}
}

func TestHeartbeatsKeepASlowStreamOpen(t *testing.T) {
	sendHeartbeats := func(n int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderHeartbeat, "40")
			respondWith(contentEvent(1, "a"))(w, r)
			for range n {
				_ = http.NewResponseController(w).Flush()
				time.Sleep(40 * time.Millisecond)
				fmt.Fprint(w, ": ping\n\n")
			}
			fmt.Fprint(w, closingEvents("stop", 1))
		}
	}
	// The stream stays open for about three idle timeouts but sends a comment
	// every 40 ms.
	server := httptest.NewServer(sendHeartbeats(3 * int(testIdleTimeout/(40*time.Millisecond))))
	defer server.Close()
	if text, err := readAnswer(server.URL, &Counters{}); text != "a" || !errors.Is(err, io.EOF) {
		t.Fatalf("text %q, error %v", text, err)
	}
}

// startHangUpServer starts a server that responds to the first request on each
// connection, and closes the connection without a response after it has read a
// second one. requests returns the number of requests received.
func startHangUpServer(t *testing.T) (base string, requests func() int) {
	t.Helper()
	seen := make(chan struct{}, 100)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buf := make([]byte, 4096)
				for n := range 2 {
					if _, err := conn.Read(buf); err != nil {
						return
					}
					seen <- struct{}{}
					if n == 0 {
						fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r1\r\n%s: 1\r\nContent-Length: 2\r\n\r\nok", HeaderRunID, HeaderAttempt)
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), func() int { return len(seen) }
}

// net/http resends a request by itself if a reused connection fails. A call must
// not be sent twice that way: calls use separate connections, and a request made
// with setNonReplayableBody isn't resent on a reused one either.
func TestCallsAreNotResentWhenConnectionsFail(t *testing.T) {
	pooled := &http.Client{Transport: &http.Transport{}}
	defer pooled.CloseIdleConnections()
	get := func(base string, nonReplayable bool) error {
		req, _ := http.NewRequest(http.MethodGet, base, nil)
		if nonReplayable {
			setNonReplayableBody(req, strings.NewReader(""), 0)
		}
		resp, err := pooled.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		return err
	}
	// Check of the test itself: net/http replays a plain GET, so 3 requests arrive.
	base, requests := startHangUpServer(t)
	if first, second := get(base, false), get(base, false); first != nil || second != nil || requests() != 3 {
		t.Fatalf("net/http no longer replays: %v, %v, %d requests", first, second, requests())
	}
	base, requests = startHangUpServer(t)
	if first, second := get(base, true), get(base, true); first != nil || second == nil || requests() != 2 {
		t.Fatalf("replayed on a reused connection: %v, %v, %d requests", first, second, requests())
	}
	base, requests = startHangUpServer(t)
	services := NewHTTPServices(testOptions(), &Counters{})
	for range 2 {
		answer, err := services.Call(t.Context(), base, Call{Run: "r1", Attempt: 1, Method: http.MethodGet, Path: "/"})
		if err != nil || string(answer.Body) != "ok" {
			t.Fatalf("answer %q, error %v", answer.Body, err)
		}
	}
	if requests() != 2 {
		t.Fatalf("%d requests", requests())
	}
}
