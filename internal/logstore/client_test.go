package logstore_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"guavapier/internal/logstore"
	"guavapier/internal/standin"
)

// statusRecorder records the status codes that are written explicitly, so not an implicit 200.
type statusRecorder struct {
	http.ResponseWriter
	status *[]int
}

func (r statusRecorder) WriteHeader(status int) {
	*r.status = append(*r.status, status)
	r.ResponseWriter.WriteHeader(status)
}

// Guards against a client that transfers the whole list again though it hasn't changed, or that
// misses a change: the second read must get a 304, and the read after a change the new list.
func TestListIsAskedForConditionally(t *testing.T) {
	p := standin.NewPlatform(standin.PlatformOptions{AppendsPerSecond: 100, InstanceTTL: time.Minute})
	var explicit []int // Statuses written explicitly: 304, but not 200.
	handler := p.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(statusRecorder{w, &explicit}, r)
	}))
	defer srv.Close()
	client := logstore.NewClient(srv.URL, time.Second)
	read := func() logstore.MemberList {
		t.Helper()
		list, err := client.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return list
	}
	p.SetEndpoints([]standin.ListedEndpoint{{Name: "one"}})
	first, second := read(), read()
	if len(explicit) != 1 || explicit[0] != http.StatusNotModified {
		t.Fatalf("explicit statuses %v after two reads of an unchanged list, want one 304", explicit)
	}
	if len(first.Endpoints) != 1 || len(second.Endpoints) != 1 || second.Endpoints[0].Name != "one" {
		t.Fatalf("first list %v, second list %v, want endpoint one in both", first, second)
	}
	p.SetEndpoints([]standin.ListedEndpoint{{Name: "one", Leaving: true}})
	if third := read(); !third.Endpoints[0].Leaving || len(explicit) != 1 {
		t.Fatalf("after a change: list %v, explicit statuses %v, want a leaving endpoint and one 304", third, explicit)
	}
}
