package forward

import (
	"math/rand/v2"
	"time"
)

// restReturnJitter bounds the random delay after which callers come back once an endpoint has
// rested, so that they don't come all at once.
const restReturnJitter = 500 * time.Millisecond

// restRefusal returns the refusal of a request that no endpoint may get since some rest; nil if
// none does.
func (c *call) restRefusal() *refusal {
	endsIn, rests := c.f.Endpoints.RestEndsIn(c.query(), c.f.Clock())
	if !rests {
		return nil
	}
	return notRun(ReasonResting, endsIn+rand.N(restReturnJitter))
}
