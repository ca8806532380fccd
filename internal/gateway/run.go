package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

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
	work.Go(func() error { g.loads.run(background); return nil })
	work.Go(func() error { g.prober().run(background); return nil })
	work.Go(func() error { g.sweep(background); return nil })
	serving.Go(func() error { return g.answers.Serve(g.peers) })
	g.log.Info().Str("callers", g.callers.Addr().String()).Str("zone", g.settings.Gateway.Zone).
		Str("store", g.settings.Store.URL).Msg("gateway: serving")
	<-ctx.Done()
	return g.end(servers, stop, &budgeting, &work, &serving)
}

// end drains and stops what Run has started, each step within a time of its own.
func (g *Gateway) end(servers []*http.Server, stop func(), budgeting, work, serving *errgroup.Group) error {
	g.gone = time.Now().Add(g.settings.Drain.Within.D())
	limit := g.gone.Add(-forExit)
	steps := newSteps(g.log)
	leaving := time.AfterFunc(g.settings.Drain.Unready.D(), g.keeper.Leave)
	defer leaving.Stop()
	g.drain(servers[0], limit.Add(-forBudgets))
	steps.done("requests")
	g.settle(limit.Add(forSettling - forBudgets))
	steps.done("settling")
	stop()
	// Tokens go first: nothing else of the end is of use to callers.
	if steps.wait("budgets", limit, func() { _ = budgeting.Wait() }) {
		steps.wait("tokens", limit, func() { g.giveBack(limit) })
	}
	last := limit.Add(forServers)
	steps.wait("background", last, func() { _ = work.Wait() })
	steps.wait("connections", last, func() { g.close(servers[1:]) })
	var err error
	if !steps.wait("servers", last, func() { err = serving.Wait() }) {
		return nil // The log has the step; err may still be written to.
	}
	g.log.Info().Msg("gateway: stopped")
	return err
}

// TimeLeft is how long the process may go on after Run: for the last lines of its log.
func (g *Gateway) TimeLeft() time.Duration { return time.Until(g.gone) - forProcess }

// close ends the connections of operators and other instances.
func (g *Gateway) close(servers []*http.Server) {
	for _, server := range servers {
		_ = server.Close()
	}
	_ = g.peers.Close()
	g.answers.Close()
	g.calls.Close()
}

// drain leaves the balancer's rotation, goes on serving until it has noticed,
// and finishes what is under way, until limit.
func (g *Gateway) drain(callers *http.Server, limit time.Time) {
	g.draining.Store(true)
	g.log.Info().Int64("under_way", g.underWay.Load()).Msg("gateway: draining")
	last := g.settings.Drain.LastCallers.D()
	logstore.Pause(context.Background(), g.settings.Drain.Unready.D()-last, nil)
	g.ends.Store(&limit)
	g.log.Info().Time("ends", limit).Msg("gateway: refusing what may outlast the drain")
	logstore.Pause(context.Background(), last, nil)
	patience, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if err := g.conns.Drain(patience); err != nil {
		g.cut.Store(true)
		g.log.Warn().Err(err).Int64("under_way", g.underWay.Load()).Msg("gateway: requests cut off at the end of the drain")
		_ = callers.Close()
	}
}

// settle waits, until limit, until the requests that were cut off have ended: what
// still runs when the last statement is written counts as used for good.
func (g *Gateway) settle(limit time.Time) {
	for g.underWay.Load() > 0 && time.Now().Before(limit) {
		logstore.Pause(context.Background(), settlingLook, nil)
	}
	if left := g.underWay.Load(); left > 0 {
		g.log.Warn().Int64("under_way", left).Msg("gateway: requests not ended, their tokens count as used")
	}
}

// giveBack gives back the tokens that are not used. Behind a cut that may take
// all the time that is left.
func (g *Gateway) giveBack(limit time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	g.keeper.Close(ctx)
}

// sweep does the housekeeping that time alone brings.
func (g *Gateway) sweep(ctx context.Context) {
	lost := int64(0)
	for ctx.Err() == nil {
		logstore.Pause(ctx, sweepEvery, nil)
		lost = g.tellLost(lost)
		g.pool.Sweep()
		g.endpoints.sweep()
		g.conns.Sweep()
		g.retries.SetInstances(g.keeper.Book.Instances())
	}
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
