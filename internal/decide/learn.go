package decide

// endpointEstimates is what finished requests told about an endpoint, as moving averages
// in seconds. A zero average is unknown.
type endpointEstimates struct {
	baseFirstToken  float64 // To the first token, the prompt in the cache.
	prefillPerToken float64 // For each prompt token that is not in the cache.
	timePerToken    float64 // For each generated token; a plain service's answer.
	slotTime        float64 // A slot's time for one request.
	cacheMissShare  float64 // Share of a prompt not in the cache at the session's home.
	samples         int
}

const (
	// averageGain of the moving averages: about the last ten results count, enough
	// against a single long prompt, few enough to follow a change in seconds.
	averageGain = 0.1
	// delayGain follows a queue of prompts, which grows faster than engines age.
	delayGain = 0.2
	// fewUncachedTokens and manyUncachedTokens bound the prompts that teach base and
	// perTok: what lies between would mix the two.
	fewUncachedTokens, manyUncachedTokens = 256, 512
	// The values before anything was learned; any engine teaches its own in a
	// few requests.
	defaultPrefillPerToken = 100e-6
	defaultBaseFirstToken  = 50e-3
	defaultSlotTime        = 1.0
)

func updateAverage(old *float64, sample float64) {
	if *old == 0 {
		*old = sample
		return
	}
	*old += averageGain * (sample - *old)
}

func (l *endpointEstimates) prefillPerTokenOrDefault() float64 {
	return valueOr(l.prefillPerToken, defaultPrefillPerToken)
}

func valueOr(v, fallback float64) float64 {
	if v <= 0 {
		return fallback
	}
	return v
}

// observeResult takes a finished request's result into the tables; seen tells that its
// first token was taken before.
func (d *Decider) observeResult(row *requestRow, result Result, firstTokenSeen bool) {
	e := row.endpoint
	if result.Abandoned {
		if !firstTokenSeen && result.Tokens == 0 && row.Service == "" {
			e.observeDelay(row, result.Total.Seconds(), d.now) // At least.
		}
		return
	}
	if result.Failed {
		d.observeFailure(row, result)
		return
	}
	e.observeCacheMiss(row, result)
	total, firstToken := result.Total.Seconds(), result.FirstToken.Seconds()
	l := &e.estimates
	l.samples++
	updateAverage(&l.slotTime, total)
	updateAverage(&row.pool.slotTime, total)
	timePerToken := total
	if result.Tokens > 0 {
		timePerToken = max(0, total-firstToken) / float64(result.Tokens)
		if !firstTokenSeen {
			e.observeDelay(row, firstToken, d.now)
			l.observeFirstToken(row, firstToken)
		}
	} else {
		updateAverage(&l.baseFirstToken, total)
	}
	updateAverage(&l.timePerToken, timePerToken)
	updateAverage(&row.pool.timePerToken, timePerToken)
	updateAverage(&row.pool.baseFirstToken, valueOr(l.baseFirstToken, defaultBaseFirstToken))
	updateAverage(&row.pool.prefillPerToken, l.prefillPerTokenOrDefault())
	d.observeSuccess(row, timePerToken)
}

// observeCacheMiss follows how much of a prompt the cache still holds when a session
// comes back. An endpoint whose memory is overcommitted misses more and more.
func (e *endpointRow) observeCacheMiss(row *requestRow, result Result) {
	if result.Cached <= 0 || row.rank[0] != e || row.PromptTokens <= 0 {
		return
	}
	missShare := max(0, 1-float64(result.Cached)/float64(row.PromptTokens))
	updateAverage(&e.estimates.cacheMissShare, missShare)
}

func (e *endpointRow) observeDelay(row *requestRow, firstToken float64, now Time) {
	e.firstTokenDelay = e.currentDelay(now)
	e.firstTokenDelay += delayGain * (max(0, firstToken-row.expectedFirstToken) - e.firstTokenDelay)
	e.firstTokenDelayAt = now
}

func (l *endpointEstimates) observeFirstToken(row *requestRow, firstToken float64) {
	switch {
	case row.prefillBacklog <= fewUncachedTokens:
		updateAverage(&l.baseFirstToken, firstToken)
	case row.prefillBacklog >= manyUncachedTokens:
		updateAverage(&l.prefillPerToken, max(1e-7, (firstToken-l.baseFirstToken)/row.prefillBacklog))
	}
}
