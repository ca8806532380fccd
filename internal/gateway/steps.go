package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"
)

// steps tells how long each step of an instance's end took: one that does not
// end leaves the line of the step before it as the last one.
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

// counting counts callers' requests while they are under way.
func (g *Gateway) counting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.underWay.Add(1)
		defer g.underWay.Add(-1)
		next.ServeHTTP(w, r)
	})
}
