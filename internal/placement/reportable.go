package placement

import (
	"time"

	"guavapier/internal/discovery"
)

// EndpointsToRead returns the endpoints whose reports are worth reading, in no particular order:
// those at which requests with prompts are under way, from any instance as far as is known, and
// that may be sent requests without a bound.
func (t *Table) EndpointsToRead(now time.Duration) []discovery.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []discovery.Endpoint
	for _, e := range t.endpoints {
		others, _ := e.others.at(now)
		if e.reservedTokens+others.Tokens <= 0 || e.isCold(now) || e.requestRate() > 0 || e.linkLost {
			continue
		}
		if use, _ := t.useOf(e, now); use == UseNormal {
			list = append(list, e.Endpoint)
		}
	}
	return list
}
