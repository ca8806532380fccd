package placement

import (
	"math"
	"time"
)

// speedEstimator learns how fast an endpoint reads prompts from the times to the first
// token that it is seen to take.
//
// Load: endpoints of any make, and of several makes in one service. Harm
// prevented: a cost that is off by the factor between an endpoint and what was
// assumed, so that slow endpoints get as much to read as fast ones. Limit: it
// follows a low quantile of the times, since waiting behind others only adds to
// them, and moves by a few percent with each answer, so that a second of a full
// queue moves it by less than a fifth.
type speedEstimator struct {
	baseMS     float64 // ms to the first token of a prompt that is cached whole.
	msPerToken float64 // ms for each token to read.
}

const (
	// defaultTokensPerMS is how many prompt tokens an endpoint reads in a millisecond
	// until it has been seen to: 92 to 112, beside streams, on the deployments
	// that we know.
	defaultTokensPerMS = 92.0
	// defaultBaseMS is the time to the first token of a cached prompt there.
	defaultBaseMS = 30.0 // ms
	// minTokensPerMS and maxTokensPerMS bound what is learned.
	minTokensPerMS, maxTokensPerMS = 10.0, 1000.0
	// estimatedQuantile is the share of times that lie below what is learned.
	estimatedQuantile = 0.3
	// maxStep is the largest change by one answer, a share.
	maxStep = 0.06
	// crossoverTokens is the length from which a prompt tells more of the reading
	// than of all else.
	crossoverTokens = defaultBaseMS * defaultTokensPerMS
)

func newSpeedEstimator() speedEstimator {
	return speedEstimator{baseMS: defaultBaseMS, msPerToken: 1 / defaultTokensPerMS}
}

// tokensPerMS is how many tokens are read in a millisecond.
func (s *speedEstimator) tokensPerMS() float64 { return 1 / s.msPerToken }

// equalSpeedFactor is the factor within which endpoints count as equally fast: what is
// learned of equal ones differs by a tenth or two.
const equalSpeedFactor = 1.6

// normalizeSpeeds sets how fast each of the service's endpoints reads: what is assumed,
// times how it compares with the others. Costs of other kinds were weighed against
// what is assumed, and only differences choose an endpoint.
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
		if ratio := e.speed.tokensPerMS() / geometricMean; ratio < 1/equalSpeedFactor || ratio > equalSpeedFactor {
			e.normalizedTokensPerMS *= ratio
		}
	}
}

// observe takes the time to the first token of a prompt of which so many tokens were
// to be read: the expected time moves up or down by fixed steps, so that the share
// of times below it comes to be the quantile (a stochastic quantile regression).
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
