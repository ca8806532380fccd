package gateway

import (
	"time"

	"github.com/rs/zerolog"
)

// leastWait is what a step has when those before it took all the time: enough if
// it has nothing to wait for.
const leastWait = 5 * time.Millisecond

// steps bounds the steps of an instance's end and tells how long each took.
type steps struct {
	log   zerolog.Logger
	began time.Time
	last  time.Time
}

func newSteps(log zerolog.Logger) *steps {
	now := time.Now()
	return &steps{log: log, began: now, last: now}
}

// done writes the line of a step that has ended.
func (s *steps) done(step string) {
	now := time.Now()
	s.log.Info().Str("step", step).Dur("took", now.Sub(s.last)).Dur("since_signal", now.Sub(s.began)).Msg("gateway: ended")
	s.last = now
}

// wait does a step and waits for it, until limit at the latest, and says whether
// it has ended. A call that does not end with its context must not keep the
// process past its kill.
func (s *steps) wait(step string, limit time.Time, work func()) bool {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		work()
	}()
	patience := time.NewTimer(max(time.Until(limit), leastWait))
	defer patience.Stop()
	select {
	case <-ended:
		s.done(step)
		return true
	case <-patience.C:
		s.hung(step)
		return false
	}
}

// hung writes the line of a step that has not ended in its time.
func (s *steps) hung(step string) {
	now := time.Now()
	s.log.Error().Str("step", step).Dur("waited", now.Sub(s.last)).Dur("since_signal", now.Sub(s.began)).Msg("gateway: not ended in time")
	s.last = now
}
