package placement

import (
	"math"
	"time"
)

// speedEstimator estimates how fast an endpoint processes prompts from the observed
// times to first token (TTFT).
//
// Endpoints may run on any hardware, and on several kinds within one service. If one
// speed were assumed for all, costs would be wrong by the ratio of the speeds and slow
// endpoints would get as many prompt tokens as fast ones.
//
// The estimate follows a low quantile of the TTFTs, because queueing only adds to them.
// It changes by a few percent with each answer, so that a queue that is full for a
// second changes it by less than a fifth.
type speedEstimator struct {
	baseMS     float64 // TTFT of a fully cached prompt in milliseconds.
	msPerToken float64 // Milliseconds for each token that is not cached.
}

const (
	// defaultTokensPerMS is the assumed prefill speed, in tokens per millisecond, of
	// an endpoint without observations. Known deployments reach 92 to 112 while
	// serving streams.
	defaultTokensPerMS = 92.0
	// defaultBaseMS is the assumed TTFT of a fully cached prompt.
	defaultBaseMS = 30.0 // ms
	// minTokensPerMS and maxTokensPerMS bound the estimated speed.
	minTokensPerMS, maxTokensPerMS = 10.0, 1000.0
	// estimatedQuantile is the share of the TTFTs that lie below the estimate.
	estimatedQuantile = 0.3
	// maxStep is the upper bound of the relative change of an estimate by one answer.
	maxStep = 0.06
	// crossoverTokens is the number of uncached tokens above which a TTFT says more
	// about the prefill speed than about the base time.
	crossoverTokens = defaultBaseMS * defaultTokensPerMS
)

func newSpeedEstimator() speedEstimator {
	return speedEstimator{baseMS: defaultBaseMS, msPerToken: 1 / defaultTokensPerMS}
}

// tokensPerMS returns the estimated prefill speed in tokens per millisecond.
func (s *speedEstimator) tokensPerMS() float64 { return 1 / s.msPerToken }

// maxEqualSpeedRatio is the ratio up to which endpoints count as equally fast. The
// estimates of identical endpoints differ by 10 to 20 %.
const maxEqualSpeedRatio = 1.6

// normalizeSpeeds sets the speeds that the costs of the service's endpoints are computed
// with: the default speed, times the ratio of the endpoint's estimate to the geometric
// mean of all if that is outside maxEqualSpeedRatio. The costs of other kinds are balanced
// against the default speed, and only differences in cost decide on an endpoint.
func (t *Table) normalizeSpeeds(service string) {
	logSum, count := 0.0, 0.0
	for _, e := range t.endpoints {
		if e.Service == service {
			logSum += math.Log(e.speed.tokensPerMS())
			count++
		}
	}
	geometricMean := math.Exp(logSum / max(1, count))
	for _, e := range t.endpoints {
		if e.Service != service {
			continue
		}
		e.normalizedTokensPerMS = defaultTokensPerMS
		if ratio := e.speed.tokensPerMS() / geometricMean; ratio < 1/maxEqualSpeedRatio || ratio > maxEqualSpeedRatio {
			e.normalizedTokensPerMS *= ratio
		}
	}
}

// observe updates the estimate with the TTFT of a prompt of which this many tokens were
// not cached. The expected TTFT moves up or down by fixed steps, so that the share of
// TTFTs below it converges to estimatedQuantile (stochastic quantile regression).
func (s *speedEstimator) observe(tokens float64, ttft time.Duration) {
	step := maxStep * estimatedQuantile
	if milliseconds(ttft) < s.baseMS+s.msPerToken*tokens {
		step = -maxStep * (1 - estimatedQuantile)
	}
	prefillShare := tokens / (tokens + crossoverTokens)
	s.msPerToken *= math.Exp(step * prefillShare)
	s.msPerToken = min(max(s.msPerToken, 1/maxTokensPerMS), 1/minTokensPerMS)
	s.baseMS *= math.Exp(step * (1 - prefillShare))
	s.baseMS = max(s.baseMS, 1)
}

// observeOwnTTFT updates the endpoint's estimated speeds with the TTFT of a prompt of this instance
// of which this many tokens were not cached.
func (e *endpointState) observeOwnTTFT(tokens float64, ttft, now time.Duration) {
	e.speed.observe(tokens, ttft)
	e.observeTTFT(tokens, ttft, now)
}

// observeTTFT updates what is learned from the TTFTs of all instances.
func (e *endpointState) observeTTFT(tokens float64, ttft, now time.Duration) {
	excess := milliseconds(ttft) - e.prompts.speed.ExpectedMS(&e.prefillSpeed, tokens)
	e.delay.Observe(max(0, excess), now)
	e.prompts.speed.Observe(&e.prefillSpeed, tokens, ttft)
}
