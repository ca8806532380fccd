package gateway

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"guavapier/internal/placement"
)

func TestAChangeOfReachIsLoggedOnce(t *testing.T) {
	var lines strings.Builder
	l := &reachLogger{log: zerolog.New(&lines), levels: map[string]reachLevel{}}
	for _, unreachable := range []int{0, 0, 1, 2, 4, 4, 3, 0, 0} {
		l.update(map[string]placement.Reach{"s": {Listed: 4, Unreachable: unreachable}})
	}
	var levels []string
	for line := range strings.Lines(lines.String()) {
		_, after, _ := strings.Cut(line, `"reached":"`)
		level, _, _ := strings.Cut(after, `"`)
		levels = append(levels, level)
	}
	if got, want := strings.Join(levels, " "), "some none some all"; got != want {
		t.Errorf("logged %q, want %q\n%s", got, want, lines.String())
	}
}
