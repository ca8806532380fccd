package logstore_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"guavapier/internal/logstore"
	"guavapier/internal/standin"
)

// statusRecorder notes the status of each answer.
type statusRecorder struct {
	http.ResponseWriter
	status *[]int
}

func (r statusRecorder) WriteHeader(status int) {
	*r.status = append(*r.status, status)
	r.ResponseWriter.WriteHeader(status)
}

// The list is sent once for as long as it stands, and anew after a change.
func TestListIsAskedForConditionally(t *testing.T) {
	p := standin.NewPlatform(standin.PlatformOptions{AppendsPerSecond: 100, InstanceTTL: time.Minute})
	var explicit []int
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
		t.Fatalf("statuses %v, want one 304", explicit)
	}
	if len(first.Endpoints) != 1 || len(second.Endpoints) != 1 || second.Endpoints[0].Name != "one" {
		t.Fatalf("lists %v, %v", first, second)
	}
	p.SetEndpoints([]standin.ListedEndpoint{{Name: "one", Leaving: true}})
	if third := read(); !third.Endpoints[0].Leaving || len(explicit) != 1 {
		t.Fatalf("after a change: %v, statuses %v", third, explicit)
	}
}
