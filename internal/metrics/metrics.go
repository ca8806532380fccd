// Package metrics holds the metrics of one instance. Each metric is listed with
// its unit in Catalogue or GatewayCatalogue; tests compare these with what a
// running instance publishes and with docs/OPERATIONS.md.
package metrics

import (
	"encoding/json"
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"
)

// A histogram keeps an exponentially decaying reservoir of its values.
// reservoirSize bounds its memory to 1028 values of 8 bytes, which gives the
// 99th percentile to within about one percentile.
const (
	reservoirSize  = 1028
	reservoirDecay = 0.015 // Gives most weight to the last five minutes.
)

// Registry holds the metrics of one instance. It is safe for concurrent use.
type Registry struct {
	registry gometrics.Registry // Metrics by name.
}

// New returns a Registry without metrics.
func New() *Registry {
	return &Registry{registry: gometrics.NewRegistry()}
}

// Counter returns the counter called name, creating it at 0 if there is none.
func (r *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, r.registry)
}

// Gauge registers a gauge whose value is read each time the metrics are
// requested. It replaces an earlier metric of the same name.
func (r *Registry) Gauge(name string, read func() int64) {
	r.registry.Unregister(name)
	gometrics.NewRegisteredFunctionalGauge(name, r.registry, read)
}

// Histogram returns the histogram called name, creating it if there is none. It
// returns nil if the name belongs to a metric of another kind.
func (r *Registry) Histogram(name string) gometrics.Histogram {
	newHistogram := func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoirSize, reservoirDecay))
	}
	h, _ := r.registry.GetOrRegister(name, newHistogram).(gometrics.Histogram)
	return h
}

// Names returns the names of all registered metrics, unsorted.
func (r *Registry) Names() []string {
	var names []string
	r.registry.Each(func(name string, _ any) { names = append(names, name) })
	return names
}

// ServeHTTP writes all metrics as one JSON object whose keys are their names.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.registry.GetAll())
}
