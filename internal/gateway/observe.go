package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"guavapier/internal/allocator"
	"guavapier/internal/callers"
	"guavapier/internal/forward"
	"guavapier/internal/metrics"
	"guavapier/internal/placement"
	"guavapier/internal/prepaid"
)

// logExpiry logs the end of a caller's connection that had no request.
func (g *Gateway) logExpiry(e callers.Expiry) {
	g.log.Debug().Stringer("caller", e.Caller).Time("waited_since", e.WaitedSince).Time("decided_at", e.DecidedAt).
		Time("closed_at", e.ClosedAt).Int("unread_bytes", e.UnreadBytes).Msg("gateway: idle connection closed")
}

// registerTablesAndMetrics registers the tables of the state dump and the gauges of the
// metrics page.
func (g *Gateway) registerTablesAndMetrics() {
	g.tables.Register("budgets", func() any { return g.budgets.Balances() })
	g.tables.Register("endpoints", func() any { return g.endpoints.placementTable.View(g.clock()) })
	g.tables.Register("zone", func() any { return g.zoneView() })
	g.tables.Register("quarantine", func() any { return g.quarantine.Table.View(time.Now()) })
	g.tables.Register("streams", func() any { return g.streamOrigins.View() })
	g.tables.Register("state", func() any {
		return map[string]int64{"version": g.stateVersion(), "age_ms": g.stateFreshness.age().Milliseconds()}
	})
	g.tables.Register("link", func() any { return g.linkView() })
	g.metrics.Gauge(metrics.GatewayInstances, func() int64 { return int64(g.budgets.Accounts.Instances()) })
	g.metrics.Gauge(metrics.GatewayStateVersion, g.stateVersion)
	g.metrics.Gauge(metrics.GatewayStateAge, func() int64 { return g.stateFreshness.age().Milliseconds() })
	g.metrics.Gauge(metrics.GatewayEndpointsAge, func() int64 { return g.endpoints.freshness.age().Milliseconds() })
	g.metrics.Gauge(metrics.GatewayQuarantinedRequests, func() int64 { return g.quarantine.Table.CountQuarantined(time.Now()) })
	g.metrics.Gauge(metrics.GatewayStreams, func() int64 { return int64(g.streamOrigins.Streams.Len()) })
	g.metrics.Gauge(metrics.GatewayStreamsNotCopied, g.streamOrigins.Dropped)
	g.registerReachGauges()
	g.loadExchange.registerMetrics(g.metrics, g.tables)
	g.metrics.Gauge(metrics.GatewayReportsRead, g.reportReader.read.Load)
	g.metrics.Gauge(metrics.GatewayTunnelsServed, g.tunnels.server.OpenCount)
	g.metrics.Gauge(metrics.GatewayHeldForSlowReaders, g.slowReaders.Held)
	g.metrics.Gauge(metrics.GatewayHeldBodies, g.uploads.Held)
	g.registerBudgetGauges()
	if g.platform.LinesDropped != nil {
		g.metrics.Gauge(metrics.GatewayLinesDropped, func() int64 { return g.platform.LinesDropped().Sum() })
	}
}

// registerReachGauges registers gauges of the endpoints of all services.
func (g *Gateway) registerReachGauges() {
	for name, value := range map[string]func(placement.Reach) int{
		metrics.GatewayEndpoints:            func(r placement.Reach) int { return r.Listed },
		metrics.GatewayEndpointsUnreachable: func(r placement.Reach) int { return r.Unreachable },
		metrics.GatewayEndpointsWithoutLink: func(r placement.Reach) int { return r.WithoutLink },
	} {
		g.metrics.Gauge(name, func() int64 {
			sum := 0
			for _, reach := range g.endpoints.placementTable.ReachByService() {
				sum += value(reach)
			}
			return int64(sum)
		})
	}
}

// zoneView is what a state dump shows of the instance's role in its availability zone and
// of the zone's allocators: those announced, and those of them that answer.
type zoneView struct {
	Role       string                   `json:"role"`
	Instances  int                      `json:"instances"`
	Allocators []allocator.Announcement `json:"allocators"`
	Reached    []allocator.Announcement `json:"reached"`
}

// zoneView reads the row of the state dump's zone table.
func (g *Gateway) zoneView() zoneView {
	zone := g.budgets.Directory
	return zoneView{
		Role: g.budgets.Accounts.Role().String(), Instances: g.budgets.Accounts.Instances(),
		Allocators: zone.ListAnnounced(), Reached: zone.ListReachable(),
	}
}

// registerBudgetGauges registers gauges of sums over all budgets, in tokens, and of the
// age of what is known about them, in milliseconds. It also registers those of repeated
// sends and of the link's load, in percent.
func (g *Gateway) registerBudgetGauges() {
	for name, value := range map[string]func(prepaid.Balance) int64{
		metrics.GatewayBudgetHeld:    func(b prepaid.Balance) int64 { return b.Claimed + b.Received - b.Transferred - b.Settled - b.Reserved },
		metrics.GatewayBudgetUsed:    func(b prepaid.Balance) int64 { return b.Settled + b.Reserved },
		metrics.GatewayBudgetLost:    func(b prepaid.Balance) int64 { return b.Lost },
		metrics.GatewayBudgetWaiting: func(b prepaid.Balance) int64 { return int64(b.Waiting) },
	} {
		g.metrics.Gauge(name, func() int64 {
			sum := int64(0)
			for _, b := range g.budgets.Balances() {
				sum += value(b)
			}
			return sum
		})
	}
	g.metrics.Gauge(metrics.GatewayBudgetReadAge, func() int64 { return g.budgets.Accounts.Balance("", g.clock()).ReadAgeMS })
	g.metrics.Gauge(metrics.GatewayBudgetRenewalAge, func() int64 { return g.budgets.Accounts.Balance("", g.clock()).RenewalAgeMS })
	g.metrics.Gauge(metrics.GatewayBudgetReclaimed, g.budgets.ReclaimedTokens)
	g.metrics.Gauge(metrics.GatewayBudgetRefusedAtOnce, g.budgets.RefusedAtOnce)
	g.metrics.Gauge(metrics.GatewayRetries, func() int64 { allowed, _ := g.retryLimiter.Counts(); return allowed })
	g.metrics.Gauge(metrics.GatewayLinkLoad, func() int64 { return int64(100 * g.linkShedder.Load()) })
	g.metrics.Gauge(metrics.GatewayRetriesDenied, func() int64 { _, denied := g.retryLimiter.Counts(); return denied })
}

// requestObserver returns the callback that records a finished request in the metrics.
func (g *Gateway) requestObserver() func(forward.RequestSummary) {
	requests := g.metrics.Counter(metrics.GatewayRequests)
	attempts := g.metrics.Counter(metrics.GatewayAttempts)
	latency := g.metrics.Histogram(metrics.GatewayLatency)
	firstByte := g.metrics.Histogram(metrics.GatewayHeaderLatency)
	return func(e forward.RequestSummary) {
		requests.Inc(1)
		attempts.Inc(int64(e.Attempts))
		latency.Update(e.Duration.Microseconds())
		if e.TimeToHeader > 0 {
			firstByte.Update(e.TimeToHeader.Microseconds())
		}
		if e.Reason != "" {
			g.metrics.Counter(metrics.GatewayEndsPrefix + strings.ReplaceAll(string(e.Reason), " ", "_")).Inc(1)
		}
	}
}

// readyHandler answers readiness checks: 200 if the instance is ready, else 503.
func (g *Gateway) readyHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(g.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return r
}

// operatorsHandler serves the metrics as text and the state dump as JSON.
func (g *Gateway) operatorsHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", g.metrics.ServeText)
	r.Get("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.tables.Dump())
	})
	return r
}

// countInFlight counts callers' requests while next serves them.
func (g *Gateway) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}
