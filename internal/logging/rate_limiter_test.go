package logging

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Each level below error has its own limit of lines per second; errors are never
// suppressed.
func TestAFloodOfLinesIsThinnedByLevel(t *testing.T) {
	now := time.Unix(100, 0)
	limiter := newRateLimiter(50, func() time.Time { return now })
	var out bytes.Buffer
	log := zerolog.New(&out).Sample(limiter)
	logInfoLines := func() {
		for range 1000 {
			log.Info().Msg("logging: ordinary")
		}
	}
	logInfoLines()
	for range 10 {
		log.Warn().Msg("logging: warning")
		log.Error().Msg("logging: error")
	}
	if got := bytes.Count(out.Bytes(), []byte("\n")); got != 50+10+10 {
		t.Errorf("%d lines written in the first second, want 70", got)
	}
	if got := limiter.Suppressed(); got != 950 {
		t.Errorf("%d lines counted as suppressed, want 950", got)
	}
	now = now.Add(time.Second)
	logInfoLines()
	if got := bytes.Count(out.Bytes(), []byte("\n")); got != 120 {
		t.Errorf("%d lines written after the next second, want 120", got)
	}
}
