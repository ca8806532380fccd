package gateway

import (
	"time"

	"github.com/rs/zerolog"
)

// minStepTimeout is what a step gets if earlier steps have used up the time: enough for
// one that has nothing to wait for.
const minStepTimeout = 5 * time.Millisecond

// shutdownSteps runs the steps of a shutdown, each with a deadline, and logs how long each
// took.
type shutdownSteps struct {
	log        zerolog.Logger
	startedAt  time.Time
	lastStepAt time.Time // When the previous step ended or timed out; at first startedAt.
}

func newShutdownSteps(log zerolog.Logger) *shutdownSteps {
	now := time.Now()
	return &shutdownSteps{log: log, startedAt: now, lastStepAt: now}
}

// logDone logs a step that has ended, with its duration.
func (s *shutdownSteps) logDone(step string) {
	now := time.Now()
	s.log.Info().Str("step", step).Dur("took", now.Sub(s.lastStepAt)).Dur("since_signal", now.Sub(s.startedAt)).Msg("gateway: ended")
	s.lastStepAt = now
}

// run runs work as a step and reports whether it has ended by deadline. If not, work keeps
// running in its goroutine: a call that ignores its context must not delay the exit until
// the process is killed.
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

// logTimeout logs a step that has not ended by its deadline.
func (s *shutdownSteps) logTimeout(step string) {
	now := time.Now()
	s.log.Error().Str("step", step).Dur("waited", now.Sub(s.lastStepAt)).Dur("since_signal", now.Sub(s.startedAt)).Msg("gateway: not ended in time")
	s.lastStepAt = now
}
