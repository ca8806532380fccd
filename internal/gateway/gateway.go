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
	// dialWithin is how long a request waits for a connection to an endpoint: round
	// trips take under 10 ms, and one that takes longer is refused faster elsewhere.
	dialWithin = 300 * time.Millisecond
	// dialLast bounds the connection itself: a full link may hold packets for half a
	// second each way.
	dialLast = 1200 * time.Millisecond
	// idleFor is how long a connection to an endpoint is kept where it
	// announces nothing.
	idleFor = 2 * time.Second
	// silentFor is how long an endpoint's host may leave our bytes
	// unacknowledged.
	silentFor = time.Second
	// headerWithin bounds a caller's head; the desired state's limit is lower
	// and callers keep to it.
	headerWithin = 10 * time.Second
	// headerBytes bounds a caller's head.
	headerBytes = 64 << 10
	// idleCallers closes callers' connections where the desired state says nothing.
	idleCallers = 2 * time.Minute
	// assumedInstances shares the retry budget until the others are known.
	assumedInstances = 16
	// sweepEvery is the pause between two rounds of housekeeping.
	sweepEvery = 250 * time.Millisecond
	// memoryShare is the share of the memory limit above which the collector
	// runs more often; the rest is for buffers outside the heap.
	memoryShare = 0.8
)

// Gateway is one instance.
type Gateway struct {
	settings settings.Gateway
	platform Platform
	log      zerolog.Logger
	busyLog  zerolog.Logger // For lines that come with load; thinned.
	clock    func() time.Duration

	config     atomic.Pointer[route.Config]
	stateFresh *freshness
	endpoints  *endpoints
	keeper     *prepaid.Controller
	loads      *loads
	calls      *peer.Pool   // To other instances.
	answers    *peer.Server // Their calls.
	retries    *retry.Keeper
	held       *quarantine.Keeper // Requests that are not to be sent.
	meter      linkload.Meter
	shedder    *linkload.Shedder
	pool       *upstream.Pool
	conns      *callers.Connections // Those of callers.
	gone       time.Time            // When the process is to be gone; set by end.
	draining   atomic.Bool
	ends       atomic.Pointer[time.Time] // Set in the last part of a drain.
	cut        atomic.Bool               // Callers' connections are being closed under way.
	underWay   atomic.Int64              // Callers' requests.
	metrics    *metrics.Registry
	tables     *state.Registry

	callers, ready, operators, peers net.Listener
}

// New puts an instance together and binds its addresses.
func New(s settings.Gateway, p Platform, log zerolog.Logger) (*Gateway, error) {
	debug.SetMemoryLimit(int64(float64(s.Gateway.MemoryMB<<20) * memoryShare))
	clock := bootClock()
	g := &Gateway{
		settings: s, platform: p, log: log, busyLog: log.Sample(p.Thin), clock: clock, metrics: metrics.New(), tables: state.New(),
		shedder: linkload.NewShedder(s.Gateway.LinkMbps),
		retries: retry.NewKeeper(retry.Budget{
			Ratio: s.Retries.Ratio, Extra: float64(s.Retries.Extra), Window: s.Retries.Window.D(),
		}, assumedInstances),
	}
	g.stateFresh = newFreshness(s.Store.StateWithin.D(), clock)
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.pool = upstream.NewPool(upstream.Options{
		DialWithin: dialWithin, DialLast: dialLast, IdleFor: idleFor, Dial: g.meter.Dial(upstream.TCP(silentFor)),
	})
	g.conns = callers.New(g.callers.(*net.TCPListener), idleCallers, &g.meter)
	p.Store = countedStore{p.Store, g.metrics}
	g.platform = p
	g.endpoints = newEndpoints(p, s.Store, placement.New(uint64(time.Now().UnixNano())), g.pool, clock, g.busyLog, log)
	peers := g.peers.Addr().String()
	self := prepaid.Identity{
		Key: record.NewInstanceID(s.Gateway.Name), Node: s.Gateway.Name + "@" + peers,
		Started: time.Now().UnixMilli(), Peer: peers, Zone: s.Gateway.Zone,
	}
	book := prepaid.NewAccounts(self, prepaid.DefaultPolicy(), hostClocks(log))
	zone := allocator.New(allocator.Self{Key: self.Key, Peer: peers, Zone: self.Zone, LinkMbps: s.Gateway.LinkMbps})
	g.calls = peer.NewPool(self.Key, book, peer.Options{})
	g.keeper = prepaid.NewController(book, zone, prepaid.NewPeers(g.calls, g.busyLog), p.Store, clock, log)
	g.held = quarantine.NewKeeper(quarantine.Options{
		Self: self.Key, Log: p.Store, Probe: g.pool.Probe, Caller: g.calls, Neighbours: book.Neighbours, Logs: log, Busy: g.busyLog,
	})
	g.answers = peer.NewServer(self.Key)
	if err := g.answers.Register(quarantine.ServiceName, quarantine.NewExchange(g.held)); err != nil {
		return nil, err
	}
	if err := g.answers.Register(prepaid.ServiceName, prepaid.NewTransfers(g.keeper)); err != nil {
		return nil, err
	}
	g.loads = newLoads(g.calls, book, g.endpoints.placed, clock)
	if err := g.answers.Register(loadsService, g.loads); err != nil {
		return nil, err
	}
	g.registerTables()
	return g, nil
}

// CallersAddr returns the bound callers' address.
func (g *Gateway) CallersAddr() string { return g.callers.Addr().String() }

// ReadyAddr returns the bound address of the balancer's question.
func (g *Gateway) ReadyAddr() string { return g.ready.Addr().String() }

// OperatorsAddr returns the bound operators' address.
func (g *Gateway) OperatorsAddr() string { return g.operators.Addr().String() }

func (g *Gateway) listen() error {
	in := g.settings.Gateway
	for _, l := range []struct {
		addr string
		into *net.Listener
	}{{in.Callers, &g.callers}, {in.Ready, &g.ready}, {in.Operators, &g.operators}, {in.Peers, &g.peers}} {
		config := net.ListenConfig{KeepAliveConfig: callerProbes}
		listener, err := config.Listen(context.Background(), "tcp", l.addr)
		if err != nil {
			return eris.Wrap(err, "gateway: listen; give another address if this one is taken")
		}
		*l.into = listener
	}
	return nil
}

// callerProbes end callers' connections that fell silent, but outlast a cut of
// some seconds: a ready answer is still delivered after it.
var callerProbes = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

func (g *Gateway) callersServer() *http.Server {
	handler := &forward.Forwarder{
		Zone: g.settings.Gateway.Zone, Codec: g.platform.Codec, State: g.config.Load, Budgets: budgets{g.keeper},
		Endpoints: g.endpoints.placed, Retries: g.retries, Quarantine: g.held, Pool: g.pool, Clock: g.clock,
		SendsAway: g.sendsAway, Outdated: g.outdated, Ends: g.endsAt, Cut: g.cut.Load, Log: g.busyLog, Observe: g.observer(), Placed: g.loads.placed,
	}
	server := &http.Server{Handler: g.counting(handler), MaxHeaderBytes: headerBytes, ConnState: g.conns.ConnState}
	server.DisableGeneralOptionsHandler = true
	return server
}

func (g *Gateway) prober() *probes {
	return &probes{table: g.endpoints.placed, pool: g.pool, log: g.busyLog}
}

// endsAt is when the instance ends, in the last part of a drain; else zero.
func (g *Gateway) endsAt() time.Time {
	if at := g.ends.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// isReady says whether the instance takes callers. Once it was ready it stays
// so while the store is away: it goes on from what it knows.
func (g *Gateway) isReady() bool {
	return !g.draining.Load() && !g.shedder.Sheds() && !g.outdated() && g.config.Load() != nil && g.endpoints.loaded.Load() && g.keeper.IsLoaded() && g.held.Loaded()
}

// sendsAway says whether answers ask callers to leave their connections.
func (g *Gateway) sendsAway() bool {
	return g.draining.Load() || g.outdated() || g.shedder.SendsAway(g.clock())
}

// outdated says whether this instance knows less than others that its callers can reach.
func (g *Gateway) outdated() bool {
	crowded := g.shedder.Crowded()
	return g.stateFresh.outdated(crowded) || g.endpoints.fresh.outdated(crowded)
}

// budgets gives the keeper's reservations their interface.
type budgets struct{ keeper *prepaid.Controller }

// Reserve implements forward.Budgets.
func (b budgets) Reserve(ctx context.Context, team record.Team, tokens int64) (forward.Reservation, error) {
	r, err := b.keeper.Reserve(ctx, team, tokens)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// Explain implements forward.Budgets.
func (b budgets) Explain(team record.Team) prepaid.Balance {
	return b.keeper.Accounts.Balance(team, b.keeper.Clock())
}
