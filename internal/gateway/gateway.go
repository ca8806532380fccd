// Package gateway is one instance that serves an outside platform's callers
// and endpoints: its parts put together, its start and its drain. The
// platform's names and calls come in through Platform.
package gateway

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"guavapier/internal/allocator"
	"guavapier/internal/callers"
	"guavapier/internal/discovery"
	"guavapier/internal/forward"
	"guavapier/internal/linkload"
	"guavapier/internal/logstore"
	"guavapier/internal/metrics"
	"guavapier/internal/peer"
	"guavapier/internal/placement"
	"guavapier/internal/prepaid"
	"guavapier/internal/quarantine"
	"guavapier/internal/record"
	"guavapier/internal/retry"
	"guavapier/internal/route"
	"guavapier/internal/settings"
	"guavapier/internal/state"
	"guavapier/internal/upstream"
)

// Platform is what the adapter of the outside platform brings.
type Platform struct {
	Store          logstore.Keyed
	DecodeState    func(value []byte) (route.State, error)
	DecodeEndpoint func(id string, value []byte) (discovery.Endpoint, error)
	Codec          forward.Codec
	// LinesDropped returns how many log lines were dropped; nil for none.
	LinesDropped func() int64
	// Thin passes over lines that come too fast; nil for none. Lines of the
	// instance's own life and of its dependencies always pass.
	Thin zerolog.Sampler
	// ReadyPath is where the balancer asks whether the instance takes callers.
	ReadyPath string
}

const (
	// requestDialTimeout is how long a request waits for a connection to an endpoint: round
	// trips take under 10 ms, and one that takes longer is refused faster elsewhere.
	requestDialTimeout = 300 * time.Millisecond
	// maxDialDuration bounds the connection itself: a full link may hold packets for half a
	// second each way.
	maxDialDuration = 1200 * time.Millisecond
	// endpointIdleTimeout is how long a connection to an endpoint is kept where it
	// announces nothing.
	endpointIdleTimeout = 2 * time.Second
	// endpointAckTimeout is how long an endpoint's host may leave our bytes
	// unacknowledged.
	endpointAckTimeout = time.Second
	// headerReadTimeout bounds a caller's head; the desired state's limit is lower
	// and callers keep to it.
	headerReadTimeout = 10 * time.Second
	// maxHeaderBytes bounds a caller's head.
	maxHeaderBytes = 64 << 10
	// defaultCallerIdleTimeout closes callers' connections where the desired state says nothing.
	defaultCallerIdleTimeout = 2 * time.Minute
	// initialInstanceCount shares the retry budget until the others are known.
	initialInstanceCount = 16
	// housekeepingInterval is the pause between two rounds of housekeeping.
	housekeepingInterval = 250 * time.Millisecond
	// memoryLimitRatio is the share of the memory limit above which the collector
	// runs more often; the rest is for buffers outside the heap.
	memoryLimitRatio = 0.8
)

// Gateway is one instance.
type Gateway struct {
	settings   settings.Gateway
	platform   Platform
	log        zerolog.Logger
	sampledLog zerolog.Logger // For lines that come with load; thinned.
	clock      func() time.Duration

	config           atomic.Pointer[route.Config]
	stateFreshness   *freshness
	endpoints        *endpointTracker
	budgets          *prepaid.Keeper
	loadReporter     *loadReporter
	peerPool         *peer.Pool   // To other instances.
	peerServer       *peer.Server // Their calls.
	retryLimiter     *retry.Keeper
	quarantine       *quarantine.Keeper // Requests that are not to be sent.
	linkMeter        linkload.Meter
	linkShedder      *linkload.Shedder
	upstreamPool     *upstream.Pool
	callerConns      *callers.Connections // Those of callers.
	exitDeadline     time.Time            // When the process is to be gone; set by end.
	isDraining       atomic.Bool
	requestCutoff    atomic.Pointer[time.Time] // Set in the last part of a drain.
	abortingRequests atomic.Bool               // Callers' connections are being closed under way.
	inFlight         atomic.Int64              // Callers' requests.
	metrics          *metrics.Registry
	tables           *state.Registry

	callersListener, readyListener, operatorsListener, peersListener net.Listener
}

// New puts an instance together and binds its addresses.
func New(s settings.Gateway, p Platform, log zerolog.Logger) (*Gateway, error) {
	debug.SetMemoryLimit(int64(float64(s.Gateway.MemoryMB<<20) * memoryLimitRatio))
	clock := newBootClock()
	g := &Gateway{
		settings: s, platform: p, log: log, sampledLog: log.Sample(p.Thin), clock: clock, metrics: metrics.New(), tables: state.New(),
		linkShedder: linkload.NewShedder(s.Gateway.LinkMbps),
		retryLimiter: retry.NewKeeper(retry.Budget{
			Ratio: s.Retries.Ratio, Extra: float64(s.Retries.Extra), Window: s.Retries.Window.D(),
		}, initialInstanceCount),
	}
	g.stateFreshness = newFreshness(s.Store.StateWithin.D(), clock)
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.upstreamPool = upstream.NewPool(upstream.Options{
		DialWithin: requestDialTimeout, DialLast: maxDialDuration, IdleFor: endpointIdleTimeout, Dial: g.linkMeter.Dial(upstream.TCP(endpointAckTimeout)),
	})
	g.callerConns = callers.New(g.callersListener.(*net.TCPListener), defaultCallerIdleTimeout, &g.linkMeter)
	p.Store = instrumentedStore{p.Store, g.metrics}
	g.platform = p
	g.endpoints = newEndpointTracker(p, s.Store, placement.New(uint64(time.Now().UnixNano())), g.upstreamPool, clock, g.sampledLog, log)
	peersAddr := g.peersListener.Addr().String()
	self := prepaid.Identity{
		Key: record.NewInstanceID(s.Gateway.Name), Node: s.Gateway.Name + "@" + peersAddr,
		Started: time.Now().UnixMilli(), Peer: peersAddr, Zone: s.Gateway.Zone,
	}
	accounts := prepaid.NewBook(self, prepaid.DefaultPolicy(), hostClocks(log))
	zone := allocator.New(allocator.Self{Key: self.Key, Peer: peersAddr, Zone: self.Zone, LinkMbps: s.Gateway.LinkMbps})
	g.peerPool = peer.NewPool(self.Key, accounts, peer.Options{})
	g.budgets = prepaid.NewKeeper(accounts, zone, prepaid.NewPeers(g.peerPool, g.sampledLog), p.Store, clock, log)
	g.quarantine = quarantine.NewKeeper(quarantine.Options{
		Self: self.Key, Log: p.Store, Probe: g.upstreamPool.Probe, Caller: g.peerPool, Neighbours: accounts.Neighbours, Logs: log, Busy: g.sampledLog,
	})
	g.peerServer = peer.NewServer(self.Key)
	if err := g.peerServer.Register(quarantine.ServiceName, quarantine.NewExchange(g.quarantine)); err != nil {
		return nil, err
	}
	if err := g.peerServer.Register(prepaid.ServiceName, prepaid.NewTransfers(g.budgets)); err != nil {
		return nil, err
	}
	g.loadReporter = newLoadReporter(g.peerPool, accounts, g.endpoints.placementTable, clock)
	if err := g.peerServer.Register(loadsServiceName, g.loadReporter); err != nil {
		return nil, err
	}
	g.registerTablesAndMetrics()
	return g, nil
}

// CallersAddr returns the bound callers' address.
func (g *Gateway) CallersAddr() string { return g.callersListener.Addr().String() }

// ReadyAddr returns the bound address of the balancer's question.
func (g *Gateway) ReadyAddr() string { return g.readyListener.Addr().String() }

// OperatorsAddr returns the bound operators' address.
func (g *Gateway) OperatorsAddr() string { return g.operatorsListener.Addr().String() }

func (g *Gateway) listen() error {
	addresses := g.settings.Gateway
	for _, l := range []struct {
		addr     string
		listener *net.Listener
	}{{addresses.Callers, &g.callersListener}, {addresses.Ready, &g.readyListener}, {addresses.Operators, &g.operatorsListener}, {addresses.Peers, &g.peersListener}} {
		config := net.ListenConfig{KeepAliveConfig: keepAliveConfig}
		listener, err := config.Listen(context.Background(), "tcp", l.addr)
		if err != nil {
			return eris.Wrap(err, "gateway: listen; give another address if this one is taken")
		}
		*l.listener = listener
	}
	return nil
}

// keepAliveConfig end callers' connections that fell silent, but outlast a cut of
// some seconds: a ready answer is still delivered after it.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

func (g *Gateway) newCallersServer() *http.Server {
	handler := &forward.Forwarder{
		Zone: g.settings.Gateway.Zone, Codec: g.platform.Codec, State: g.config.Load, Budgets: budgetAdapter{g.budgets},
		Endpoints: g.endpoints.placementTable, Retries: g.retryLimiter, Quarantine: g.quarantine, Pool: g.upstreamPool, Clock: g.clock,
		SendsAway: g.closesCallerConns, Outdated: g.isOutdated, Ends: g.requestCutoffTime, Cut: g.abortingRequests.Load, Log: g.sampledLog, Observe: g.requestObserver(), Placed: g.loadReporter.reportPlacement,
	}
	server := &http.Server{Handler: g.countInFlight(handler), MaxHeaderBytes: maxHeaderBytes, ConnState: g.callerConns.ConnState}
	server.DisableGeneralOptionsHandler = true
	return server
}

func (g *Gateway) newProber() *prober {
	return &prober{endpoints: g.endpoints.placementTable, pool: g.upstreamPool, log: g.sampledLog}
}

// requestCutoffTime is when the instance ends, in the last part of a drain; else zero.
func (g *Gateway) requestCutoffTime() time.Time {
	if at := g.requestCutoff.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// isReady says whether the instance takes callers. Once it was ready it stays
// so while the store is away: it goes on from what it knows.
func (g *Gateway) isReady() bool {
	return !g.isDraining.Load() && !g.linkShedder.Sheds() && !g.isOutdated() && g.config.Load() != nil && g.endpoints.isLoaded.Load() && g.budgets.Loaded() && g.quarantine.Loaded()
}

// closesCallerConns says whether answers ask callers to leave their connections.
func (g *Gateway) closesCallerConns() bool {
	return g.isDraining.Load() || g.isOutdated() || g.linkShedder.SendsAway(g.clock())
}

// isOutdated says whether this instance knows less than others that its callers can reach.
func (g *Gateway) isOutdated() bool {
	linkCongested := g.linkShedder.Crowded()
	return g.stateFreshness.isOutdated(linkCongested) || g.endpoints.freshness.isOutdated(linkCongested)
}

// budgetAdapter gives the keeper's reservations their interface.
type budgetAdapter struct{ controller *prepaid.Keeper }

// Reserve implements forward.Budgets.
func (b budgetAdapter) Reserve(ctx context.Context, team record.Team, tokens int64) (forward.Reservation, error) {
	r, err := b.controller.Reserve(ctx, team, tokens)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// Explain implements forward.Budgets.
func (b budgetAdapter) Explain(team record.Team) prepaid.Balance {
	return b.controller.Book.Balance(team, b.controller.Clock())
}
