package logging

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

func TestAFloodOfLinesIsThinnedByLevel(t *testing.T) {
	now := time.Unix(100, 0)
	limit := newLimit(50, func() time.Time { return now })
	var out bytes.Buffer
	log := zerolog.New(&out).Sample(limit)
	flood := func() {
		for range 1000 {
			log.Info().Msg("logging: ordinary")
		}
	}
	flood()
	for range 10 {
		log.Warn().Msg("logging: warning")
		log.Error().Msg("logging: error")
	}
	if got := bytes.Count(out.Bytes(), []byte("\n")); got != 50+10+10 {
		t.Errorf("%d lines in the first second, want 70", got)
	}
	if got := limit.Thinned(); got != 950 {
		t.Errorf("%d lines counted as thinned, want 950", got)
	}
	now = now.Add(time.Second)
	flood()
	if got := bytes.Count(out.Bytes(), []byte("\n")); got != 120 {
		t.Errorf("%d lines after the second one, want 120", got)
	}
}
