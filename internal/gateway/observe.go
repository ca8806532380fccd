package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"guavapier/internal/allocator"
	"guavapier/internal/forward"
	"guavapier/internal/metrics"
	"guavapier/internal/prepaid"
)

func (g *Gateway) registerTables() {
	g.tables.Register("budgets", func() any { return g.keeper.Accounts.Balances(g.clock()) })
	g.tables.Register("endpoints", func() any { return g.endpoints.placed.View() })
	g.tables.Register("zone", func() any { return g.zoneView() })
	g.tables.Register("quarantine", func() any { return g.held.Table.View(time.Now()) })
	g.tables.Register("state", func() any {
		return map[string]int64{"version": g.version(), "age_ms": g.stateFresh.age().Milliseconds()}
	})
	g.metrics.Gauge(metrics.GatewayInstances, func() int64 { return int64(g.keeper.Accounts.Instances()) })
	g.metrics.Gauge(metrics.GatewayState, g.version)
	g.metrics.Gauge(metrics.GatewayStateAge, func() int64 { return g.stateFresh.age().Milliseconds() })
	g.metrics.Gauge(metrics.GatewayListAge, func() int64 { return g.endpoints.fresh.age().Milliseconds() })
	g.metrics.Gauge(metrics.GatewayHeldBack, func() int64 { return g.held.Table.Held(time.Now()) })
	g.budgetGauges()
	if g.platform.LinesDropped != nil {
		g.metrics.Gauge(metrics.GatewayDropped, g.platform.LinesDropped)
	}
}

// zoneView is the instance's part in its availability zone as a state dump shows it.
type zoneView struct {
	Role       string                   `json:"role"`
	Instances  int                      `json:"instances"`
	Allocators []allocator.Announcement `json:"allocators"`
	Reached    []allocator.Announcement `json:"reached"`
}

func (g *Gateway) zoneView() zoneView {
	zone := g.keeper.Directory
	return zoneView{
		Role: g.keeper.Accounts.Role().String(), Instances: g.keeper.Accounts.Instances(),
		Allocators: zone.Announced(), Reached: zone.Usable(),
	}
}

// budgetGauges publish sums over all budgets.
func (g *Gateway) budgetGauges() {
	for name, of := range map[string]func(prepaid.Balance) int64{
		metrics.GatewayHeld: func(b prepaid.Balance) int64 { return b.Claimed + b.Received - b.Transferred - b.Settled - b.Reserved },
		metrics.GatewayUsed: func(b prepaid.Balance) int64 { return b.Settled + b.Reserved },
		metrics.GatewayLost: func(b prepaid.Balance) int64 { return b.Lost },
	} {
		g.metrics.Gauge(name, func() int64 {
			sum := int64(0)
			for _, b := range g.keeper.Accounts.Balances(g.clock()) {
				sum += of(b)
			}
			return sum
		})
	}
	g.metrics.Gauge(metrics.GatewayReadAge, func() int64 { return g.keeper.Accounts.Balance("", g.clock()).ReadAgeMS })
	g.metrics.Gauge(metrics.GatewayTouchAge, func() int64 { return g.keeper.Accounts.Balance("", g.clock()).RenewalAgeMS })
	g.metrics.Gauge(metrics.GatewayReclaimed, g.keeper.ReclaimedTokens)
	g.metrics.Gauge(metrics.GatewayRepeats, func() int64 { allowed, _ := g.retries.Counts(); return allowed })
	g.metrics.Gauge(metrics.GatewayLinkLoad, func() int64 { return int64(100 * g.shedder.Load()) })
	g.metrics.Gauge(metrics.GatewayRepeatsDenied, func() int64 { _, denied := g.retries.Counts(); return denied })
}

// observer counts requests' ends.
func (g *Gateway) observer() func(forward.Event) {
	requests := g.metrics.Counter(metrics.GatewayRequests)
	attempts := g.metrics.Counter(metrics.GatewayAttempts)
	latency := g.metrics.Histogram(metrics.GatewayLatency)
	first := g.metrics.Histogram(metrics.GatewayFirst)
	return func(e forward.Event) {
		requests.Inc(1)
		attempts.Inc(int64(e.Attempts))
		latency.Update(e.Took.Microseconds())
		if e.First > 0 {
			first.Update(e.First.Microseconds())
		}
		if e.Reason != "" {
			g.metrics.Counter(metrics.GatewayEnds + strings.ReplaceAll(string(e.Reason), " ", "_")).Inc(1)
		}
	}
}

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

func (g *Gateway) operatorsHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", g.metrics.ServeText)
	r.Get("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.tables.Dump())
	})
	return r
}

// counting counts callers' requests while they are under way.
func (g *Gateway) counting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.underWay.Add(1)
		defer g.underWay.Add(-1)
		next.ServeHTTP(w, r)
	})
}
