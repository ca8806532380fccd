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
	// probeInterval is the pause between two rounds of connections to endpoints
	// that could not be reached: callers are back at one that is within it.
	probeInterval = 250 * time.Millisecond
	// maxConcurrentProbes bounds the connections that are tried at once.
	maxConcurrentProbes = 16
)

// prober finds out when endpoints that could not be reached can be again, so
// that no caller's request has to.
type prober struct {
	endpoints *placement.Table
	pool      *upstream.Pool
	log       zerolog.Logger
}

// run probes until ctx ends.
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

func (p *prober) probe(ctx context.Context, e discovery.Endpoint) {
	if err := p.pool.Probe(ctx, e.ID, e.Address); err != nil {
		return // Still so; the log has the attempt that found out.
	}
	p.endpoints.Reached(e.ID)
	p.log.Info().Str("endpoint", e.ID).Str("address", e.Address).Msg("gateway: endpoint reachable again")
}
