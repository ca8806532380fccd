package gateway

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"guavapier/internal/logstore"
)

// The end of an instance, counted back from the moment at which its process is
// killed:
//
//	forExit + forBudgets  requests still under way are cut off, and settle
//	forExit               tokens were given back; work and servers end
//	forProcess            the log's last lines were written; the process ends
const (
	// exitReserve and budgetReserve are kept of the drain's time for ending the process
	// and, before that, for giving back tokens.
	exitReserve, budgetReserve = 200 * time.Millisecond, 300 * time.Millisecond
	// settleTimeout is the part of forBudgets for requests that were cut off to end;
	// settlePollInterval is how often it is looked whether they have.
	settleTimeout, settlePollInterval = 120 * time.Millisecond, 2 * time.Millisecond
	// stopTimeout is the part of forExit for what is left of the background work
	// and for closing the other servers.
	stopTimeout = 100 * time.Millisecond
	// finalLogReserve is the last part of forExit, for the process itself to end.
	finalLogReserve = 30 * time.Millisecond
)

// shutdown drains and stops what Run has started, each step within a time of its own.
func (g *Gateway) shutdown(servers []*http.Server, stopBackground func(), budgetWork, backgroundWork, serving *errgroup.Group) error {
	g.exitDeadline = time.Now().Add(g.settings.Drain.Within.D())
	tokensDeadline := g.exitDeadline.Add(-exitReserve)
	steps := newShutdownSteps(g.log)
	leaveTimer := time.AfterFunc(g.settings.Drain.Unready.D(), g.budgets.Leave)
	defer leaveTimer.Stop()
	g.drain(servers[0], tokensDeadline.Add(-budgetReserve))
	steps.logDone("requests")
	g.awaitSettlement(tokensDeadline.Add(settleTimeout - budgetReserve))
	steps.logDone("settling")
	stopBackground()
	// Tokens go first: nothing else of the end is of use to callers.
	if steps.run("budgets", tokensDeadline, func() { _ = budgetWork.Wait() }) {
		steps.run("tokens", tokensDeadline, func() { g.returnTokens(tokensDeadline) })
	}
	stopDeadline := tokensDeadline.Add(stopTimeout)
	steps.run("background", stopDeadline, func() { _ = backgroundWork.Wait() })
	steps.run("connections", stopDeadline, func() { g.closeServers(servers[1:]) })
	var err error
	if !steps.run("servers", stopDeadline, func() { err = serving.Wait() }) {
		return nil // The log has the step; err may still be written to.
	}
	g.log.Info().Msg("gateway: stopped")
	return err
}

// TimeLeft is how long the process may go on after Run: for the last lines of its log.
func (g *Gateway) TimeLeft() time.Duration { return time.Until(g.exitDeadline) - finalLogReserve }

// closeServers ends the connections of operators and other instances.
func (g *Gateway) closeServers(servers []*http.Server) {
	for _, server := range servers {
		_ = server.Close()
	}
	_ = g.peersListener.Close()
	g.peerServer.Close()
	g.peerPool.Close()
}

// drain leaves the balancer's rotation, goes on serving until it has noticed,
// and finishes what is under way, until limit.
func (g *Gateway) drain(server *http.Server, deadline time.Time) {
	g.isDraining.Store(true)
	g.log.Info().Int64("under_way", g.inFlight.Load()).Msg("gateway: draining")
	lastCallers := g.settings.Drain.LastCallers.D()
	logstore.Pause(context.Background(), g.settings.Drain.Unready.D()-lastCallers, nil)
	g.requestCutoff.Store(&deadline)
	g.log.Info().Time("ends", deadline).Msg("gateway: refusing what may outlast the drain")
	logstore.Pause(context.Background(), lastCallers, nil)
	drainCtx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := g.callerConns.Drain(drainCtx); err != nil {
		g.abortingRequests.Store(true)
		g.log.Warn().Err(err).Int64("under_way", g.inFlight.Load()).Msg("gateway: requests cut off at the end of the drain")
		_ = server.Close()
	}
}

// awaitSettlement waits, until limit, until the requests that were cut off have ended: what
// still runs when the last statement is written counts as used for good.
func (g *Gateway) awaitSettlement(deadline time.Time) {
	for g.inFlight.Load() > 0 && time.Now().Before(deadline) {
		logstore.Pause(context.Background(), settlePollInterval, nil)
	}
	if unfinished := g.inFlight.Load(); unfinished > 0 {
		g.log.Warn().Int64("under_way", unfinished).Msg("gateway: requests not ended, their tokens count as used")
	}
}

// returnTokens gives back the tokens that are not used. Behind a cut that may take
// all the time that is left.
func (g *Gateway) returnTokens(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	g.budgets.Close(ctx)
}
