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
	// probeEvery is the pause between two rounds of connections to endpoints
	// that could not be reached: callers are back at one that is within it.
	probeEvery = 250 * time.Millisecond
	// mostProbes bounds the connections that are tried at once.
	mostProbes = 16
)

// probes finds out when endpoints that could not be reached can be again, so
// that no caller's request has to.
type probes struct {
	table *placement.Table
	pool  *upstream.Pool
	log   zerolog.Logger
}

// run probes until ctx ends.
func (p *probes) run(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, probeEvery, nil)
		var round errgroup.Group
		round.SetLimit(mostProbes)
		for _, e := range p.table.Unreachable() {
			round.Go(func() error { p.probe(ctx, e); return nil })
		}
		_ = round.Wait()
	}
}

func (p *probes) probe(ctx context.Context, e discovery.Endpoint) {
	if err := p.pool.Probe(ctx, e.ID, e.Address); err != nil {
		return // Still so; the log has the attempt that found out.
	}
	p.table.MarkReachable(e.ID)
	p.log.Info().Str("endpoint", e.ID).Str("address", e.Address).Msg("gateway: endpoint reachable again")
}
