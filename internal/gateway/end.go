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
	// forExit and forBudgets are kept of the drain's time for ending the process
	// and, before that, for giving back tokens.
	forExit, forBudgets = 200 * time.Millisecond, 300 * time.Millisecond
	// forSettling is the part of forBudgets for requests that were cut off to end;
	// settlingLook is how often it is looked whether they have.
	forSettling, settlingLook = 120 * time.Millisecond, 2 * time.Millisecond
	// forServers is the part of forExit for what is left of the background work
	// and for closing the other servers.
	forServers = 100 * time.Millisecond
	// forProcess is the last part of forExit, for the process itself to end.
	forProcess = 30 * time.Millisecond
)

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
func (g *Gateway) drain(server *http.Server, limit time.Time) {
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
		_ = server.Close()
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
