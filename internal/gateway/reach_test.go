package gateway

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"guavapier/internal/placement"
)

func TestAChangeOfReachIsLoggedOnce(t *testing.T) {
	var lines strings.Builder
	l := &reachLogger{log: zerolog.New(&lines), states: map[string]reachState{}}
	for _, r := range []placement.Reach{
		{Listed: 4}, {Listed: 4}, {Listed: 4, Unreachable: 1}, {Listed: 4, Unreachable: 2}, {Listed: 4, Unreachable: 4}, {Listed: 4, Unreachable: 4},
		{Listed: 4, Unreachable: 3}, {Listed: 4}, {Listed: 4, WithoutLink: 4}, {Listed: 4, WithoutLink: 4}, {Listed: 4},
	} {
		l.update(map[string]placement.Reach{"s": r})
	}
	var got []string
	for text := range strings.Lines(lines.String()) {
		var line struct{ Linked, Reached string }
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatal(err)
		}
		got = append(got, line.Linked+"/"+line.Reached)
	}
	if want := []string{"all/some", "all/none", "all/some", "all/all", "none/all", "all/all"}; !slices.Equal(got, want) {
		t.Errorf("logged linked/reached %q, want %q", got, want)
	}
}
