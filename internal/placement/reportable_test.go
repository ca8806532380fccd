package placement

import (
	"testing"
	"time"

	"guavapier/internal/discovery"
	"guavapier/internal/endpointload"
)

// Endpoints without prompts, and those that want nothing or bear little, are not asked.
func TestReportsAreReadOfEndpointsInUse(t *testing.T) {
	now := 10 * time.Second
	for name, c := range map[string]struct {
		change func(e *endpointState)
		want   int
	}{
		"in use by others": {func(*endpointState) {}, 1},
		"idle":             {func(e *endpointState) { e.others.load.Tokens = 0 }, 0},
		"told long ago":    {func(e *endpointState) { e.others.toldAt = now - 2*maxLoadAge }, 0},
		"leaving":          {func(e *endpointState) { e.leaving = true }, 0},
		"cordoned":         {func(e *endpointState) { e.cordoned = true }, 0},
		"resting":          {func(e *endpointState) { e.onRest(time.Second, now) }, 0},
		"cold":             {func(e *endpointState) { e.coldUntil = now + time.Second }, 0},
		"limited":          {func(e *endpointState) { e.stated.LimitsRequests, e.stated.RequestLimit = true, 3 }, 0},
		"unreachable":      {func(e *endpointState) { e.unreachable = true }, 0},
		"link lost":        {func(e *endpointState) { e.linkLost = true }, 0},
	} {
		table := New(1, 0)
		table.Put(discovery.Endpoint{ID: "e", Service: "s", Slots: 4}, 0)
		table.SetOthersLoads(map[string]endpointload.Load{"e": {Requests: 1, Tokens: 500}}, now)
		c.change(table.endpoints["e"])
		if got := table.EndpointsToRead(now); len(got) != c.want {
			t.Errorf("%s: %v are read, want %d", name, got, c.want)
		}
	}
}
