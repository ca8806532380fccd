package forward

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/placement"
	"guavapier/internal/quarantine"
)

// phase is what a request waits for, as its last line tells it.
type phase string

// The phases.
const (
	phaseBody     phase = "body"
	phaseTokens   phase = "tokens"
	phaseEndpoint phase = "endpoint"
	phaseCaller   phase = "caller" // It takes what the endpoint has sent.
)

// logAttempt writes the attempt's line: what chose the endpoint and how it
// ended. Those that gave the final answer in time are the bulk, and only for
// debugging.
func (c *call) logAttempt(ticket *placement.Ticket, result attemptResult, status int, start time.Time) {
	level := zerolog.InfoLevel
	if result.final && !c.isLate() {
		level = zerolog.DebugLevel
	}
	line := c.f.Log.WithLevel(level)
	if line == nil {
		return
	}
	if result.reason == ReasonAnswerFailed {
		line.Stringer("content", c.content().Fingerprint())
	}
	line.Str("request", c.ID).Int("attempt", c.attempts).Str("endpoint", ticket.Endpoint.ID).
		Str("address", ticket.Endpoint.Address).Str("zone", ticket.Endpoint.Zone).Float64("cost_ms", ticket.Cost).Float64("missing_tokens", ticket.Missing).
		Int("in_flight", ticket.InFlight).Str("fetch", ticket.FetchFrom).Int("status", status).Str("reason", string(result.reason)).Bool("may_have_run", c.mayHaveRun).
		Dur("took", time.Since(start)).AnErr("error", result.err).Msg("forward: attempt ended")
}

// logBudget writes what decided on the request's budget.
func (c *call) logBudget(tokens int64, err error) {
	line := c.f.Log.Info()
	if line == nil {
		return // Lines come too fast; the budget need not be read.
	}
	line.Str("request", c.ID).Str("team", string(c.org.Name)).Int64("tokens", tokens).Err(err).
		Interface("budget", c.f.Budgets.Explain(c.org.Name)).Msg("forward: budget refused")
}

// logQuarantined writes why the request is held back.
func (c *call) logQuarantined(quarantined *quarantine.HeldError) {
	c.f.Log.Info().Str("request", c.ID).Str("team", string(c.team())).Stringer("content", quarantined.Fingerprint).
		Int("ends", quarantined.Ends).Dur("after", quarantined.After).Msg("forward: request held back")
}

// isLate says whether the answer began after its route's target.
func (c *call) isLate() bool {
	return c.route != nil && c.route.LatencyTarget > 0 && c.timeToHeader > c.route.LatencyTarget
}

// recordEnd writes the request's line.
func (c *call) recordEnd(status int) {
	took := time.Since(c.start)
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	c.f.OnRequestEnd(RequestSummary{Route: name, Status: status, Reason: c.reason, Attempts: c.attempts, Duration: took, TimeToHeader: c.timeToHeader})
	level := zerolog.InfoLevel
	if status == 0 || status >= http.StatusBadRequest {
		level = zerolog.WarnLevel
	}
	line := c.f.Log.WithLevel(level)
	if line == nil {
		return
	}
	line.Str("request", c.ID).Str("route", name).Str("team", string(c.team())).Int("status", status).
		Str("reason", string(c.reason)).Str("endpoint", c.endpoint).Str("zone", c.f.Zone).Int("attempts", c.attempts).
		Bool("late", c.isLate()).Str("phase", string(c.phase)).
		Dur("took", took).Dur("first", c.timeToHeader).Int64("events", c.events).
		Int64("prompt", c.PromptTokens).Int64("state", c.stateVersion()).Msg("forward: request ended")
}

func (c *call) stateVersion() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}
