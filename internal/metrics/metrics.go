// Package metrics holds the metrics of one instance. Every metric stands in
// Catalogue with its unit; a test compares the catalogue with what a running
// instance publishes and with docs/OPERATIONS.md.
package metrics

import (
	"encoding/json"
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"
)

// reservoirSize bounds the memory of one histogram: 1028 values of 8 bytes. It
// gives the 99th percentile within about a percentile.
const (
	reservoirSize  = 1028
	reservoirDecay = 0.015 // Weighs the last five minutes most.
)

// Registry holds the metrics of one instance. It is safe for concurrent use.
type Registry struct {
	registry gometrics.Registry
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{registry: gometrics.NewRegistry()}
}

// Counter returns the counter of that name; it starts at 0.
func (r *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, r.registry)
}

// Gauge publishes what read returns at the time of asking.
func (r *Registry) Gauge(name string, read func() int64) {
	r.registry.Unregister(name)
	gometrics.NewRegisteredFunctionalGauge(name, r.registry, read)
}

// Histogram returns the histogram of that name.
func (r *Registry) Histogram(name string) gometrics.Histogram {
	newHistogram := func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoirSize, reservoirDecay))
	}
	h, _ := r.registry.GetOrRegister(name, newHistogram).(gometrics.Histogram)
	return h
}

// Names lists the metrics that have been registered, in no fixed order.
func (r *Registry) Names() []string {
	var names []string
	r.registry.Each(func(name string, _ any) { names = append(names, name) })
	return names
}

// ServeHTTP writes all metrics as one JSON object by name.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.registry.GetAll())
}
