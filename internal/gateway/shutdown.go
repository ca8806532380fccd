package gateway

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"guavapier/internal/logstore"
)

// Shutdown deadlines, as time remaining until the process is killed:
//
//	exitReserve + budgetReserve  requests still in flight are aborted, and settle
//	exitReserve                  unused tokens are returned; background work and servers stop
//	finalLogReserve              the last log lines are written; the process exits
const (
	// exitReserve is kept at the end of the drain timeout for stopping the process, and
	// budgetReserve before that for returning tokens.
	exitReserve, budgetReserve = 200 * time.Millisecond, 300 * time.Millisecond
	// settleTimeout is the part of budgetReserve in which aborted requests end;
	// settlePollInterval is the interval at which their number is checked.
	settleTimeout, settlePollInterval = 120 * time.Millisecond, 2 * time.Millisecond
	// stopTimeout is the part of exitReserve for stopping the remaining background work
	// and closing the servers for operators and other instances.
	stopTimeout = 100 * time.Millisecond
	// suspensionThreshold is the delay of a timer from which on the process counts as having been
	// suspended, and resumeGracePeriod the time for what arrived meanwhile.
	suspensionThreshold, resumeGracePeriod = 50 * time.Millisecond, 50 * time.Millisecond
	// finalLogReserve is the last part of exitReserve, left to the caller of Run for
	// flushing the log and exiting.
	finalLogReserve = 30 * time.Millisecond
)

// shutdown drains the instance and stops everything that Run has started. Each step has
// its own deadline, so that one that hangs does not delay the others. It returns the first
// error of a server, or nil if the servers have not stopped in time.
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
	// Tokens are returned first: no later step is of use to callers.
	if steps.run("budgets", tokensDeadline, func() { _ = budgetWork.Wait() }) {
		steps.run("tokens", tokensDeadline, func() { g.returnTokens(tokensDeadline) })
	}
	stopDeadline := tokensDeadline.Add(stopTimeout)
	steps.run("background", stopDeadline, func() { _ = backgroundWork.Wait() })
	steps.run("connections", stopDeadline, func() { g.closeServers(servers[1:]) })
	var err error
	if !steps.run("servers", stopDeadline, func() { err = serving.Wait() }) {
		return nil // The step is logged; err may still be written to.
	}
	g.log.Info().Msg("gateway: stopped")
	return err
}

// TimeLeft returns how long the process may take to flush its log after Run has returned,
// before it is killed.
func (g *Gateway) TimeLeft() time.Duration { return time.Until(g.exitDeadline) - finalLogReserve }

// closeServers closes the given servers, the listener for other instances and the
// connections from and to them.
func (g *Gateway) closeServers(servers []*http.Server) {
	for _, server := range servers {
		_ = server.Close()
	}
	_ = g.peersListener.Close()
	g.peerServer.Close()
	g.peerPool.Close()
	g.streamOrigins.pool.Close()
}

// drain reports the instance as not ready, keeps serving until the load balancer has
// noticed, and then waits until deadline for requests in flight. Those left are aborted.
// From drain.last_callers before the end of serving, new requests that may outlast deadline
// are refused.
func (g *Gateway) drain(server *http.Server, deadline time.Time) {
	g.isDraining.Store(true)
	g.log.Info().Int64("under_way", g.inFlight.Load()).Msg("gateway: draining")
	lastCallers := g.settings.Drain.LastCallers.D()
	takingAll := g.settings.Drain.Unready.D() - lastCallers
	g.requestCutoff.Store(&requestCutoff{bindsFrom: time.Now().Add(takingAll), at: deadline})
	logstore.Pause(context.Background(), takingAll, nil)
	g.log.Info().Time("ends", deadline).Msg("gateway: refusing requests that may outlast the drain")
	logstore.Pause(context.Background(), lastCallers, nil)
	drainCtx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := g.drainCallers(drainCtx, deadline); err != nil {
		g.abortingRequests.Store(true)
		g.log.Warn().Err(err).Int64("under_way", g.inFlight.Load()).Msg("gateway: requests cut off at the end of the drain")
		_ = server.Close()
	}
	g.tunnels.awaitServed(drainCtx)
	if left := g.tunnels.server.OpenCount(); left > 0 {
		g.log.Warn().Int64("tunnels", left).Msg("gateway: tunnels of other instances cut off at the end of the drain")
	}
}

// drainCallers waits until ctx ends, at deadline, for requests in flight. If the process was
// suspended at deadline, answers may have arrived meanwhile: these are still passed on.
func (g *Gateway) drainCallers(ctx context.Context, deadline time.Time) error {
	err := g.callerConns.Drain(ctx)
	if err == nil || time.Since(deadline) < suspensionThreshold {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), resumeGracePeriod)
	defer cancel()
	return g.callerConns.Drain(ctx)
}

// awaitSettlement waits until deadline for aborted requests to end and settle their
// reservations: the tokens of those that have not ended when the last claim record is
// written count as used permanently.
func (g *Gateway) awaitSettlement(deadline time.Time) {
	for g.inFlight.Load() > 0 && time.Now().Before(deadline) {
		logstore.Pause(context.Background(), settlePollInterval, nil)
	}
	if unfinished := g.inFlight.Load(); unfinished > 0 {
		g.log.Warn().Int64("under_way", unfinished).Msg("gateway: requests not ended; their reserved tokens count as used")
	}
}

// returnTokens returns the unused tokens to the log or to another instance. If the network
// is partitioned this may take until deadline.
func (g *Gateway) returnTokens(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	g.budgets.Close(ctx)
}
