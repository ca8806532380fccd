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
	if got := limiter.Suppressed(); got.Sum() != 950 || got.Info != 950 {
		t.Errorf("%+v lines counted as suppressed, want 950", got)
	}
	now = now.Add(time.Second)
	logInfoLines()
	if got := bytes.Count(out.Bytes(), []byte("\n")); got != 120 {
		t.Errorf("%d lines written after the next second, want 120", got)
	}
}

// An instance is flooded with requests, of which it refuses some: the lines about those are
// written, and lines about requests that were served well get what is left. Once there are no
// others, they get the whole rate.
func TestRoutineLinesAreSuppressedFirst(t *testing.T) {
	now := time.Unix(100, 0)
	limiter := newRateLimiter(40, func() time.Time { return now })
	var routine, others bytes.Buffer
	routineLog := zerolog.New(&routine).Sample(limiter.Routine())
	log := zerolog.New(&others).Sample(limiter)
	playSecond := func(refused int) (routineLines, otherLines int) {
		now = now.Add(time.Second)
		routine.Reset()
		others.Reset()
		for n := range 200 {
			routineLog.Info().Msg("logging: served")
			if n < refused {
				log.Info().Msg("logging: details")
				log.Warn().Msg("logging: refused")
			}
		}
		return bytes.Count(routine.Bytes(), []byte("\n")), bytes.Count(others.Bytes(), []byte("\n"))
	}
	for second, step := range []struct{ refused, wantRoutine, wantOthers int }{
		{40, 40, 80}, {40, 10, 80}, {30, 10, 60}, {0, 20, 0}, {0, 40, 0},
	} {
		if gotRoutine, gotOthers := playSecond(step.refused); gotRoutine != step.wantRoutine || gotOthers != step.wantOthers {
			t.Errorf("second %d with %d requests refused: %d routine and %d other lines, want %d and %d", second, step.refused, gotRoutine, gotOthers, step.wantRoutine, step.wantOthers)
		}
	}
	if got, want := limiter.Suppressed(), (SuppressedLines{Routine: 1000 - 120}); got != want {
		t.Errorf("suppressed %+v, want %+v", got, want)
	}
}
