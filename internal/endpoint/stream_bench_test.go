package endpoint

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
)

// BenchmarkStreamTokens reports the time to read one token, for answers of three
// lengths that a local server sends at once.
func BenchmarkStreamTokens(b *testing.B) {
	for _, tokens := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			var body strings.Builder
			for i := range tokens {
				body.WriteString(contentEvent(i+1, "word "))
			}
			body.WriteString(closingEvents("stop", tokens))
			server := httptest.NewServer(respondWith(body.String()))
			defer server.Close()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := readAnswer(server.URL, &Counters{}); !IsComplete(err) {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
		})
	}
}

// BenchmarkOpenStreams reports the memory and goroutines of each open idle stream,
// including those of the local server.
func BenchmarkOpenStreams(b *testing.B) {
	for _, open := range []int{100, 1_000, 4_000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				respondWith(contentEvent(1, "a"))(w, r)
				_ = http.NewResponseController(w).Flush()
				neverRespond(w, r)
			}))
			defer server.Close()
			o := testOptions()
			o.IdleTimeout = 1 << 40
			h := NewHTTPEngines(o, &Counters{})
			for b.Loop() {
				heapBefore, goroutinesBefore := heapInUse(), runtime.NumGoroutine()
				streams := make([]Stream, 0, open)
				for range open {
					stream, err := h.Start(b.Context(), server.URL, RunRequest{Run: "r1", Attempt: 1, MaxTokens: 9, Messages: []byte("[]")})
					if err != nil {
						b.Fatal(err)
					}
					if _, err := stream.Next(); err != nil {
						b.Fatal(err)
					}
					streams = append(streams, stream)
				}
				b.ReportMetric(float64(heapInUse()-heapBefore)/float64(open), "heap-B/stream")
				b.ReportMetric(float64(runtime.NumGoroutine()-goroutinesBefore)/float64(open), "goroutines/stream")
				for _, stream := range streams {
					_ = stream.Close()
				}
			}
		})
	}
}

// heapInUse returns the bytes of heap and stack in use after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) + int64(m.StackInuse)
}
