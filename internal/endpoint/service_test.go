package endpoint

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestServiceAnswersAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		handler              http.HandlerFunc
		wantErr, unwantedErr error
	}{
		"complete":                             {respondWith("ok"), nil, ErrLost},
		"wrong run":                            {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderRunID, "r2") }, ErrMismatch, ErrRefused},
		"too large":                            {respondWith(strings.Repeat("x", 1<<10+1)), ErrLost, ErrRefused},
		"endpoint's 503":                       {respondStatus(503, "true"), ErrLeaving, ErrLost},
		"proxy's 503":                          {respondStatus(503, ""), ErrLost, ErrRefused},
		"connection closed without a response": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrLost, ErrRefused},
		"no response":                          {neverRespond, ErrNoProgress, ErrRefused},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), testIdleTimeout)
			defer cancel()
			_, err := NewHTTPServices(testOptions(), &Counters{}).Call(ctx, server.URL, Call{Run: "r1", Attempt: 1, Method: http.MethodPost, Path: "/call/x"})
			if !errors.Is(err, c.wantErr) || errors.Is(err, c.unwantedErr) {
				t.Fatalf("error %v", err)
			}
		})
	}
}

// The request must not announce the end of the connection: a server that has not
// read the request body would then reset the connection after its response, and
// the part of a long response still in transit would be lost.
func TestLongAnswerOfAServerThatDoesNotReadTheBody(t *testing.T) {
	const size = 4 << 20
	server := httptest.NewServer(respondWith(strings.Repeat("x", size)))
	defer server.Close()
	o := testOptions()
	o.MaxAnswerBytes = size
	for range 20 {
		answer, err := NewHTTPServices(o, &Counters{}).Call(t.Context(), server.URL, Call{
			Run: "r1", Attempt: 1, Method: http.MethodPost, Path: "/call/x", Body: make([]byte, 16<<10),
		})
		if err != nil || len(answer.Body) != size {
			t.Fatalf("%d bytes, error %v", len(answer.Body), err)
		}
	}
}

// fakeLoader implements Loader with one function per base URL.
type fakeLoader map[string]func(ctx context.Context) (Load, error)

func (l fakeLoader) Load(ctx context.Context, base string) (Load, error) { return l[base](ctx) }

func TestPollerIsNotHeldUpByASilentEndpoint(t *testing.T) {
	reports := make(chan string, 100)
	p := &Poller{
		Loader: fakeLoader{
			"quick":  func(context.Context) (Load, error) { return Load{Running: 1}, nil },
			"silent": func(ctx context.Context) (Load, error) { <-ctx.Done(); return Load{}, ctx.Err() },
		},
		Targets:              func() []Target { return []Target{{"s", "silent"}, {"q", "quick"}} },
		Report:               func(name string, _ Load) { reports <- name },
		Interval:             time.Millisecond,
		MaxRequestsPerSecond: 1e6,
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { p.Run(ctx); close(ended) }()
	for range 3 {
		if name := <-reports; name != "q" {
			t.Fatalf("report of %s, want only q", name)
		}
	}
	cancel()
	<-ended
	if interval := (&Poller{Interval: time.Second, MaxRequestsPerSecond: 10}).meanInterval(640); interval != 64*time.Second {
		t.Fatalf("640 endpoints are polled every %v, want 64s", interval)
	}
}
