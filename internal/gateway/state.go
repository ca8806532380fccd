package gateway

import (
	"time"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
	"guavapier/internal/route"
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

// stateFollower returns a Follower that puts each new desired state in force.
func (g *Gateway) stateFollower() *logstore.Follower {
	storeUnavailable := false
	fresh := g.stateFreshness
	return &logstore.Follower{
		Log: g.platform.Store, Topic: logstore.TopicState, SoleKey: logstore.StateKey,
		PollTimeout: statePollTimeout(g.settings.Store.StateWithin.D(), g.settings.Store.Timeout.D()), ReadInterval: statePollPause,
		OnReadStart: fresh.onReadStart, OnReceive: fresh.onReceive, OnCaughtUp: fresh.onCaughtUp, OnReset: func() {}, OnLoaded: func() {},
		OnRecord: func(r logstore.KeyedRecord) {
			if r.Key == logstore.StateKey && r.Value != nil {
				g.applyState(r.Value)
			}
		},
		OnReadEnd: func(err error) {
			if err != nil {
				fresh.onReadFailure()
			}
			switch {
			case err != nil && !storeUnavailable:
				g.log.Warn().Err(err).Int64("state", g.stateVersion()).Dur("unconfirmed", fresh.age()).Msg("gateway: desired state lost; the last one stays in force")
			case err != nil:
				g.log.Info().Err(err).Int64("state", g.stateVersion()).Dur("unconfirmed", fresh.age()).Msg("gateway: desired state not read")
			case storeUnavailable:
				g.log.Info().Int64("state", g.stateVersion()).Dur("unconfirmed", fresh.age()).Msg("gateway: desired state readable again")
			}
			storeUnavailable = err != nil
		},
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
