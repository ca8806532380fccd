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

const testSilence = 150 * time.Millisecond

func testOptions() Options {
	return Options{Connect: time.Second, Silence: testSilence, Control: 5 * time.Second, AnswerBytes: 1 << 10}
}

// token is a content event; closing a closing event, of run r1.
func token(id any, text string) string {
	return fmt.Sprintf("id: %v\ndata: {\"id\":\"r1\",\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, text)
}

func closing(finish string, completion int) string {
	return fmt.Sprintf("data: {\"id\":\"r1\",\"choices\":[{\"delta\":{},\"finish_reason\":%q}],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", finish, completion)
}

// answers returns a handler that writes head and events as r1, attempt 1.
func answers(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderRun, "r1")
		w.Header().Set(HeaderAttempt, "1")
		fmt.Fprint(w, strings.Join(events, ""))
	}
}

func status(code int, notRun string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNotRun, notRun)
		http.Error(w, "no", code)
	}
}

// silent answers nothing until the client is gone.
func silent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// read starts an order of run r1 and reads its answer to the end.
func read(base string, counts *Counts) (text string, err error) {
	h := NewHTTPEngines(testOptions(), counts)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	stream, err := h.Start(ctx, base, Order{Run: "r1", Attempt: 1, Messages: json.RawMessage("[]"), MaxTokens: 9})
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
		handler http.HandlerFunc
		text    string
		is, not error // The error must be is, and must not be not.
		counts  CountsView
	}{
		"whole": {answers(token(1, "a"), ": ping\n\n", token(2, "b"), closing("stop", 2)), "ab", io.EOF, ErrLost, CountsView{}},
		"crossed head": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRun, "r2")
			w.Header().Set(HeaderAttempt, "1")
		}, "", ErrMismatch, ErrRefused, CountsView{Crossed: 1}},
		"late attempt": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRun, "r1")
			w.Header().Set(HeaderAttempt, "7")
		}, "", ErrMismatch, ErrRefused, CountsView{Late: 1}},
		"crossed event": {
			answers(token(1, "a"), strings.Replace(token(2, "b"), "r1", "r2", 1), closing("stop", 2)),
			"a", ErrMismatch, io.EOF, CountsView{Crossed: 1},
		},
		"repeat": {answers(token(1, "a"), token(1, "a"), token(2, "b"), closing("stop", 2)), "ab", io.EOF, ErrLost, CountsView{Duplicate: 1}},
		"gap":    {answers(token(1, "a"), token(3, "c"), closing("stop", 3)), "a", ErrGap, io.EOF, CountsView{Gaps: 1, Lost: 1}},
		"gap at the end": {
			answers(token(1, "a"), closing("stop", 2)), "a", ErrGap, io.EOF, CountsView{Gaps: 1, Lost: 1},
		},
		"no number":   {answers(token("", "a"), closing("stop", 1)), "", ErrLost, io.EOF, CountsView{Lost: 1}},
		"no closing":  {answers(token(1, "a")), "a", ErrLost, io.EOF, CountsView{Lost: 1}},
		"no finish":   {answers(token(1, "a"), "data: [DONE]\n\n"), "a", ErrLost, io.EOF, CountsView{Lost: 1}},
		"cancelled":   {answers(token(1, "a"), closing("cancelled", 1)), "a", ErrCancelled, io.EOF, CountsView{Lost: 1}},
		"own leaving": {status(503, "true"), "", ErrLeaving, ErrLost, CountsView{Refused: 1}},
		"own refusal": {status(429, "true"), "", ErrRefused, ErrLeaving, CountsView{Refused: 1}},
		"rejected":    {status(400, "true"), "", ErrRejected, ErrLost, CountsView{Refused: 1}},
		"no run":      {status(404, "true"), "", ErrNoRun, ErrLost, CountsView{Refused: 1}},
		"proxy's 503": {status(503, ""), "", ErrLost, ErrRefused, CountsView{Lost: 1}},
		"proxy's 429": {status(429, ""), "", ErrLost, ErrRefused, CountsView{Lost: 1}},
		"redirect": {func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/elsewhere" {
				answers(token(1, "a"), closing("stop", 1))(w, r)
				return
			}
			http.Redirect(w, r, "/elsewhere", http.StatusFound)
		}, "", ErrLost, io.EOF, CountsView{Lost: 1}},
		"silent from start": {silent, "", ErrSilent, ErrRefused, CountsView{Silent: 1}},
		"silent in between": {func(w http.ResponseWriter, r *http.Request) {
			answers(token(1, "a"))(w, r)
			_ = http.NewResponseController(w).Flush()
			silent(w, r)
		}, "a", ErrSilent, ErrRefused, CountsView{Silent: 1}},
		"lost": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "", ErrLost, ErrRefused, CountsView{Lost: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			var counts Counts
			text, err := read(server.URL, &counts)
			if text != c.text || !errors.Is(err, c.is) || errors.Is(err, c.not) || counts.View() != c.counts {
				t.Fatalf("text %q, error %v, counts %+v", text, err, counts.View())
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
	if _, err := read("http://"+l.Addr().String(), &Counts{}); !errors.Is(err, ErrUnreachable) || !errors.Is(err, ErrRefused) {
		t.Fatalf("error %v", err)
	}
}

func TestHeartbeatsShortenTheWaitAndKeepASlowStreamOpen(t *testing.T) {
	beat := func(n int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderHeartbeat, "40")
			answers(token(1, "a"))(w, r)
			for range n {
				_ = http.NewResponseController(w).Flush()
				time.Sleep(40 * time.Millisecond)
				fmt.Fprint(w, ": ping\n\n")
			}
			fmt.Fprint(w, closing("stop", 1))
		}
	}
	// More than the silence that is allowed, but never without a comment.
	server := httptest.NewServer(beat(3 * int(testSilence/(40*time.Millisecond))))
	defer server.Close()
	if text, err := read(server.URL, &Counts{}); text != "a" || !errors.Is(err, io.EOF) {
		t.Fatalf("text %q, error %v", text, err)
	}
}

// hangUp accepts connections, answers the first request on each, and closes
// the connection as soon as it has read a second one. It counts requests.
func hangUp(t *testing.T) (base string, requests func() int) {
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
						fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r1\r\n%s: 1\r\nContent-Length: 2\r\n\r\nok", HeaderRun, HeaderAttempt)
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), func() int { return len(seen) }
}

// TestNothingIsReplayed sends two calls; the endpoint hangs up on the second
// one if it comes over the first one's connection.
func TestNothingIsReplayed(t *testing.T) {
	pooled := &http.Client{Transport: &http.Transport{}}
	defer pooled.CloseIdleConnections()
	get := func(base string, unrepeatable bool) error {
		req, _ := http.NewRequest(http.MethodGet, base, nil)
		if unrepeatable {
			once(req, strings.NewReader(""), 0)
		}
		resp, err := pooled.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		return err
	}
	// The checker itself: net/http replays a plain GET, so 3 requests arrive.
	base, requests := hangUp(t)
	if first, second := get(base, false), get(base, false); first != nil || second != nil || requests() != 3 {
		t.Fatalf("net/http no longer replays: %v, %v, %d requests", first, second, requests())
	}
	base, requests = hangUp(t)
	if first, second := get(base, true), get(base, true); first != nil || second == nil || requests() != 2 {
		t.Fatalf("replayed on a reused connection: %v, %v, %d requests", first, second, requests())
	}
	base, requests = hangUp(t)
	services := NewHTTPServices(testOptions(), &Counts{})
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
