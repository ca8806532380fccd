package decide

// learned is what finished requests told about an endpoint, as moving averages
// in seconds. A zero average is unknown.
type learned struct {
	base    float64 // To the first token, the prompt in the cache.
	perTok  float64 // For each prompt token that is not in the cache.
	pace    float64 // For each generated token; a plain service's answer.
	hold    float64 // A slot's time for one request.
	miss    float64 // Share of a prompt not in the cache at the session's home.
	samples int
}

const (
	// gain of the moving averages: about the last ten results count, enough
	// against a single long prompt, few enough to follow a change in seconds.
	gain = 0.1
	// delayGain follows a queue of prompts, which grows faster than engines age.
	delayGain = 0.2
	// fewUncached and manyUncached bound the prompts that teach base and
	// perTok: what lies between would mix the two.
	fewUncached, manyUncached = 256, 512
	// The values before anything was learned; any engine teaches its own in a
	// few requests.
	unknownPerToken = 100e-6
	unknownBase     = 50e-3
	unknownHold     = 1.0
)

func average(old *float64, sample float64) {
	if *old == 0 {
		*old = sample
		return
	}
	*old += gain * (sample - *old)
}

func (l *learned) prefill() float64 { return known(l.perTok, unknownPerToken) }

func known(v, unknown float64) float64 {
	if v <= 0 {
		return unknown
	}
	return v
}

// learn takes a finished request's result into the tables; seen tells that its
// first token was taken before.
func (d *Decider) learn(row *requestRow, result Result, seen bool) {
	e := row.endpoint
	if result.Abandoned {
		if !seen && result.Tokens == 0 && row.Service == "" {
			e.learnDelay(row, result.Total.Seconds(), d.now) // At least.
		}
		return
	}
	if result.Failed {
		d.learnFailure(row, result)
		return
	}
	e.learnMiss(row, result)
	total, first := result.Total.Seconds(), result.FirstToken.Seconds()
	l := &e.learned
	l.samples++
	average(&l.hold, total)
	average(&row.pool.hold, total)
	pace := total
	if result.Tokens > 0 {
		pace = max(0, total-first) / float64(result.Tokens)
		if !seen {
			e.learnDelay(row, first, d.now)
			l.learnFirst(row, first)
		}
	} else {
		average(&l.base, total)
	}
	average(&l.pace, pace)
	average(&row.pool.pace, pace)
	average(&row.pool.base, known(l.base, unknownBase))
	average(&row.pool.perTok, l.prefill())
	d.learnSuccess(row, pace)
}

// learnMiss follows how much of a prompt the cache still holds when a session
// comes back. An endpoint whose memory is overcommitted misses more and more.
func (e *endpointRow) learnMiss(row *requestRow, result Result) {
	if result.Cached <= 0 || row.rank[0] != e || row.PromptTokens <= 0 {
		return
	}
	miss := max(0, 1-float64(result.Cached)/float64(row.PromptTokens))
	average(&e.learned.miss, miss)
}

func (e *endpointRow) learnDelay(row *requestRow, first float64, now Time) {
	e.delay = e.delayNow(now)
	e.delay += delayGain * (max(0, first-row.expected) - e.delay)
	e.delayAt = now
}

func (l *learned) learnFirst(row *requestRow, first float64) {
	switch {
	case row.prefillDue <= fewUncached:
		average(&l.base, first)
	case row.prefillDue >= manyUncached:
		average(&l.perTok, max(1e-7, (first-l.base)/row.prefillDue))
	}
}
