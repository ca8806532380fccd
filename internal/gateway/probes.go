package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/discovery"
	"guavapier/internal/logstore"
	"guavapier/internal/placement"
	"guavapier/internal/upstream"
)

const (
	// probeInterval is the pause between two rounds of probes. If few endpoints have to be
	// probed, one that has become reachable gets requests again within about this time.
	probeInterval = 250 * time.Millisecond
	// maxLinkProbes and maxTunnelProbes bound the probes of a round by the own link and by all
	// ways. The latter cost other instances a connection each.
	maxLinkProbes   = 16
	maxTunnelProbes = 4
	// linkProbeTimeout bounds one probe by the own link, so that one whose packets were lost
	// does not delay the next.
	linkProbeTimeout = 500 * time.Millisecond
	// minSuspects and suspectsShare are how many links a round checks after a tunnel was needed,
	// of endpoints that have not answered for recentAnswer: an instance's links are often lost
	// together, and idle connections don't show it.
	minSuspects   = 4
	suspectsShare = 0.25
	recentAnswer  = 200 * time.Millisecond
)

// prober tries to connect to endpoints that can't be reached, by the own link or at all, so
// that no caller's request has to find out whether they are reachable again.
type prober struct {
	endpoints *placement.Table
	pool      *upstream.Pool
	direct    upstream.DialFunc // By the own link only.
	clock     func() time.Duration
	log       zerolog.Logger
	suspicion atomic.Bool // A tunnel was needed since the last round.

	byLink, byAllWays rotation
	mu                sync.Mutex      // Guards probed.
	probed            map[string]bool // IDs of the endpoints that are being probed.
	running           sync.WaitGroup
}

// newProber returns a prober that does nothing before run.
func newProber(endpoints *placement.Table, pool *upstream.Pool, direct upstream.DialFunc, clock func() time.Duration, log zerolog.Logger) *prober {
	return &prober{endpoints: endpoints, pool: pool, direct: direct, clock: clock, log: log, probed: map[string]bool{}}
}

// onTunnelOpened makes the prober check links that may be lost too.
func (p *prober) onTunnelOpened() { p.suspicion.Store(true) }

// run probes endpoints until ctx ends.
func (p *prober) run(ctx context.Context) {
	defer p.running.Wait()
	for ctx.Err() == nil {
		logstore.Pause(ctx, probeInterval, nil)
		p.startRound(ctx)
	}
}

// startRound probes endpoints that need it. Those that are probed by all ways are probed by
// the own link first.
func (p *prober) startRound(ctx context.Context) {
	if p.suspicion.Swap(false) {
		for _, e := range p.endpoints.UnconfirmedLinks(minSuspects, suspectsShare, recentAnswer, p.clock()) {
			p.start(e, func() { p.probeLink(ctx, e) })
		}
	}
	for _, e := range p.byAllWays.next(p.endpoints.Unreachable(), maxTunnelProbes) {
		p.start(e, func() { p.probeAllWays(ctx, e) })
	}
	for _, e := range p.byLink.next(p.endpoints.WithoutLink(), maxLinkProbes) {
		p.start(e, func() { p.probeLink(ctx, e) })
	}
}

// start runs a probe unless one of the endpoint is running.
func (p *prober) start(e discovery.Endpoint, probe func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probed[e.ID] {
		return
	}
	p.probed[e.ID] = true
	p.running.Go(func() {
		probe()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.probed, e.ID)
	})
}

// probeLink tries to connect to one endpoint by the own link, and reports whether it could.
func (p *prober) probeLink(ctx context.Context, e discovery.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, linkProbeTimeout)
	defer cancel()
	if p.pool.ProbeWith(ctx, p.direct, e.ID, e.Address) != nil {
		return false
	}
	p.recordSuccess(e)
	return true
}

// probeAllWays tries to connect to one endpoint by a lost link, which the pool would not try,
// and then as a request would.
func (p *prober) probeAllWays(ctx context.Context, e discovery.Endpoint) {
	if !p.endpoints.HasLink(e.ID) && p.probeLink(ctx, e) {
		return
	}
	p.probe(ctx, e)
}

// probe tries to connect to one endpoint, by the own link or through other instances.
func (p *prober) probe(ctx context.Context, e discovery.Endpoint) {
	if err := p.pool.Probe(ctx, e.ID, e.Address); err != nil {
		p.endpoints.RecordProbeFailure(e.ID) // Not logged: the attempt that found out was.
		return
	}
	p.recordSuccess(e)
}

// recordSuccess marks an endpoint as reachable. The probe's connection is kept for requests.
func (p *prober) recordSuccess(e discovery.Endpoint) {
	if !p.endpoints.MarkReachable(e.ID, p.clock()) {
		return
	}
	p.log.Info().Str("endpoint", e.ID).Str("address", e.Address).Msg("gateway: endpoint reachable again")
}

// rotation chooses endpoints to probe in turn, so that a bound on their number leaves none out.
// The zero value is ready for use.
type rotation struct {
	count  int            // Endpoints chosen so far.
	chosen map[string]int // The count when each endpoint of the last list was last chosen.
}

// next returns at most n endpoints of the list, those chosen longest ago first.
func (r *rotation) next(list []discovery.Endpoint, n int) []discovery.Endpoint {
	previous := r.chosen
	slices.SortFunc(list, func(a, b discovery.Endpoint) int {
		return cmp.Or(cmp.Compare(previous[a.ID], previous[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	r.chosen = make(map[string]int, len(list))
	for i, e := range list {
		r.chosen[e.ID] = previous[e.ID]
		if i < n {
			r.count++
			r.chosen[e.ID] = r.count
		}
	}
	return list[:min(n, len(list))]
}
