package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"guavapier/internal/discovery"
	"guavapier/internal/logstore"
	"guavapier/internal/placement"
	"guavapier/internal/upstream"
)

const (
	// probeInterval is the pause between two rounds of probes. An endpoint that has become
	// reachable gets requests again within about this time.
	probeInterval = 250 * time.Millisecond
	// maxConcurrentProbes bounds the connections being tried at the same time.
	maxConcurrentProbes = 16
)

// prober tries to connect to unreachable endpoints, so that no caller's request has to find
// out whether they are reachable again.
type prober struct {
	endpoints *placement.Table
	pool      *upstream.Pool
	clock     func() time.Duration
	log       zerolog.Logger
}

// run probes all unreachable endpoints in rounds until ctx ends.
func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, probeInterval, nil)
		var round errgroup.Group
		round.SetLimit(maxConcurrentProbes)
		for _, e := range p.endpoints.Unreachable() {
			round.Go(func() error { p.probe(ctx, e); return nil })
		}
		_ = round.Wait()
	}
}

// probe tries to connect to one endpoint. On success the endpoint is used again and the
// connection is kept for requests.
func (p *prober) probe(ctx context.Context, e discovery.Endpoint) {
	if err := p.pool.Probe(ctx, e.ID, e.Address); err != nil {
		return // Still unreachable; the attempt that found out was logged.
	}
	p.endpoints.MarkReachable(e.ID, p.clock())
	p.log.Info().Str("endpoint", e.ID).Str("address", e.Address).Msg("gateway: endpoint reachable again")
}
