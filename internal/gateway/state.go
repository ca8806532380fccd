package gateway

import (
	"maps"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/logstore"
	"guavapier/internal/placement"
	"guavapier/internal/record"
	"guavapier/internal/route"
	"guavapier/internal/settings"
)

const (
	// statePollPause separates two reads while changes follow each other quickly.
	statePollPause = 50 * time.Millisecond
	// minStatePollTimeout limits the call rate if store.state_within is short.
	minStatePollTimeout = 800 * time.Millisecond
	// readDeadlineMargin is subtracted from the time within which a change of the desired
	// state or a leaving endpoint must be noticed. It is the time that remains when the
	// connections of two reads in a row have gone silent and both reads have timed out.
	readDeadlineMargin = 200 * time.Millisecond
)

// statePollTimeout returns how long one read of the desired state waits for a change. A
// connection that goes silent without an error delays a change by this and callTimeout, and
// the next connection may be silent too.
func statePollTimeout(changeTimeout, callTimeout time.Duration) time.Duration {
	return max(minStatePollTimeout, changeTimeout-2*callTimeout-readDeadlineMargin)
}

// stateTracker follows what operators write to the store: the desired state and the cordons
// of availability zones. It passes each change on.
type stateTracker struct {
	platform  Platform
	freshness *freshness
	log       zerolog.Logger
	// applyState puts an encoded desired state in force. version returns the one in force.
	applyState func(value []byte)
	version    func() int64
	// applyCordons is called with all cordoned zones, in a map that is not changed later.
	applyCordons func(zones map[string]bool)

	// The fields below belong to the follower's goroutine.
	cordons          map[string]bool
	isReloading      bool            // Between onReset and onLoaded.
	listedCordons    map[string]bool // Those read since onReset.
	listedState      []byte          // The desired state read since onReset; nil if none.
	storeUnavailable bool
}

// follower returns a Follower that reads the operators' records into the tracker.
func (s *stateTracker) follower(store settings.Store) *logstore.Follower {
	return &logstore.Follower{
		Log: s.platform.Store, Topic: logstore.TopicState, NewestOnly: true,
		PollTimeout: statePollTimeout(store.StateWithin.D(), store.Timeout.D()), ReadInterval: statePollPause,
		OnReadStart: s.freshness.onReadStart, OnReceive: s.freshness.onReceive, OnCaughtUp: s.freshness.onCaughtUp,
		OnReset: s.onReset, OnRecord: s.onRecord, OnLoaded: s.onLoaded, OnReadEnd: s.onReadEnd,
	}
}

// onReset is called before the newest records are delivered. Nothing changes until onLoaded:
// without a complete list, a zone whose cordon has not been delivered yet would be used.
func (s *stateTracker) onReset() {
	s.isReloading, s.listedCordons, s.listedState = true, map[string]bool{}, nil
}

// onRecord applies one record. Those of unknown keys are skipped.
func (s *stateTracker) onRecord(r logstore.KeyedRecord) {
	zone, isCordon := s.platform.CordonedZone(r.Key)
	switch {
	case isCordon && s.isReloading:
		s.listedCordons[zone] = r.Value != nil
	case isCordon:
		s.setCordon(zone, r.Value != nil)
	case r.Key != logstore.StateKey || r.Value == nil:
	case s.isReloading:
		s.listedState = r.Value
	default:
		s.applyState(r.Value)
	}
}

// onLoaded is called after the newest records were delivered. A cordon that is not among
// them has been taken back. The cordons precede the desired state, as nothing is served
// before the first one.
func (s *stateTracker) onLoaded() {
	s.isReloading = false
	for zone := range s.cordons {
		if !s.listedCordons[zone] {
			s.setCordon(zone, false)
		}
	}
	for zone, cordoned := range s.listedCordons {
		s.setCordon(zone, cordoned)
	}
	if s.listedState != nil {
		s.applyState(s.listedState)
	}
}

// setCordon puts the cordon of a zone in force, or takes it back.
func (s *stateTracker) setCordon(zone string, cordoned bool) {
	if s.cordons[zone] == cordoned {
		return
	}
	cordons := maps.Clone(s.cordons)
	if cordons == nil {
		cordons = map[string]bool{}
	}
	if cordoned {
		cordons[zone] = true
	} else {
		delete(cordons, zone)
	}
	s.cordons = cordons
	s.applyCordons(cordons)
	s.log.Warn().Str("zone", zone).Bool("cordoned", cordoned).Msg("gateway: zone cordoned, or its cordon taken back")
}

// onReadEnd is called after each read with its error, and logs when the store becomes
// unreachable or reachable.
func (s *stateTracker) onReadEnd(err error) {
	if err != nil {
		s.freshness.onReadFailure()
	}
	switch {
	case err != nil && !s.storeUnavailable:
		s.log.Warn().Err(err).Int64("state", s.version()).Dur("unconfirmed", s.freshness.age()).Msg("gateway: desired state lost; the last one stays in force")
	case err != nil:
		s.log.Info().Err(err).Int64("state", s.version()).Dur("unconfirmed", s.freshness.age()).Msg("gateway: desired state not read")
	case s.storeUnavailable:
		s.log.Info().Int64("state", s.version()).Dur("unconfirmed", s.freshness.age()).Msg("gateway: desired state readable again")
	}
	s.storeUnavailable = err != nil
}

// newStateTracker returns a tracker that has read nothing.
func (g *Gateway) newStateTracker() *stateTracker {
	return &stateTracker{
		platform: g.platform, freshness: g.stateFreshness, log: g.log,
		applyState: g.applyState, version: g.stateVersion, applyCordons: func(zones map[string]bool) { g.endpoints.placementTable.SetCordons(zones, g.clock()) },
	}
}

// applyState puts an encoded desired state in force. One that can't be decoded, or is not
// newer than the current one, changes nothing.
func (g *Gateway) applyState(value []byte) {
	decoded, err := g.platform.DecodeState(value)
	if err != nil {
		g.log.Error().Err(err).Int64("state", g.stateVersion()).Msg("gateway: unreadable desired state; the last one stays in force")
		return
	}
	if decoded.Version <= g.stateVersion() {
		return
	}
	config := route.Compile(decoded)
	g.budgets.Accounts.SetPrepaid(prepaidTotals(decoded))
	g.callerConns.SetIdleTimeout(callerIdleTimeout(decoded))
	g.applyLimits(decoded.Limits)
	g.endpoints.placementTable.SetWarmUps(warmUps(decoded, g.settings.WarmUp))
	g.config.Store(config)
	g.log.Info().Int64("state", decoded.Version).Int("routes", len(decoded.Routes)).
		Int("organisations", len(decoded.Organisations)).Msg("gateway: desired state in force")
}

// stateVersion returns the version of the desired state in force, or 0 before the first.
func (g *Gateway) stateVersion() int64 {
	if c := g.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// callerIdleTimeout returns how long a keep-alive connection of a caller may be idle.
func callerIdleTimeout(state route.DesiredState) time.Duration {
	if state.Limits.IdleTimeout <= 0 {
		return defaultCallerIdleTimeout
	}
	return state.Limits.IdleTimeout
}

// warmUps returns the warm-up of each service whose endpoints are cold after a start.
func warmUps(state route.DesiredState, limits settings.WarmUp) map[string]placement.WarmUp {
	byService := map[string]placement.WarmUp{}
	for _, s := range state.Services {
		if s.WarmUp > 0 && s.WarmUpRate > 0 {
			byService[s.Name] = placement.WarmUp{Duration: s.WarmUp, MaxPerSecond: s.WarmUpRate*limits.Ratio + float64(limits.Extra)}
		}
	}
	return byService
}

// prepaidTotals returns the prepaid total of each organisation that has one, in tokens.
func prepaidTotals(s route.DesiredState) map[record.Team]int64 {
	totals := map[record.Team]int64{}
	for _, org := range s.Organisations {
		if org.PrepaidTotal != nil {
			totals[org.Name] = *org.PrepaidTotal
		}
	}
	return totals
}
