package gateway

import (
	"time"

	"github.com/rs/zerolog"
)

// minStepTimeout is what a step has when those before it took all the time: enough if
// it has nothing to wait for.
const minStepTimeout = 5 * time.Millisecond

// shutdownSteps bounds the steps of an instance's end and tells how long each took.
type shutdownSteps struct {
	log        zerolog.Logger
	startedAt  time.Time
	lastStepAt time.Time
}

func newShutdownSteps(log zerolog.Logger) *shutdownSteps {
	now := time.Now()
	return &shutdownSteps{log: log, startedAt: now, lastStepAt: now}
}

// logDone writes the line of a step that has ended.
func (s *shutdownSteps) logDone(step string) {
	now := time.Now()
	s.log.Info().Str("step", step).Dur("took", now.Sub(s.lastStepAt)).Dur("since_signal", now.Sub(s.startedAt)).Msg("gateway: ended")
	s.lastStepAt = now
}

// run does a step and waits for it, until limit at the latest, and says whether
// it has ended. A call that does not end with its context must not keep the
// process past its kill.
func (s *shutdownSteps) run(step string, deadline time.Time, work func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	timer := time.NewTimer(max(time.Until(deadline), minStepTimeout))
	defer timer.Stop()
	select {
	case <-done:
		s.logDone(step)
		return true
	case <-timer.C:
		s.logTimeout(step)
		return false
	}
}

// logTimeout writes the line of a step that has not ended in its time.
func (s *shutdownSteps) logTimeout(step string) {
	now := time.Now()
	s.log.Error().Str("step", step).Dur("waited", now.Sub(s.lastStepAt)).Dur("since_signal", now.Sub(s.startedAt)).Msg("gateway: not ended in time")
	s.lastStepAt = now
}
