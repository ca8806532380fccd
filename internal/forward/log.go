package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/origin"
	"guavapier/internal/placement"
	"guavapier/internal/prepaid"
	"guavapier/internal/quarantine"
)

// phase is what a request is waiting for; its last value is logged when the request ends.
type phase string

// Values of phase, in the order in which a request first reaches them.
const (
	phaseBody     phase = "body"
	phaseTokens   phase = "tokens"
	phaseEndpoint phase = "endpoint"
	phaseCaller   phase = "caller" // For the caller to read what the endpoint has sent.
)

// logAttempt logs an attempt: the values by which the endpoint was selected and how the
// attempt ended. Attempts that gave the final answer within the latency target are by far
// the most and are logged at debug level only, except where they resumed a stream.
func (c *call) logAttempt(assignment *placement.Assignment, result attemptResult, status int, start time.Time) {
	level := zerolog.InfoLevel
	if result.final && !c.missedLatencyTarget() && c.resumedAfter == "" {
		level = zerolog.DebugLevel
	}
	line := c.f.Log.WithLevel(level)
	if line == nil {
		return
	}
	if result.reason == ReasonAnswerFailed {
		line.Stringer("content", c.content().Fingerprint()).Strs("parts", c.sharedParts())
	}
	line.Str("request", c.ID).Int("attempt", c.attempts).Str("endpoint", assignment.Endpoint.ID).
		Str("address", assignment.Endpoint.Address).Str("zone", assignment.Endpoint.Zone).Str("version", assignment.Endpoint.Version).Str("after", c.resumedAfter).Str("resumes", c.Resumes).Float64("cost_ms", assignment.Cost).Float64("missing_tokens", assignment.MissingTokens).
		Float64("held_tokens", assignment.Held.Tokens).Dur("held_age", assignment.Held.Age).Dur("saved", assignment.Held.Saved).Dur("wait", assignment.Held.Wait).
		Int("requests", assignment.Held.Requests).Int("waiting", assignment.Held.Waiting).
		Int("in_flight", assignment.InFlight).Str("fetch", assignment.FetchFrom).Str("via", c.via).Int("status", status).Str("reason", string(result.reason)).Bool("may_have_run", c.mayHaveRun).
		Dur("took", time.Since(start)).AnErr("error", result.err).Msg("forward: attempt ended")
}

// logStatement logs what an endpoint states of itself, where that has changed.
func (c *call) logStatement(r Reply) {
	s := r.Statement
	c.f.Log.Info().Str("request", c.ID).Str("endpoint", c.endpoint).Bool("limits_requests", s.LimitsRequests).Float64("request_limit", s.RequestLimit).
		Int("rejection_limit", s.RejectionLimit).Bool("leaving", s.Leaving).Bool("not_run", r.NotRun).Msg("forward: endpoint states something new")
}

// logRest logs that an endpoint has asked this instance for rest.
func (c *call) logRest(length time.Duration) {
	c.f.Log.Info().Str("request", c.ID).Str("endpoint", c.endpoint).Str("via", c.via).Dur("rest", length).Msg("forward: endpoint asks for rest")
}

// maxLoggedLimits bounds the endpoints whose request limits one line tells.
const maxLoggedLimits = 3

// logNoEndpoint logs why no endpoint may get the request: how many of the service's endpoints
// are not chosen by their cost, by the reason. The others have been tried.
func (c *call) logNoEndpoint() {
	line := c.f.Log.Info()
	if line == nil {
		return
	}
	line.Str("request", c.ID).Str("service", c.service).Int("tried", len(c.tried)).
		Interface("obstacles", c.f.Endpoints.Obstacles(c.service, c.f.Clock())).
		Interface("request_limits", c.f.Endpoints.RequestLimits(c.service, maxLoggedLimits, c.f.Clock())).Msg("forward: no endpoint may get the request")
}

// logOrigin logs where the stream began that the caller continues, or that it is not known.
func (c *call) logOrigin(f origin.Finding, err error, took time.Duration) {
	c.f.Log.Info().Str("request", c.ID).Str("resumes", c.Resumes).Str("after", c.LastEventID).Str("service", f.Origin.Service).Str("version", f.Origin.Version).
		Str("source", string(f.Source)).Int("asked", f.Asked).Int("replied", f.Replied).Dur("took", took).AnErr("error", err).Msg("forward: stream continued")
}

// logBudget logs why no tokens were reserved, with the state of the organisation's budget.
func (c *call) logBudget(tokens int64, err error) {
	line := c.f.Log.Info()
	if line == nil {
		return // The line is not logged, so the budget need not be read.
	}
	var shortage *prepaid.ShortageError
	if errors.As(err, &shortage) {
		line.Bool("at_once", shortage.AtOnce)
	}
	line.Str("request", c.ID).Str("team", string(c.org.Name)).Int64("tokens", tokens).Err(err).
		Interface("budget", c.f.Budgets.Explain(c.org.Name)).Msg("forward: budget refused")
}

// logQuarantined logs why the request must not be sent.
func (c *call) logQuarantined(quarantined *quarantine.QuarantinedError) {
	c.f.Log.Info().Str("request", c.ID).Str("team", string(c.team())).Stringer("content", quarantined.Fingerprint).Str("part", quarantined.Part).
		Bool("suspected", quarantined.Suspected).Strs("endpoints", quarantined.Endpoints).Int("ends", quarantined.Crashes).Dur("after", quarantined.RetryAfter).Msg("forward: request held back")
}

// missedLatencyTarget reports whether the answer began later than its route's latency target.
func (c *call) missedLatencyTarget() bool {
	return c.route != nil && c.route.LatencyTarget > 0 && c.timeToHeader > c.route.LatencyTarget
}

// recordEnd reports the ended request to the metrics and logs it. A status of 0 means that
// the connection was aborted.
func (c *call) recordEnd(status int) {
	took := time.Since(c.start)
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	c.f.OnRequestEnd(RequestSummary{Route: name, Status: status, Reason: c.reason, Attempts: c.attempts, Duration: took, TimeToHeader: c.timeToHeader})
	line := c.endLine(status)
	if line == nil {
		return
	}
	line.Str("request", c.ID).Str("route", name).Str("team", string(c.team())).Int("status", status).
		Str("reason", string(c.reason)).Str("endpoint", c.endpoint).Str("version", c.version).Str("resumes", c.Resumes).Str("via", c.via).Str("zone", c.f.Zone).Int("attempts", c.attempts).
		Bool("late", c.missedLatencyTarget()).Str("phase", string(c.phase)).
		Dur("took", took).Dur("first", c.timeToHeader).Int64("events", c.events).
		Int64("prompt", c.PromptTokens).Int64("state", c.stateVersion()).Msg("forward: request ended")
}

// endLine begins the line about the ended request: a warning if it got no good answer, else a
// routine line if the answer was in time.
func (c *call) endLine(status int) *zerolog.Event {
	switch {
	case status == 0 || status >= http.StatusBadRequest:
		return c.f.Log.Warn()
	case c.missedLatencyTarget():
		return c.f.Log.Info()
	}
	return c.f.RoutineLog.Info()
}

// stateVersion returns the version of the desired state that the request was served with,
// or 0 if there was none.
func (c *call) stateVersion() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}
