package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"guavapier/internal/logstore"
)

// Run serves until ctx ends, then drains. It returns within the drain's time
// whatever hangs; what still runs then ends with the process.
func (g *Gateway) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctx, ended := context.WithCancel(ctx)
	defer ended()
	servers := []*http.Server{g.callersServer(), {Handler: g.readyHandler()}, {Handler: g.operatorsHandler()}}
	listeners := []net.Listener{g.conns, g.ready, g.operators}
	var serving, budgeting, work errgroup.Group
	for i, server := range servers {
		server.ReadHeaderTimeout = headerWithin
		serving.Go(func() error {
			defer ended() // An instance that can't serve one of its addresses ends.
			return ignoreClosed(server.Serve(listeners[i]))
		})
	}
	work.Go(func() error { g.stateFollower().Run(background); return nil })
	work.Go(func() error { g.endpoints.follower().Run(background); return nil })
	budgeting.Go(func() error { g.keeper.Run(background); return nil })
	work.Go(func() error { g.held.Run(background); return nil })
	work.Go(func() error { g.loads.run(background); return nil })
	work.Go(func() error { g.prober().run(background); return nil })
	work.Go(func() error { g.sweep(background); return nil })
	serving.Go(func() error { return g.answers.Serve(g.peers) })
	g.log.Info().Str("callers", g.callers.Addr().String()).Str("zone", g.settings.Gateway.Zone).
		Str("store", g.settings.Store.URL).Msg("gateway: serving")
	<-ctx.Done()
	return g.end(servers, stop, &budgeting, &work, &serving)
}

// sweep does the housekeeping that time alone brings.
func (g *Gateway) sweep(ctx context.Context) {
	lost, outdated := int64(0), false
	for ctx.Err() == nil {
		logstore.Pause(ctx, sweepEvery, nil)
		lost = g.tellLost(lost)
		outdated = g.tellOutdated(outdated)
		g.pool.Sweep()
		g.watchLink()
		g.endpoints.sweep()
		g.conns.Sweep()
		g.retries.SetInstances(g.keeper.Accounts.Instances())
	}
}

// watchLink sends callers elsewhere while the link is nearly full.
func (g *Gateway) watchLink() {
	if !g.shedder.Look(g.meter.Total(), g.clock()) {
		return
	}
	g.log.Warn().Bool("sheds", g.shedder.Sheds()).Float64("load", g.shedder.Load()).
		Msg("gateway: callers sent elsewhere, or taken again, for the load of the link")
}

// tellOutdated writes a line when the instance becomes outdated or is so no more.
func (g *Gateway) tellOutdated(told bool) bool {
	outdated := g.outdated()
	if outdated != told {
		g.log.Warn().Bool("outdated", outdated).Int64("state", g.version()).Dur("state_age", g.stateFresh.age()).Dur("endpoints_age", g.endpoints.fresh.age()).
			Msg("gateway: callers refused, or served again, for the age of what is known here")
	}
	return outdated
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// tellLost writes a line when log lines were lost since it was last told; it is
// an error so that it passes itself.
func (g *Gateway) tellLost(told int64) int64 {
	if g.platform.LinesDropped == nil {
		return told
	}
	now := g.platform.LinesDropped()
	if now > told {
		g.log.Error().Int64("lines", now-told).Msg("logging: lines dropped or thinned")
	}
	return now
}
