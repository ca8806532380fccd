package gateway

import (
	"time"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
	"guavapier/internal/route"
)

const (
	// statePause spaces the reads while changes come in quick succession.
	statePause = 50 * time.Millisecond
	// stateLeastWait keeps the calls few where the time is short.
	stateLeastWait = 800 * time.Millisecond
	// readSpare is what is left of the time for a change or a leaving endpoint after
	// two reads in a row that fell silent.
	readSpare = 200 * time.Millisecond
)

// stateWait is the longest wait of one read of the desired state. A connection that
// fell silent without an error delays a change by it and the call's timeout, and the
// next one may be silent too.
func stateWait(within, timeout time.Duration) time.Duration {
	return max(stateLeastWait, within-2*timeout-readSpare)
}

// stateFollower keeps the desired state in force current.
func (g *Gateway) stateFollower() *logstore.Follower {
	away := false
	fresh := g.stateFresh
	return &logstore.Follower{
		Log: g.platform.Store, Topic: logstore.TopicState, Sole: logstore.StateKey,
		Wait: stateWait(g.settings.Store.StateWithin.D(), g.settings.Store.Timeout.D()), Pause: statePause,
		Begin: fresh.begin, Came: fresh.came, Current: fresh.confirm, Reset: func() {}, Loaded: func() {},
		Record: func(r logstore.KeyedRecord) {
			if r.Key == logstore.StateKey && r.Value != nil {
				g.applyState(r.Value)
			}
		},
		Outcome: func(err error) {
			if err != nil {
				fresh.fail()
			}
			switch {
			case err != nil && !away:
				g.log.Warn().Err(err).Int64("state", g.version()).Dur("unconfirmed", fresh.age()).Msg("gateway: desired state lost; the last one stays in force")
			case err != nil:
				g.log.Info().Err(err).Int64("state", g.version()).Dur("unconfirmed", fresh.age()).Msg("gateway: desired state not read")
			case away:
				g.log.Info().Int64("state", g.version()).Dur("unconfirmed", fresh.age()).Msg("gateway: desired state regained")
			}
			away = err != nil
		},
	}
}

// applyState puts a newer desired state in force. One that can't be read, or is
// older, changes nothing.
func (g *Gateway) applyState(value []byte) {
	decoded, err := g.platform.DecodeState(value)
	if err != nil {
		g.log.Error().Err(err).Int64("state", g.version()).Msg("gateway: unreadable desired state; the last one stays in force")
		return
	}
	if decoded.Version <= g.version() {
		return
	}
	config := route.Compile(decoded)
	g.keeper.Accounts.SetPrepaid(prepaidTotals(decoded))
	g.conns.SetIdleLimit(idleLimit(decoded))
	g.config.Store(config)
	g.log.Info().Int64("state", decoded.Version).Int("routes", len(decoded.Routes)).
		Int("organisations", len(decoded.Organisations)).Msg("gateway: desired state in force")
}

func (g *Gateway) version() int64 {
	if c := g.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// idleLimit is how long callers' kept connections may idle.
func idleLimit(s route.State) time.Duration {
	if s.Limits.Idle <= 0 {
		return idleCallers
	}
	return s.Limits.Idle
}

func prepaidTotals(s route.State) map[record.Team]int64 {
	totals := map[record.Team]int64{}
	for _, org := range s.Organisations {
		if org.Prepaid != nil {
			totals[org.Name] = *org.Prepaid
		}
	}
	return totals
}
