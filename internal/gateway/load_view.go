package gateway

import (
	"time"

	"guavapier/internal/endpointload"
	"guavapier/internal/metrics"
	"guavapier/internal/state"
)

// maxShownReportAge is the age from which on a state dump doesn't show a report.
const maxShownReportAge = 10 * time.Second

// timedReport is a report of an endpoint that was made at a time.
type timedReport struct {
	endpointload.Report
	madeAt time.Duration
}

// loadView is what a state dump shows of the exchange.
type loadView struct {
	AgeMS      int64                        `json:"age_ms"` // Of Others; -1 if nothing was ever told.
	Collectors []string                     `json:"collectors"`
	Told       endpointload.Size            `json:"told"` // What this instance was told as a collector.
	Links      endpointload.ZoneLinks       `json:"links"`
	Others     map[string]endpointload.Load `json:"others"` // By endpoint.
	Reports    map[string]reportView        `json:"reports"`
}

// reportView is what a state dump shows of an endpoint's report.
type reportView struct {
	Running, Waiting        int
	UsedTokens, TotalTokens int64
	AgeMS                   int64
}

// view returns what a state dump shows of the exchange.
func (x *loadExchange) view() loadView {
	now := x.clock()
	v := loadView{AgeMS: x.ageMS(), Told: x.service.table.Size(), Links: x.zoneLinks(), Reports: map[string]reportView{}}
	for _, i := range x.collectors.Load().For(x.zone, x.name) {
		v.Collectors = append(v.Collectors, i.Name)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	v.Others = x.loads
	for id, r := range x.reports {
		v.Reports[id] = reportView{r.Running, r.Waiting, r.UsedTokens, r.TotalTokens, (now - r.madeAt).Milliseconds()}
	}
	return v
}

// ageMS returns the age of what is known of the others in milliseconds, -1 if nothing ever was.
func (x *loadExchange) ageMS() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.updatedAt == 0 {
		return -1
	}
	return (x.clock() - x.updatedAt).Milliseconds()
}

// registerMetrics registers the gauges and the state dump's table of the exchange.
func (x *loadExchange) registerMetrics(registry *metrics.Registry, tables *state.Registry) {
	registry.Gauge(metrics.GatewayLoadExchanges, x.made.Load)
	registry.Gauge(metrics.GatewayLoadExchangesFailed, x.failed.Load)
	registry.Gauge(metrics.GatewayLoadAge, x.ageMS)
	registry.Gauge(metrics.GatewayLoadedEndpoints, func() int64 {
		x.mu.Lock()
		defer x.mu.Unlock()
		return int64(len(x.loads))
	})
	tables.Register("loads", func() any { return x.view() })
}
