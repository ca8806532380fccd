package decide

// endpointEstimates holds moving averages over the requests that an endpoint
// finished, in seconds unless stated. A zero average is unknown.
type endpointEstimates struct {
	baseFirstToken  float64 // To the first token with the whole prompt in the cache; for a plain service, to the answer.
	prefillPerToken float64 // For each prompt token that is not in the cache.
	timePerToken    float64 // For each generated token; for a plain service, the whole answer.
	slotTime        float64 // From start to end of a request.
	cacheMissShare  float64 // Share of a prompt that is not in the cache at the session's first ranked endpoint.
	samples         int     // Finished requests, without failed and abandoned ones.
}

const (
	// averageGain is the weight of a new sample: about the last ten results
	// count, enough to even out a single long prompt and few enough to follow a
	// change in seconds.
	averageGain = 0.1
	// delayGain is the weight of a new sample of the first token's delay. A
	// queue of prompts grows faster than the other averages change.
	delayGain = 0.2
	// Only prompts with at most fewUncachedTokens tokens to compute update
	// baseFirstToken, and only those with at least manyUncachedTokens update
	// prefillPerToken. Those between would mix the two.
	fewUncachedTokens, manyUncachedTokens = 256, 512
	// The estimates in seconds before the first sample. An endpoint has its own
	// after a few requests.
	defaultPrefillPerToken = 100e-6
	defaultBaseFirstToken  = 50e-3
	defaultSlotTime        = 1.0
)

// updateAverage adds a sample to a moving average, of which 0 means none yet.
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

// valueOr returns v, or the fallback if v is not positive, which means
// unknown.
func valueOr(v, fallback float64) float64 {
	if v <= 0 {
		return fallback
	}
	return v
}

// observeResult updates the estimates and the health of the row's endpoint,
// and the averages of its pool. firstTokenSeen says that ObserveFirstToken
// has recorded the first token already.
func (d *Decider) observeResult(row *requestRow, result Result, firstTokenSeen bool) {
	e := row.endpoint
	if result.Abandoned {
		if !firstTokenSeen && result.Tokens == 0 && row.Service == "" {
			e.observeDelay(row, result.Total.Seconds(), d.now) // A lower bound.
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

// observeCacheMiss updates which share of a prompt the cache has lost when a
// session comes back to its first ranked endpoint. An endpoint that serves
// more sessions than its memory holds misses more and more.
func (e *endpointRow) observeCacheMiss(row *requestRow, result Result) {
	if result.Cached <= 0 || row.rank[0] != e || row.PromptTokens <= 0 {
		return
	}
	missShare := max(0, 1-float64(result.Cached)/float64(row.PromptTokens))
	updateAverage(&e.estimates.cacheMissShare, missShare)
}

// observeDelay updates by how many seconds first tokens come later than
// predicted, from one that came firstToken seconds after its start.
func (e *endpointRow) observeDelay(row *requestRow, firstToken float64, now Time) {
	e.firstTokenDelay = e.currentDelay(now)
	e.firstTokenDelay += delayGain * (max(0, firstToken-row.expectedFirstToken) - e.firstTokenDelay)
	e.firstTokenDelayAt = now
}

// observeFirstToken updates the estimates of the time to the first token,
// from one that came firstToken seconds after its start.
func (l *endpointEstimates) observeFirstToken(row *requestRow, firstToken float64) {
	switch {
	case row.prefillBacklog <= fewUncachedTokens:
		updateAverage(&l.baseFirstToken, firstToken)
	case row.prefillBacklog >= manyUncachedTokens:
		updateAverage(&l.prefillPerToken, max(1e-7, (firstToken-l.baseFirstToken)/row.prefillBacklog))
	}
}
