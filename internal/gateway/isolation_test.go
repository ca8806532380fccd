package gateway

import (
	"testing"
	"time"

	"guavapier/internal/placement"
)

func TestCallersLeaveAnInstanceThatReachesNoEndpoint(t *testing.T) {
	none := map[string]placement.Reach{"s": {Listed: 3, Unreachable: 3}, "t": {Listed: 1, Unreachable: 1}}
	one := map[string]placement.Reach{"s": {Listed: 3, Unreachable: 3}, "t": {Listed: 1}}
	for name, c := range map[string]struct {
		reach     map[string]placement.Reach
		hasOthers bool
		want      bool
	}{
		"no endpoint is reachable":   {none, true, true},
		"one is reachable":           {one, true, false},
		"there is no other instance": {none, false, false},
		"no endpoint is listed":      {map[string]placement.Reach{}, true, false},
	} {
		var i isolation
		start := time.Minute
		i.update(c.reach, c.hasOthers, start)
		i.update(c.reach, c.hasOthers, start+isolationDelay-1)
		if i.isIsolated() {
			t.Errorf("%s: isolated before %s", name, isolationDelay)
		}
		i.update(c.reach, c.hasOthers, start+isolationDelay)
		if i.isIsolated() != c.want {
			t.Errorf("%s: isolated %t, want %t", name, i.isIsolated(), c.want)
		}
		if i.update(one, true, start+isolationDelay+1); i.isIsolated() {
			t.Errorf("%s: isolated although an endpoint is reachable again", name)
		}
	}
}
