package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/endpointload"
	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
)

const (
	// partInterval is the pause between two exchanges of the collectors of one availability zone,
	// partIntervalBetweenZones that of collectors of different zones, between which traffic costs more.
	partInterval             = 200 * time.Millisecond
	partIntervalBetweenZones = 400 * time.Millisecond
	// partTimeout bounds one call.
	partTimeout = 300 * time.Millisecond
)

// PartMessage is the arguments and the reply of EndpointLoad.ExchangeParts: the sum over the
// members of the collector that sends it.
type PartMessage struct {
	Zone      string                 `cbor:"1,keyasint"`
	Statement endpointload.Statement `cbor:"2,keyasint"`
	// Version is that of the sender's table, After the Version of the last message of the
	// receiver's process, 0 for none.
	Version uint64 `cbor:"3,keyasint"`
	After   uint64 `cbor:"4,keyasint"`
}

// ExchangeParts records the sum of another collector and returns that of this one. It is called as
// EndpointLoad.ExchangeParts.
func (s *loadService) ExchangeParts(args PartMessage, reply *PartMessage) error {
	s.table.TellPart(args.Zone, args.Statement, s.clock())
	s.fillPart(reply, args.After, args.Statement.Sender.Name)
	return nil
}

// fillPart sets what this collector tells another one that has got its version after.
func (s *loadService) fillPart(m *PartMessage, after uint64, to string) {
	now := s.clock()
	m.Zone = s.zone
	m.Statement.Sender = endpointload.Sender{Name: s.name, Started: s.started, Seq: s.partSeq.Add(1)}
	m.Statement.Loads, m.Statement.Links = s.table.Part(now)
	m.Statement.Samples, m.Statement.Reports, m.Version = s.table.News(after, to, true, now)
}

// loadParts exchanges the sums of collectors over their members. Each pair of collectors makes one
// call for both directions.
type loadParts struct {
	exchange *loadExchange
	caller   peer.Caller
	log      zerolog.Logger

	mu        sync.Mutex                          // Guards the fields below.
	versions  map[record.InstanceID]uint64        // Of the last message of each process that was called.
	told      map[record.InstanceID]uint64        // The own version of the last message that it got.
	nextCalls map[record.InstanceID]time.Duration // When each process is called next.
	calls     sync.WaitGroup
}

// newLoadParts returns parts that are not exchanged before run.
func newLoadParts(exchange *loadExchange) *loadParts {
	return &loadParts{
		exchange: exchange, caller: exchange.caller, log: exchange.log,
		versions: map[record.InstanceID]uint64{}, told: map[record.InstanceID]uint64{}, nextCalls: map[record.InstanceID]time.Duration{},
	}
}

// run exchanges parts until ctx ends.
func (p *loadParts) run(ctx context.Context) {
	defer p.calls.Wait()
	for ctx.Err() == nil {
		logstore.Pause(ctx, partInterval, nil)
		if p.exchange.isNeeded() {
			p.startCalls(ctx)
		}
	}
}

// startCalls calls the collectors whose turn it is.
func (p *loadParts) startCalls(ctx context.Context) {
	now := p.exchange.clock()
	for _, other := range p.targets(now) {
		interval := partIntervalBetweenZones
		if other.Zone == p.exchange.zone {
			interval = partInterval
		}
		if p.tryStart(other.Process, now, interval) {
			p.calls.Go(func() { p.call(ctx, other) })
		}
	}
}

// targets returns the collectors that this instance calls: none if no instance tells it its load
// and it is no collector, all others if it stands in for one, else those whose names come after
// its own.
func (p *loadParts) targets(now time.Duration) []endpointload.Instance {
	x := p.exchange
	collectors := x.collectors.Load()
	isCollector := collectors.IsCollector(x.zone, x.name)
	if !isCollector && !x.service.table.HasMembers(x.name, now) {
		return nil
	}
	var targets []endpointload.Instance
	for _, other := range collectors.All() {
		if other.Name != x.name && (!isCollector || x.name < other.Name) {
			targets = append(targets, other)
		}
	}
	return targets
}

// tryStart reports whether a process is to be called now, and sets the time of the next call, a
// little early since the pauses of run are never shorter than partInterval.
func (p *loadParts) tryStart(to record.InstanceID, now, interval time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.nextCalls[to] {
		return false
	}
	if len(p.nextCalls) > maxKnownProcesses {
		clear(p.nextCalls)
		clear(p.versions)
		clear(p.told)
	}
	p.nextCalls[to] = now + interval - partInterval/4
	return true
}

// call exchanges parts with one collector.
func (p *loadParts) call(ctx context.Context, to endpointload.Instance) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	p.mu.Lock()
	args := PartMessage{After: p.versions[to.Process]}
	told := p.told[to.Process]
	p.mu.Unlock()
	p.exchange.service.fillPart(&args, told, to.Name)
	var reply PartMessage
	if err := p.caller.Call(ctx, to.Process, endpointLoadServiceName+".ExchangeParts", args, &reply); err != nil {
		p.mu.Lock()
		p.nextCalls[to.Process] = p.exchange.clock() + collectorRetryDelay
		p.mu.Unlock()
		p.log.Info().Err(err).Str("instance", to.Name).Str("zone", to.Zone).Msg("loads: sums not exchanged with a collector")
		return
	}
	p.exchange.service.table.TellPart(reply.Zone, reply.Statement, p.exchange.clock())
	p.mu.Lock()
	p.versions[to.Process], p.told[to.Process] = reply.Version, args.Version
	p.mu.Unlock()
}
