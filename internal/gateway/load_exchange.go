package gateway

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/endpointload"
	"guavapier/internal/linkload"
	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/placement"
	"guavapier/internal/record"
	"guavapier/internal/registry"
)

const (
	// endpointLoadServiceName is the name under which peer.Server registers a loadService.
	endpointLoadServiceName = "EndpointLoad"
	// exchangeInterval is the pause between two exchanges of an instance with a collector, and
	// exchangeIntervalPerInstance extends it in large zones, so that a collector gets at most
	// 200 calls a second.
	exchangeInterval            = 200 * time.Millisecond
	exchangeIntervalPerInstance = 2500 * time.Microsecond
	// idleExchangeInterval is the least pause of an instance that has no requests under way.
	idleExchangeInterval = 600 * time.Millisecond
	// An exchange is followed by a pause of pausePerDuration times its own duration: an instance
	// whose processor is full makes fewer.
	pausePerDuration = 20
	// maxExchangeInterval is the longest pause, and that of an instance whose link load is above
	// congestedLink: callers wait there for all that it does besides.
	maxExchangeInterval = 800 * time.Millisecond
	congestedLink       = 0.5
	// exchangeTimeout bounds one call; a later reply is of little use.
	exchangeTimeout = 150 * time.Millisecond
	// maxExchangeTries is how many collectors are called for one exchange.
	maxExchangeTries = 2
	// collectorRetryDelay is how long an instance that did not answer is called only if no
	// other one is left.
	collectorRetryDelay = 2 * time.Second
	// maxKnownProcesses bounds the processes that an exchange remembers.
	maxKnownProcesses = 64
	// maxZoneLinksAge is the age from which on the load of the zone's links is not known.
	maxZoneLinksAge = 2 * time.Second
)

// ExchangeArgs are the arguments of EndpointLoad.Exchange: what an instance tells of its load.
type ExchangeArgs struct {
	Statement endpointload.Statement `cbor:"1,keyasint"`
	// After is the Version of the last reply of the called process, 0 for none.
	After uint64 `cbor:"2,keyasint"`
}

// ExchangeReply is the reply of EndpointLoad.Exchange: what the called instance knows of all
// others.
type ExchangeReply struct {
	Loads   endpointload.LoadList   `cbor:"1,keyasint"` // Of the other instances.
	Samples endpointload.SampleList `cbor:"2,keyasint"` // Since After.
	Reports endpointload.ReportList `cbor:"3,keyasint"`
	Links   linkload.ZoneLinks      `cbor:"4,keyasint"` // Of the called instance's zone.
	Version uint64                  `cbor:"5,keyasint"`
	// Instances is how many instances Loads covers, with the one that asks.
	Instances int `cbor:"6,keyasint"`
}

// loadService receives the loads of other instances, as a collector.
type loadService struct {
	name, zone string // Of this instance.
	started    int64  // In Unix milliseconds.
	table      *endpointload.Table
	clock      func() time.Duration
	partSeq    atomic.Uint64 // Of the last message to another collector.
}

// Exchange records an instance's load and returns those of the others. It is called as
// EndpointLoad.Exchange.
func (s *loadService) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	now := s.clock()
	s.table.TellMember(args.Statement, now)
	sender := args.Statement.Sender.Name
	reply.Loads = s.table.Others(sender, now)
	reply.Samples, reply.Reports, reply.Version = s.table.News(args.After, sender, false, now)
	reply.Links, reply.Instances = s.table.Links(s.zone, now), s.table.CountInstances(now)
	return nil
}

// loadExchange tells a collector of the own availability zone what this instance has under way at
// the endpoints, and gives placement what it answers of all others. Without an answer placement
// goes by what this instance knows itself.
type loadExchange struct {
	name, zone string // Of this instance.
	isNeeded   func() bool
	caller     peer.Caller
	service    *loadService
	endpoints  *placement.Table
	// listChanges counts the changes of the list of endpoints.
	listChanges func() uint64
	keys        endpointKeys // Used by run only.
	linkLoad    func() (load float64, shedding bool)
	clock       func() time.Duration
	log         zerolog.Logger
	collectors  atomic.Pointer[endpointload.Collectors]

	made, failed atomic.Int64 // Exchanges.

	mu        sync.Mutex // Guards the fields below.
	seq       uint64
	versions  map[record.InstanceID]uint64        // Of the last reply of each process.
	failedAt  map[record.InstanceID]time.Duration // Of those whose last call failed.
	updatedAt time.Duration                       // Of the last reply; 0 for none.
	loads     map[string]endpointload.Load        // Of the other instances, by endpoint.
	reports   map[string]timedReport              // The newest ones, by endpoint.
	links     linkload.ZoneLinks
}

// newLoadExchange returns an exchange that does nothing before run. Register its service at a
// peer.Server.
func newLoadExchange(self registry.Details, name string, started int64, caller peer.Caller, endpoints *placement.Table, clock func() time.Duration, log zerolog.Logger) *loadExchange {
	x := &loadExchange{
		name: name, zone: self.Zone, isNeeded: func() bool { return true }, caller: caller, endpoints: endpoints, clock: clock, log: log,
		service:  &loadService{name: name, zone: self.Zone, started: started, table: endpointload.NewTable(), clock: clock},
		linkLoad: func() (float64, bool) { return 0, false }, listChanges: func() uint64 { return 0 },
		reports: map[string]timedReport{}, versions: map[record.InstanceID]uint64{}, failedAt: map[record.InstanceID]time.Duration{},
	}
	x.setInstances(self, nil)
	return x
}

// addLoadExchange adds the exchange of loads, which takes place in large fleets for which the
// settings switch it on. A small one tells every prompt to all; see loadReporter.
func (g *Gateway) addLoadExchange(started int64, endpoints *placement.Table) error {
	x := newLoadExchange(g.registry.Details, g.settings.Gateway.Name, started, g.streamOrigins.pool, endpoints, g.clock, g.sampledLog)
	x.isNeeded = func() bool { return g.settings.Load.Exchange && g.budgets.Accounts.NeedsAllocators() }
	x.listChanges = g.endpoints.changes.Load
	x.linkLoad = func() (float64, bool) { return g.linkShedder.Load(), g.linkShedder.IsShedding() }
	g.loadExchange, g.loadParts, g.reportReader = x, newLoadParts(x), newReportReader(x, g.upstreamPool, g.platform, g.sampledLog)
	return g.peerServer.Register(endpointLoadServiceName, x.service)
}

// setInstances sets the fleet's instances, of which self is this one.
func (x *loadExchange) setInstances(self registry.Details, others map[string]registry.Details) {
	fleet := []endpointload.Instance{{Name: x.name, Zone: self.Zone, Process: self.Process, LinkMbps: self.LinkMbps}}
	for name, details := range others {
		fleet = append(fleet, endpointload.Instance{Name: name, Zone: details.Zone, Process: details.Process, LinkMbps: details.LinkMbps})
	}
	collectors := endpointload.NewCollectors(fleet)
	x.collectors.Store(&collectors)
}

// run makes exchanges until ctx ends.
func (x *loadExchange) run(ctx context.Context) {
	last := lastExchange{isIdle: true}
	for ctx.Err() == nil {
		logstore.Pause(ctx, last.pause(x.collectors.Load().ZoneSize(x.zone)), nil)
		if x.isNeeded() {
			start := x.clock()
			last.isIdle = x.exchange(ctx)
			last.took = x.clock() - start
			last.linkLoad, _ = x.linkLoad()
			last.isUnused = !x.endpoints.UsesOthersLoads()
		}
	}
}

// lastExchange is what the pause before the next exchange depends on.
type lastExchange struct {
	isIdle   bool // The instance had no requests under way.
	isUnused bool // No request is placed by the loads of other instances.
	took     time.Duration
	linkLoad float64 // Utilisation of the instance's link.
}

// pause returns the pause before the next exchange in a zone of this size. The load that it
// answers: most callers of a zone come to a few instances, whose links they fill.
func (l lastExchange) pause(zoneSize int) time.Duration {
	if l.linkLoad > congestedLink || l.isUnused {
		return maxExchangeInterval
	}
	pause := max(exchangeInterval, time.Duration(zoneSize)*exchangeIntervalPerInstance, l.took*pausePerDuration)
	if l.isIdle {
		pause = max(pause, idleExchangeInterval)
	}
	return min(pause, maxExchangeInterval)
}

// exchange tells the first collector that answers this instance's load, and applies its reply. It
// reports whether there was no load to tell.
func (x *loadExchange) exchange(ctx context.Context) (isIdle bool) {
	x.keys.update(x.endpoints, x.listChanges())
	statement := x.statement()
	for _, collector := range x.callOrder() {
		reply, err := x.call(ctx, collector, statement)
		if err == nil {
			x.made.Add(1)
			x.apply(collector.Process, reply)
			return len(statement.Loads) == 0
		}
		if ctx.Err() != nil {
			break
		}
		x.recordFailure(collector, err)
	}
	x.failed.Add(1)
	return len(statement.Loads) == 0
}

// statement returns what this instance tells of its load.
func (x *loadExchange) statement() endpointload.Statement {
	x.mu.Lock()
	x.seq++
	seq := x.seq
	x.mu.Unlock()
	s := endpointload.Statement{Sender: endpointload.Sender{Name: x.name, Started: x.service.started, Seq: seq}, Links: endpointload.LinkSum{Instances: 1}}
	load, shedding := x.linkLoad()
	s.Links.Load = load
	if shedding {
		s.Links.Shedding = 1
	}
	for id, load := range x.endpoints.OwnLoads(x.clock()) {
		if key, ok := x.keys.keys[id]; ok {
			s.Loads = append(s.Loads, endpointload.KeyedLoad{Key: key, Load: load})
		}
	}
	samples := x.endpoints.TakeSamples()
	if load > congestedLink {
		samples = nil // They tell of the own link rather than of the endpoints.
	}
	for _, sample := range samples {
		if key, ok := x.keys.keys[sample.Endpoint]; ok {
			s.Samples = append(s.Samples, endpointload.KeyedSample{Key: key, Tokens: int64(sample.Tokens), TTFT: sample.TTFT})
		}
	}
	return s
}

// callOrder returns the collectors to try, those that did not answer lately last.
func (x *loadExchange) callOrder() []endpointload.Instance {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock()
	var order, silent []endpointload.Instance
	for _, i := range x.collectors.Load().For(x.zone, x.name) {
		if at, failed := x.failedAt[i.Process]; failed && now-at < collectorRetryDelay {
			silent = append(silent, i)
		} else {
			order = append(order, i)
		}
	}
	order = append(order, silent...)
	return order[:min(len(order), maxExchangeTries)]
}

// call makes an exchange with one instance, which may be this one.
func (x *loadExchange) call(ctx context.Context, collector endpointload.Instance, s endpointload.Statement) (ExchangeReply, error) {
	x.mu.Lock()
	args := ExchangeArgs{Statement: s, After: x.versions[collector.Process]}
	x.mu.Unlock()
	var reply ExchangeReply
	if collector.Name == x.name {
		return reply, x.service.Exchange(args, &reply)
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	err := x.caller.Call(ctx, collector.Process, endpointLoadServiceName+".Exchange", args, &reply)
	return reply, err
}

// recordFailure records that an instance did not answer.
func (x *loadExchange) recordFailure(collector endpointload.Instance, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.failedAt[collector.Process] = x.clock()
	x.log.Info().Err(err).Str("instance", collector.Name).Msg("loads: collector not reached")
}

// apply gives placement what a collector has answered.
func (x *loadExchange) apply(from record.InstanceID, reply ExchangeReply) {
	now := x.clock()
	x.mu.Lock()
	if len(x.versions) > maxKnownProcesses {
		clear(x.versions)
		clear(x.failedAt)
	}
	x.versions[from] = reply.Version
	delete(x.failedAt, from)
	x.mu.Unlock()
	if reply.Instances <= 1 { // A collector that was told nothing yet, or this instance, alone.
		return
	}
	loads := make(map[string]endpointload.Load, len(reply.Loads))
	for _, l := range reply.Loads {
		if id, ok := x.keys.ids[l.Key]; ok {
			loads[id] = l.Load
		}
	}
	x.endpoints.SetOthersLoads(loads, now)
	var samples []endpointload.Sample
	for _, s := range reply.Samples {
		if id, ok := x.keys.ids[s.Key]; ok {
			samples = append(samples, endpointload.Sample{Endpoint: id, Tokens: float64(s.Tokens), TTFT: s.TTFT})
		}
	}
	x.endpoints.ObserveSamples(samples)
	reports := map[string]endpointload.Report{}
	for _, r := range reply.Reports {
		if id, ok := x.keys.ids[r.Key]; ok {
			reports[id] = r.Report
		}
	}
	x.endpoints.SetReports(reports, now)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.updatedAt, x.loads, x.links = now, loads, reply.Links
	maps.DeleteFunc(x.reports, func(_ string, r timedReport) bool { return now-r.madeAt > maxShownReportAge })
	for id, r := range reports {
		x.reports[id] = timedReport{Report: r, madeAt: now - r.Age}
	}
}

// zoneLinks returns the load of the links of the zone's instances; not known if no collector has
// answered lately.
func (x *loadExchange) zoneLinks() linkload.ZoneLinks {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.updatedAt == 0 || x.clock()-x.updatedAt > maxZoneLinksAge {
		return linkload.ZoneLinks{}
	}
	return x.links
}
