package metrics

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5/middleware"
	gometrics "github.com/rcrowley/go-metrics"
)

// HTTPMetricNames names the metrics of one HTTP interface: counters of all
// requests, of responses with a 4xx status (Refusals) and with a 5xx status
// (Faults), and a histogram of latencies in microseconds.
type HTTPMetricNames struct {
	Requests, Refusals, Faults, Latency string
}

// CallersHTTP and OperatorsHTTP name the metrics of the callers' and the
// operators' interface.
var (
	CallersHTTP   = HTTPMetricNames{Requests: CallerRequests, Refusals: CallerRefusals, Faults: CallerFaults, Latency: CallerLatency}
	OperatorsHTTP = HTTPMetricNames{Requests: OperatorRequests, Refusals: OperatorRefusals, Faults: OperatorFaults, Latency: OperatorLatency}
)

// instrumentedHandler records the status and latency of each response of next.
type instrumentedHandler struct {
	next                       http.Handler
	requests, refusals, faults gometrics.Counter
	latency                    gometrics.Histogram
}

// Instrument returns a handler that passes requests to next and records their
// number, status class and latency under the given names.
func (r *Registry) Instrument(names HTTPMetricNames, next http.Handler) http.Handler {
	return &instrumentedHandler{
		next:     next,
		requests: r.Counter(names.Requests), refusals: r.Counter(names.Refusals), faults: r.Counter(names.Faults),
		latency: r.Histogram(names.Latency),
	}
}

// ServeHTTP implements http.Handler.
func (h *instrumentedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	response := middleware.NewWrapResponseWriter(w, r.ProtoMajor)
	// Deferred, so that a response that its handler aborts with a panic counts too.
	defer func() { h.record(response.Status(), time.Since(start)) }()
	h.next.ServeHTTP(response, r)
}

func (h *instrumentedHandler) record(status int, latency time.Duration) {
	h.requests.Inc(1)
	h.latency.Update(latency.Microseconds())
	switch status / 100 {
	case 4:
		h.refusals.Inc(1)
	case 5:
		h.faults.Inc(1)
	}
}
