package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/discovery"
	"guavapier/internal/endpointload"
	"guavapier/internal/placement"
	"guavapier/internal/upstream"
)

// readerOf gives an instance a reader of reports, which are JSON of endpointload.Report.
func readerOf(i *fleetInstance) *reportReader {
	pool := upstream.NewPool(upstream.Options{
		DialWaitTimeout: 20 * time.Second, DialTimeout: 20 * time.Second, IdleTimeout: time.Minute,
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		},
	})
	r := newReportReader(i.loadExchange, pool, Platform{
		ReportRequest: func(e discovery.Endpoint) *upstream.Outgoing {
			return &upstream.Outgoing{Method: http.MethodGet, Target: "/report", Host: e.Address, Header: http.Header{}}
		},
		DecodeReport: func(body []byte) (report endpointload.Report, err error) {
			return report, json.Unmarshal(body, &report)
		},
	}, zerolog.Nop())
	r.timeout = 20 * time.Second
	return r
}

// One instance reads the report of an endpoint, and the instances of all zones get it. After an
// answer without a report the endpoint is left alone for a while.
func TestOneInstanceReadsAReportForAll(t *testing.T) {
	var refuses atomic.Bool
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if refuses.Load() {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		fmt.Fprint(w, `{"Running":7,"TotalTokens":960}`)
	}))
	defer endpoint.Close()
	f := newLoadFleet(t, 2, 5)
	readers := map[string]*reportReader{}
	for _, i := range f.instances {
		i.endpoints.Put(discovery.Endpoint{ID: "e", Service: "s", Address: endpoint.Listener.Addr().String(), Zone: "a", Slots: 4, Born: 1}, 0)
		readers[i.name] = readerOf(i)
	}
	if f.named("b-4").endpoints.Place(placement.Query{Service: "s", Tokens: 300}, f.now) == nil {
		t.Fatal("no request was placed")
	}
	for range 4 {
		f.step()
	}
	readAll := func() (reads int) {
		for _, r := range readers {
			for _, e := range r.due() {
				r.readOne(context.Background(), e)
				reads++
			}
		}
		return reads
	}
	if reads := readAll(); reads != 1 {
		t.Fatalf("%d instances read the report", reads)
	}
	for range 4 {
		f.step()
	}
	for _, i := range f.instances {
		if got := i.view().Reports["e"]; got.Running != 7 || got.TotalTokens != 960 {
			t.Errorf("%s knows the report %+v", i.name, got)
		}
	}
	refuses.Store(true)
	if reads, again := readAll(), readAll(); reads != 1 || again != 0 {
		t.Errorf("the endpoint was asked %d times, and %d times after it refused", reads, again)
	}
	f.now += unreadableReportDelay
	for range 4 {
		f.step()
	}
	if reads := readAll(); reads != 1 {
		t.Errorf("after the delay the endpoint was asked %d times", reads)
	}
}
