package placement

import "time"

// Held explains in logs what was believed of the prompt's parts at the endpoint that was chosen.
type Held struct {
	Tokens float64       // Expected number of the prompt's tokens that it holds.
	Age    time.Duration // Since the last known use of the prompt's shared parts; -1 ms for none.
	Saved  time.Duration // Time for reading them.
	Wait   time.Duration // For the requests before this one; 0 if unknown.
	// Requests is how many all instances were known to have there, Waiting how many of them
	// without an answer; 0 if unknown.
	Requests, Waiting int
}

// WeighHeldPrompts lets what endpoints hold be estimated from their memory, as far as they report
// it, instead of an assumed time. It has to be called before the first request.
func (t *Table) WeighHeldPrompts() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.weighsHeld = true
}

// believedHeld returns what is believed of the prompt's parts at the endpoint.
func (e *endpointState) believedHeld(q *Query, prefill prefillEstimate, now time.Duration) Held {
	held := Held{Age: -time.Millisecond}
	load, told := e.sharedLoad(q, now)
	if told {
		held.Requests, held.Waiting = load.Requests, load.Waiting
		held.Wait = time.Duration(load.WaitMS() * float64(time.Millisecond))
	}
	held.Tokens = max(0, q.totalTokens-prefill.missingTokens-prefill.fetchedTokens)
	held.Saved = time.Duration(held.Tokens / e.tokensPerMS(q) * float64(time.Millisecond))
	if len(q.keys) >= 2 {
		if at, found := e.held.LastUse(q.keys[len(q.keys)-2]); found {
			held.Age = now - at
		}
	}
	return held
}

// tokensPerMS returns the prefill speed by which the query's costs are computed.
func (e *endpointState) tokensPerMS(q *Query) float64 {
	if q.isTimed {
		return 1 / e.prompts.speed.MSPerToken(&e.prefillSpeed)
	}
	return e.normalizedTokensPerMS
}
