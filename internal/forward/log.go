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
func (c *call) logAttempt(k *placement.Assignment, r attemptResult, status int, began time.Time) {
	level := zerolog.InfoLevel
	if r.final && !c.late() {
		level = zerolog.DebugLevel
	}
	line := c.f.Log.WithLevel(level)
	if line == nil {
		return
	}
	if r.reason == ReasonBroken {
		line.Stringer("content", c.content().Fingerprint())
	}
	line.Str("request", c.ID).Int("attempt", c.attempts).Str("endpoint", k.Endpoint.ID).
		Str("address", k.Endpoint.Address).Str("zone", k.Endpoint.Zone).Float64("cost_ms", k.Cost).Float64("missing_tokens", k.MissingTokens).
		Int("in_flight", k.InFlight).Str("fetch", k.FetchFrom).Int("status", status).Str("reason", string(r.reason)).Bool("may_have_run", c.mayRun).
		Dur("took", time.Since(began)).AnErr("error", r.err).Msg("forward: attempt ended")
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

// logHeld writes why the request is held back.
func (c *call) logHeld(held *quarantine.QuarantinedError) {
	c.f.Log.Info().Str("request", c.ID).Str("team", string(c.team())).Stringer("content", held.Fingerprint).
		Int("ends", held.Crashes).Dur("after", held.RetryAfter).Msg("forward: request held back")
}

// late says whether the answer began after its route's target.
func (c *call) late() bool { return c.route != nil && c.route.Target > 0 && c.first > c.route.Target }

// finish writes the request's line.
func (c *call) finish(status int) {
	took := time.Since(c.began)
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	c.f.Observe(Event{Route: name, Status: status, Reason: c.reason, Attempts: c.attempts, Took: took, First: c.first})
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
		Bool("late", c.late()).Str("phase", string(c.phase)).
		Dur("took", took).Dur("first", c.first).Int64("events", c.pieces).
		Int64("prompt", c.PromptTokens).Int64("state", c.version()).Msg("forward: request ended")
}

func (c *call) version() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}
