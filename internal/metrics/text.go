package metrics

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles published for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// ServeText writes all metrics in the Prometheus text exposition format, sorted
// by name. Dots in names become underscores, and histograms become summaries.
func (r *Registry) ServeText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	names := r.Names()
	slices.Sort(names)
	for _, name := range names {
		_, _ = w.Write([]byte(formatMetric(strings.ReplaceAll(name, ".", "_"), r.registry.Get(name))))
	}
}

// formatMetric returns the type line and the samples of one metric, or "" if it is
// not a counter, gauge or histogram.
func formatMetric(name string, metric any) string {
	switch m := metric.(type) {
	case gometrics.Counter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case gometrics.Gauge:
		return fmt.Sprintf("# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case gometrics.Histogram:
		h := m.Snapshot()
		var b strings.Builder
		fmt.Fprintf(&b, "# TYPE %s summary\n", name)
		for i, value := range h.Percentiles(quantiles) {
			fmt.Fprintf(&b, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], value)
		}
		fmt.Fprintf(&b, "%s_sum %d\n%s_count %d\n", name, h.Sum(), name, h.Count())
		return b.String()
	default:
		return ""
	}
}
