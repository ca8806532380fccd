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
	backgroundCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	ctx, cancelServing := context.WithCancel(ctx)
	defer cancelServing()
	servers := []*http.Server{g.newCallersServer(), {Handler: g.readyHandler()}, {Handler: g.operatorsHandler()}}
	listeners := []net.Listener{g.callerConns, g.readyListener, g.operatorsListener}
	var serving, budgetWork, backgroundWork errgroup.Group
	for i, server := range servers {
		server.ReadHeaderTimeout = headerReadTimeout
		serving.Go(func() error {
			defer cancelServing() // An instance that can't serve one of its addresses ends.
			return ignoreServerClosed(server.Serve(listeners[i]))
		})
	}
	backgroundWork.Go(func() error { g.stateFollower().Run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.endpoints.follower().Run(backgroundCtx); return nil })
	budgetWork.Go(func() error { g.budgets.Run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.quarantine.Run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.loadReporter.run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.newProber().run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.runHousekeeping(backgroundCtx); return nil })
	serving.Go(func() error { return g.peerServer.Serve(g.peersListener) })
	g.log.Info().Str("callers", g.callersListener.Addr().String()).Str("zone", g.settings.Gateway.Zone).
		Str("store", g.settings.Store.URL).Msg("gateway: serving")
	<-ctx.Done()
	return g.shutdown(servers, stopBackground, &budgetWork, &backgroundWork, &serving)
}

// runHousekeeping does the housekeeping that time alone brings.
func (g *Gateway) runHousekeeping(ctx context.Context) {
	droppedLines, outdated := int64(0), false
	for ctx.Err() == nil {
		logstore.Pause(ctx, housekeepingInterval, nil)
		droppedLines = g.logDroppedLines(droppedLines)
		outdated = g.logOutdatedChange(outdated)
		g.upstreamPool.Sweep()
		g.updateLinkLoad()
		g.endpoints.sweep()
		g.callerConns.Sweep()
		g.retryLimiter.SetInstances(g.budgets.Book.Instances())
	}
}

// updateLinkLoad sends callers elsewhere while the link is nearly full.
func (g *Gateway) updateLinkLoad() {
	if !g.linkShedder.Look(g.linkMeter.Total(), g.clock()) {
		return
	}
	g.log.Warn().Bool("sheds", g.linkShedder.Sheds()).Float64("load", g.linkShedder.Load()).
		Msg("gateway: callers sent elsewhere, or taken again, for the load of the link")
}

// logOutdatedChange writes a line when the instance becomes outdated or is so no more.
func (g *Gateway) logOutdatedChange(wasOutdated bool) bool {
	outdated := g.isOutdated()
	if outdated != wasOutdated {
		g.log.Warn().Bool("outdated", outdated).Int64("state", g.stateVersion()).Dur("state_age", g.stateFreshness.age()).Dur("endpoints_age", g.endpoints.freshness.age()).
			Msg("gateway: callers refused, or served again, for the age of what is known here")
	}
	return outdated
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// logDroppedLines writes a line when log lines were lost since it was last told; it is
// an error so that it passes itself.
func (g *Gateway) logDroppedLines(logged int64) int64 {
	if g.platform.LinesDropped == nil {
		return logged
	}
	dropped := g.platform.LinesDropped()
	if dropped > logged {
		g.log.Error().Int64("lines", dropped-logged).Msg("logging: lines dropped or thinned")
	}
	return dropped
}
