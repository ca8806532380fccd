package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"guavapier/internal/logstore"
)

// Run serves until ctx ends or one of its HTTP servers fails, then drains. It returns within
// the drain timeout even if a step hangs; what is still running then ends with the process.
// The error is that of a server that failed.
func (g *Gateway) Run(ctx context.Context) error {
	backgroundCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	ctx, cancelServing := context.WithCancel(ctx)
	defer cancelServing()
	servers := []*http.Server{g.newCallersServer(), newSmallServer(g.readyHandler(), g.readyConns), newSmallServer(g.operatorsHandler(), g.operatorConns)}
	listeners := []net.Listener{g.callerConns, g.readyConns, g.operatorConns}
	var serving, budgetWork, backgroundWork errgroup.Group
	for i, server := range servers {
		serving.Go(func() error {
			defer cancelServing() // An instance that can't serve one of its addresses shuts down.
			return ignoreServerClosed(server.Serve(listeners[i]))
		})
	}
	backgroundWork.Go(func() error { g.newStateTracker().follower(g.settings.Store).Run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.endpoints.follower().Run(backgroundCtx); return nil })
	budgetWork.Go(func() error { g.budgets.Run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.quarantine.Run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.registry.Run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.loadReporter.run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.streamOrigins.Run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.shareLoans.run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.permits.run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.statements.run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.loadExchange.run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.loadParts.run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.reportReader.run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.prober.run(backgroundCtx); return nil })
	backgroundWork.Go(func() error { g.runHousekeeping(backgroundCtx); return nil })
	serving.Go(func() error { return g.peerServer.Serve(g.peersListener) })
	g.log.Info().Str("callers", g.callersListener.Addr().String()).Str("zone", g.settings.Gateway.Zone).
		Str("store", g.settings.Store.URL).Msg("gateway: serving")
	<-ctx.Done()
	return g.shutdown(servers, stopBackground, &budgetWork, &backgroundWork, &serving)
}

// runHousekeeping runs the periodic work until ctx ends: log lines about changed conditions,
// expiry of connections and endpoints, and the instance's share of the retry budget.
func (g *Gateway) runHousekeeping(ctx context.Context) {
	droppedLines, outdated, limits := DroppedLines{}, false, limitCounts{}
	reach := &reachLogger{log: g.log, states: map[string]reachState{}}
	for ctx.Err() == nil {
		logstore.Pause(ctx, housekeepingInterval, nil)
		droppedLines = g.logDroppedLines(droppedLines)
		outdated = g.logOutdatedChange(outdated)
		limits = g.logLimits(limits)
		g.readiness.isReady() // Logs changes, also of an instance that nobody probes.
		g.upstreamPool.CloseExpired()
		g.updateLinkLoad()
		g.endpoints.sweep()
		g.updateReach(reach)
		g.closeIdleConns()
		g.retryLimiter.SetInstances(g.budgets.Accounts.Instances())
	}
}

// updateLinkLoad samples the link's load, which decides whether callers are sent to other
// instances, and logs when that decision changes.
func (g *Gateway) updateLinkLoad() {
	if !g.linkShedder.Sample(g.linkMeter.Total(), g.clock()) {
		return
	}
	g.log.Warn().Bool("sheds", g.linkShedder.IsShedding()).Float64("load", g.linkShedder.Load()).
		Msg("gateway: callers sent elsewhere, or taken again, for the load of the link")
}

// updateReach logs changes of the endpoints that are reachable, and decides whether callers are
// sent to other instances because none is.
func (g *Gateway) updateReach(logger *reachLogger) {
	byService := g.endpoints.placementTable.ReachByService()
	logger.update(byService)
	if g.isolation.update(byService, !g.tunnels.candidates.IsEmpty(), g.clock()) {
		g.log.Warn().Bool("isolated", g.isolation.isIsolated()).Msg("gateway: callers sent elsewhere, or taken again, since no endpoint is reachable")
	}
}

// logOutdatedChange logs when the instance has become outdated or current again, and returns
// whether it is outdated.
func (g *Gateway) logOutdatedChange(wasOutdated bool) bool {
	outdated := g.isOutdated()
	if outdated != wasOutdated {
		g.log.Warn().Bool("outdated", outdated).Int64("state", g.stateVersion()).Dur("state_age", g.stateFreshness.age()).Dur("endpoints_age", g.endpoints.freshness.age()).
			Msg("gateway: callers refused, or served again, for the age of what is known here")
	}
	return outdated
}

// ignoreServerClosed returns err, or nil if it says that the server was closed.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// logDroppedLines logs how many more log lines than logged were dropped or rate limited, and
// returns the new total. The level is error because errors are never rate limited.
func (g *Gateway) logDroppedLines(logged DroppedLines) DroppedLines {
	if g.platform.LinesDropped == nil {
		return logged
	}
	dropped := g.platform.LinesDropped()
	if lines := dropped.Sum() - logged.Sum(); lines > 0 {
		before, now := logged.Suppressed, dropped.Suppressed
		g.log.Error().Int64("lines", lines).Int64("routine", now.Routine-before.Routine).Int64("info", now.Info-before.Info).
			Int64("warnings", now.Warning-before.Warning).Int64("unread", dropped.Unread-logged.Unread).Msg("logging: lines dropped or thinned")
	}
	return dropped
}
