package metrics

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5/middleware"
	gometrics "github.com/rcrowley/go-metrics"
)

// HTTPNames are the metrics of one HTTP interface.
type HTTPNames struct {
	Requests, Refusals, Faults, Latency string
}

// CallersHTTP and OperatorsHTTP name the metrics of the two interfaces.
var (
	CallersHTTP   = HTTPNames{Requests: CallerRequests, Refusals: CallerRefusals, Faults: CallerFaults, Latency: CallerLatency}
	OperatorsHTTP = HTTPNames{Requests: OperatorRequests, Refusals: OperatorRefusals, Faults: OperatorFaults, Latency: OperatorLatency}
)

// measured is an HTTP handler whose answers are counted.
type measured struct {
	next                       http.Handler
	requests, refusals, faults gometrics.Counter
	latency                    gometrics.Histogram
}

// Measure counts the requests that next answers.
func (r *Registry) Measure(names HTTPNames, next http.Handler) http.Handler {
	return &measured{
		next:     next,
		requests: r.Counter(names.Requests), refusals: r.Counter(names.Refusals), faults: r.Counter(names.Faults),
		latency: r.Histogram(names.Latency),
	}
}

// ServeHTTP implements http.Handler.
func (m *measured) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	answer := middleware.NewWrapResponseWriter(w, r.ProtoMajor)
	// Deferred, since a handler may abort its answer by a panic.
	defer func() { m.count(answer.Status(), time.Since(began)) }()
	m.next.ServeHTTP(answer, r)
}

func (m *measured) count(status int, took time.Duration) {
	m.requests.Inc(1)
	m.latency.Update(took.Microseconds())
	switch status / 100 {
	case 4:
		m.refusals.Inc(1)
	case 5:
		m.faults.Inc(1)
	}
}
