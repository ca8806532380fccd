// Package gateway assembles, runs and drains one instance that serves the callers and
// endpoints of an outside platform. What is specific to the platform, such as its store and
// its headers, is passed in as Platform.
package gateway

import (
	"context"
	"math/rand/v2"
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
	"guavapier/internal/endpointload"
	"guavapier/internal/forward"
	"guavapier/internal/linkload"
	"guavapier/internal/logging"
	"guavapier/internal/logstore"
	"guavapier/internal/membudget"
	"guavapier/internal/metrics"
	"guavapier/internal/origin"
	"guavapier/internal/peer"
	"guavapier/internal/placement"
	"guavapier/internal/prepaid"
	"guavapier/internal/processcheck"
	"guavapier/internal/quarantine"
	"guavapier/internal/record"
	"guavapier/internal/registry"
	"guavapier/internal/retry"
	"guavapier/internal/route"
	"guavapier/internal/settings"
	"guavapier/internal/spool"
	"guavapier/internal/state"
	"guavapier/internal/tokenwait"
	"guavapier/internal/upload"
	"guavapier/internal/upstream"
)

// Platform is what the adapter of the outside platform provides.
type Platform struct {
	Store          logstore.KeyedLog
	DecodeState    func(value []byte) (route.DesiredState, error)
	DecodeEndpoint func(id string, value []byte) (discovery.Endpoint, error)
	// CordonedZone returns the availability zone that is cordoned while a record of this key
	// exists in logstore.TopicState; false if the key is of another kind.
	CordonedZone func(key string) (zone string, ok bool)
	Codec        forward.Codec
	// ReportRequest returns the request for an endpoint's report of its load, and DecodeReport
	// decodes the answer. If nil, no reports are read.
	ReportRequest func(discovery.Endpoint) *upstream.Outgoing
	DecodeReport  func(body []byte) (endpointload.Report, error)
	// LinesDropped returns how many log lines were dropped or rate limited since the start.
	// If nil, they are not reported.
	LinesDropped func() DroppedLines
	// Thin drops log lines that exceed a rate; if nil, none are dropped. Lines about the
	// instance's own lifecycle and its dependencies are not passed to it.
	Thin zerolog.Sampler
	// ThinRoutine does the same for lines about requests that were served well, which are
	// dropped first.
	ThinRoutine zerolog.Sampler
	// ReadyPath is the URL path on which the load balancer asks whether the instance is
	// ready: 200 if so, else 503.
	ReadyPath string
}

// DroppedLines are numbers of log lines that were not written.
type DroppedLines struct {
	Unread     int64 // Dropped because nobody read the output in time.
	Suppressed logging.SuppressedLines
}

// Sum returns the number of all these lines.
func (d DroppedLines) Sum() int64 { return d.Unread + d.Suppressed.Sum() }

const (
	// requestDialTimeout bounds how long a request waits for a connection to an endpoint.
	// Round trips take under 10 ms; if a connection takes this long, trying another endpoint
	// is faster.
	requestDialTimeout = 300 * time.Millisecond
	// maxDialDuration bounds making the connection itself, which continues after the request
	// has given up on it: a congested link may delay packets by half a second each way.
	maxDialDuration = 1200 * time.Millisecond
	// endpointIdleTimeout is how long an idle connection to an endpoint is kept if the
	// endpoint announces no keep-alive timeout.
	endpointIdleTimeout = 2 * time.Second
	// endpointAckTimeout closes a connection to an endpoint whose host leaves sent bytes
	// unacknowledged for this long. A sound one may be silent for over a second.
	endpointAckTimeout = 2500 * time.Millisecond
	// idleEndpointAckTimeout does so while no request is under way on the connection.
	idleEndpointAckTimeout = time.Second
	// headerReadTimeout bounds reading a request's header. The desired state sets a lower
	// limit, which callers keep to.
	headerReadTimeout = 10 * time.Second
	// MaxHeaderBytes bounds a request's header, in bytes.
	MaxHeaderBytes = 64 << 10
	// defaultCallerIdleTimeout closes idle connections of callers if the desired state sets
	// no limit.
	defaultCallerIdleTimeout = 2 * time.Minute
	// initialInstanceCount is the fleet size that divides the retry budget until the other
	// instances are known.
	initialInstanceCount = 16
	// housekeepingInterval is the pause between two rounds of housekeeping.
	housekeepingInterval = 250 * time.Millisecond
	// memoryLimitRatio is the share of gateway.memory_mb that becomes the Go runtime's soft
	// memory limit; the rest is for buffers outside the heap.
	memoryLimitRatio = 0.8
)

// Gateway is one instance: its listeners, its connections and its copies of the fleet's
// shared state.
type Gateway struct {
	settings   settings.Gateway
	platform   Platform
	log        zerolog.Logger
	sampledLog zerolog.Logger // For lines whose number grows with the load; rate limited.
	clock      func() time.Duration

	config           atomic.Pointer[route.Config]
	stateFreshness   *freshness
	endpoints        *endpointTracker
	budgets          *prepaid.Controller
	loadReporter     *loadReporter
	peerPool         *peer.Pool   // Calls to other instances.
	peerServer       *peer.Server // Calls from other instances.
	retryLimiter     *retry.Limiter
	streamOrigins    *streamOrigins
	shareLoans       *shareLoans
	permits          *permits
	processes        *processcheck.Checker
	statements       *statements
	loadExchange     *loadExchange
	loadParts        *loadParts
	reportReader     *reportReader
	quarantine       *quarantine.Syncer // Requests that must not be sent to endpoints.
	registry         *registry.Registry // The fleet's instances.
	linkMeter        linkload.Meter
	linkShedder      *linkload.Shedder
	upstreamPool     *upstream.Pool
	tunnels          *tunnels // Connections to endpoints through other instances.
	prober           *prober  // Of endpoints that can't be reached.
	isolation        isolation
	slowReaders      *spool.Limiter
	uploads          *upload.Limiter
	readiness        *readiness
	callerConns      *callers.Connections // Open connections of callers.
	readyConns       *callers.Connections // Those of the load balancer.
	operatorConns    *callers.Connections
	headMemory       *membudget.Part // For callers' headers.
	exitDeadline     time.Time       // When the process is killed; set by shutdown.
	isDraining       atomic.Bool
	requestCutoff    atomic.Pointer[requestCutoff] // Set at the start of a drain.
	abortingRequests atomic.Bool                   // Requests in flight are being aborted at the end of the drain.
	inFlight         atomic.Int64                  // Number of callers' requests being served.
	metrics          *metrics.Registry
	tables           *state.Registry

	callersListener, readyListener, operatorsListener, peersListener net.Listener
}

// New returns an instance that is bound to its addresses; Run starts it. It fails if an
// address can't be bound.
func New(s settings.Gateway, p Platform, log zerolog.Logger) (*Gateway, error) {
	debug.SetMemoryLimit(int64(float64(s.Gateway.MemoryMB<<20) * memoryLimitRatio))
	clock := newBootClock()
	g := &Gateway{
		settings: s, platform: p, log: log, sampledLog: log.Sample(p.Thin), clock: clock, metrics: metrics.New(), tables: state.New(),
		retryLimiter: retry.NewLimiter(retry.Budget{
			Ratio: s.Retries.Ratio, Extra: float64(s.Retries.Extra), Window: s.Retries.Window.D(),
		}, initialInstanceCount),
	}
	g.divideMemory()
	g.linkShedder = linkload.NewShedder(s.Gateway.LinkMbps, g.zoneLinks)
	contact := &storeContact{}
	g.stateFreshness = newFreshness(s.Store.StateWithin.D(), clock, contact)
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.wrapListeners()
	instance := record.NewInstanceID(s.Gateway.Name)
	placementTable := placement.New(uint64(time.Now().UnixNano()), clock())
	placementTable.SetByTime(byTime(s.Placement))
	if s.Placement.HeldPrompts {
		placementTable.WeighHeldPrompts()
	}
	g.tunnels = g.newTunnels(instance, &links{Table: placementTable, onSilent: func(endpoint string) { g.upstreamPool.CloseIdle(endpoint) }})
	g.upstreamPool = upstream.NewPool(upstream.Options{
		DialWaitTimeout: requestDialTimeout, DialTimeout: maxDialDuration, IdleTimeout: endpointIdleTimeout,
		AckTimeout: endpointAckTimeout, IdleAckTimeout: idleEndpointAckTimeout, Dial: g.tunnels.dialer.Dial,
	})
	g.prober = newProber(placementTable, g.upstreamPool, g.tunnels.dialer.DialDirect, clock, g.sampledLog)
	g.tunnels.dialer.OnOpened = g.prober.onTunnelOpened
	p.Store = instrumentedStore{p.Store, g.metrics}
	g.platform = p
	g.endpoints = newEndpointTracker(p, s.Store, contact, placementTable, g.upstreamPool, clock, g.sampledLog, log)
	peersAddr := g.peersListener.Addr().String()
	self := prepaid.Identity{
		Key: instance, Node: s.Gateway.Name + "@" + peersAddr,
		Started: time.Now().UnixMilli(), Peer: peersAddr, Zone: s.Gateway.Zone,
	}
	accounts := prepaid.NewAccounts(self, prepaid.DefaultPolicy(), hostClocks(log))
	zone := allocator.New(allocator.Self{Key: self.Key, Peer: peersAddr, Zone: self.Zone, LinkMbps: s.Gateway.LinkMbps})
	g.peerPool = peer.NewPool(self.Key, accounts, peer.Options{})
	g.budgets = prepaid.NewController(accounts, zone, prepaid.NewPeers(g.peerPool, g.sampledLog), p.Store, clock, log)
	g.quarantine = quarantine.NewSyncer(quarantine.Options{
		Self: self.Key, Log: p.Store, Probe: newCrashProbe(g.upstreamPool, g.tunnels.dialer), Caller: g.peerPool, Neighbours: accounts.Neighbours, Logger: log, ThinnedLogger: g.sampledLog,
	})
	g.registry = &registry.Registry{
		Log: p.Store, Name: s.Gateway.Name, Logger: log,
		Details:  registry.Details{Process: self.Key, Zone: self.Zone, Peer: peersAddr, LinkMbps: s.Gateway.LinkMbps},
		OnChange: func(names []string) { placementTable.SetInstances(s.Gateway.Name, names) },
		OnDetails: func(others map[string]registry.Details) {
			g.tunnels.setCandidates(others)
			g.streamOrigins.setInstances(others)
			g.loadExchange.setInstances(g.registry.Details, others)
		},
	}
	g.streamOrigins = g.newStreamOrigins(self)
	g.peerServer = peer.NewServer(self.Key)
	g.peerServer.HandleTunnels(g.tunnels.server)
	if err := g.peerServer.Register(quarantine.ServiceName, quarantine.NewPeerService(g.quarantine)); err != nil {
		return nil, err
	}
	if err := g.peerServer.Register(origin.ServiceName, origin.NewPeerService(g.streamOrigins.Tracker)); err != nil {
		return nil, err
	}
	if err := g.peerServer.Register(prepaid.ServiceName, prepaid.NewTransfers(g.budgets)); err != nil {
		return nil, err
	}
	g.loadReporter = newLoadReporter(g.peerPool, accounts, g.endpoints.placementTable, clock)
	if err := g.peerServer.Register(loadsServiceName, g.loadReporter); err != nil {
		return nil, err
	}
	g.shareLoans = &shareLoans{
		name: s.Gateway.Name, caller: g.streamOrigins.pool, instances: g.streamOrigins.names, endpoints: placementTable, clock: clock, log: g.sampledLog,
	}
	if err := g.peerServer.Register(sharesServiceName, g.shareLoans); err != nil {
		return nil, err
	}
	g.permits = &permits{
		caller: g.streamOrigins.pool, instances: g.streamOrigins.names, endpoints: placementTable, clock: clock, log: g.sampledLog, changed: make(chan struct{}),
	}
	if err := g.peerServer.Register(permitsServiceName, g.permits); err != nil {
		return nil, err
	}
	g.processes = g.newProcessChecks(s.Gateway.Zone)
	if err := g.peerServer.Register(processcheck.ServiceName, processcheck.NewService(g.endpoints)); err != nil {
		return nil, err
	}
	g.statements = newStatements(g.streamOrigins.pool, g.streamOrigins.names, placementTable, clock, g.sampledLog)
	if err := g.peerServer.Register(statementsServiceName, g.statements); err != nil {
		return nil, err
	}
	if err := g.addLoadExchange(self.Started, placementTable); err != nil {
		return nil, err
	}
	g.readiness = g.newReadiness()
	g.registerTablesAndMetrics()
	return g, nil
}

// CallersAddr returns the bound address for callers, as IP:port.
func (g *Gateway) CallersAddr() string { return g.callersListener.Addr().String() }

// ReadyAddr returns the bound address for the load balancer's readiness checks, as IP:port.
func (g *Gateway) ReadyAddr() string { return g.readyListener.Addr().String() }

// OperatorsAddr returns the bound address for operators, as IP:port.
func (g *Gateway) OperatorsAddr() string { return g.operatorsListener.Addr().String() }

// listen binds the addresses for callers, readiness checks, operators and other instances.
func (g *Gateway) listen() error {
	addresses := g.settings.Gateway
	for _, l := range []struct {
		addr     string
		listener *net.Listener
	}{{addresses.Callers, &g.callersListener}, {addresses.Ready, &g.readyListener}, {addresses.Operators, &g.operatorsListener}, {addresses.Peers, &g.peersListener}} {
		config := net.ListenConfig{KeepAliveConfig: keepAliveConfig}
		if l.listener != &g.peersListener {
			config.Control = limitReceiveBuffer
		}
		listener, err := config.Listen(context.Background(), "tcp", l.addr)
		if err != nil {
			return eris.Wrap(err, "gateway: listen; configure another address if this one is in use")
		}
		*l.listener = listener
	}
	return nil
}

// keepAliveConfig closes connections whose peer has gone silent, but only after more than a
// network outage of some seconds, so that a finished response can still be delivered after
// it.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

// newCallersServer returns the server for callers, which forwards their requests to
// endpoints.
func (g *Gateway) newCallersServer() *http.Server {
	handler := &forward.Forwarder{
		Zone: g.settings.Gateway.Zone, Codec: g.platform.Codec, State: g.config.Load, Budgets: budgetAdapter{g.budgets},
		Endpoints: g.endpoints.placementTable, Retries: g.retryLimiter, Origins: g.streamOrigins, Quarantine: g.quarantine, Pool: g.upstreamPool, Permits: g.permits, Processes: g.processes, SlowReaders: g.slowReaders, Uploads: g.uploads, OnStatement: g.statements.onStatement, Clock: g.clock,
		ClosesConnections: g.closesCallerConns, IsOutdated: g.isOutdated, ShutdownTime: g.requestCutoffTime, IsForceClosing: g.abortingRequests.Load, Log: g.sampledLog, RoutineLog: g.log.Sample(g.platform.ThinRoutine), OnRequestEnd: g.requestObserver(), OnPlaced: g.loadReporter.reportPlacement,
	}
	server := &http.Server{Handler: g.countInFlight(handler), MaxHeaderBytes: MaxHeaderBytes, ReadHeaderTimeout: headerReadTimeout, ConnState: g.callerConns.ConnState}
	server.DisableGeneralOptionsHandler = true
	return server
}

// requestCutoff is the end of a drain, which binds the requests that arrive from a certain
// time on.
type requestCutoff struct {
	bindsFrom, at time.Time
}

// timeAt returns when requests that arrive at now are aborted, the zero time for never. It
// goes by the clock: a process that was stopped reads requests before its timers fire.
func (c *requestCutoff) timeAt(now time.Time) time.Time {
	if c == nil || now.Before(c.bindsFrom) {
		return time.Time{}
	}
	return c.at
}

// requestCutoffTime returns when requests in flight are aborted, in the last part of a
// drain; before it, the zero time.
func (g *Gateway) requestCutoffTime() time.Time {
	return g.requestCutoff.Load().timeAt(time.Now())
}

// closesCallerConns reports whether responses ask callers to close their connections and so
// to move to another instance.
func (g *Gateway) closesCallerConns() bool {
	return g.isDraining.Load() || g.isOutdated() || g.isolation.isIsolated() || rand.Float64() < g.linkShedder.CloseShare(g.clock())
}

// isOutdated reports whether this instance's copy of the desired state or of the endpoint
// list is older than those of other instances that its callers can reach.
func (g *Gateway) isOutdated() bool {
	link := linkFree
	switch {
	case g.linkShedder.IsFull():
		link = linkFull
	case g.linkShedder.IsCongested():
		link = linkCongested
	}
	return g.stateFreshness.isOutdated(link) || g.endpoints.freshness.isOutdated(link)
}

// budgetAdapter implements forward.Budgets on the controller of prepaid budgets, whose
// reservations have a concrete type.
type budgetAdapter struct{ controller *prepaid.Controller }

// Reserve implements forward.Budgets.
func (b budgetAdapter) Reserve(ctx context.Context, r tokenwait.Request) (forward.Reservation, error) {
	reservation, err := b.controller.ReserveRequest(ctx, r)
	if err != nil {
		return nil, err
	}
	return reservation, nil
}

// Explain implements forward.Budgets.
func (b budgetAdapter) Explain(team record.Team) prepaid.Balance {
	return b.controller.Balance(team)
}
