// Package prefillspeed estimates how fast each endpoint of a service processes prompts from the
// observed times to first token (TTFT) of all instances. It has no clock and does no I/O.
//
// It answers a fleet of endpoints of different hardware, some of which slow down for parts of a
// second. The service's own curve is learned from the answers of all endpoints, within a second,
// and each endpoint is compared with it: the few answers of one endpoint don't have to show the
// curve as well.
package prefillspeed

import (
	"math"
	"slices"
	"time"
)

const (
	// TokensPerPair converts the part of a prompt's work that grows with the square of its
	// length: so many tokens take as long as one pair of tokens.
	TokensPerPair = 1.6e-5
	// window is the number of answers by which an endpoint is judged. A slowdown of part of a
	// second touches few of them.
	window = 16
	// minSamples is the number of answers from which on an endpoint is told from the others.
	minSamples = 4
	// minWork is the work from which on an answer tells of the prefill and not of the rest.
	minWork = 1500.0 // tokens
	// quantile is the share of an endpoint's answers that are faster than its estimate. Queues
	// and slowdowns only lengthen a TTFT.
	quantile = 0.35
	// sampleDeviation is the standard deviation of the logarithm of one TTFT.
	sampleDeviation = 0.45
	// maxRatio bounds how much faster or slower than its service an endpoint can be.
	maxRatio = 4.0
	// curveStep is the relative change of a service's curve by one answer, firstSteps a factor
	// for the first ones.
	curveStep, firstSteps, curveQuantile = 0.01, 10.0, 0.4
	defaultBaseMS, defaultTokensPerMS    = 30.0, 92.0
)

// Work returns the work of computing the missing tokens of a prompt, in tokens of a short prompt.
func Work(missing, total float64) float64 {
	cached := total - missing
	return missing + TokensPerPair*(total*total-cached*cached)
}

// Service is the curve of the TTFT over the work, common to the endpoints of a service.
type Service struct {
	baseMS, msPerToken float64
	samples            float64
	unequal            bool // See IsUnequal.
}

// NewService returns the curve of a service of which nothing is known.
func NewService() *Service {
	return &Service{baseMS: defaultBaseMS, msPerToken: 1 / defaultTokensPerMS}
}

// Endpoint holds the latest answers of an endpoint.
type Endpoint struct {
	logRatios [window]float64 // Of the TTFTs to the service's.
	samples   int
	ratio     float64 // Of the times; 0 for an unknown one.
	weight    float64 // See Weight.
}

// Observe records the TTFT of a prompt of which this many tokens were not cached.
func (s *Service) Observe(e *Endpoint, tokens float64, ttft time.Duration) {
	work := Work(tokens, tokens)
	ttftMS := max(0.1, float64(ttft)/float64(time.Millisecond))
	expectedMS := s.baseMS + s.msPerToken*work
	if work >= minWork {
		e.add(math.Log(ttftMS / expectedMS))
	}
	s.samples++
	step := curveStep * max(1, firstSteps/(1+s.samples/firstSteps))
	if ttftMS < expectedMS {
		step *= -(1 - curveQuantile)
	} else {
		step *= curveQuantile
	}
	prefillShare := s.msPerToken * work / expectedMS
	s.msPerToken *= math.Exp(step * prefillShare)
	s.baseMS *= math.Exp(step * (1 - prefillShare))
	s.msPerToken = min(max(s.msPerToken, 1e-3), 0.1)
	s.baseMS = min(max(s.baseMS, 1), 1000)
}

// add adds an answer and estimates the ratio anew.
func (e *Endpoint) add(logRatio float64) {
	e.logRatios[e.samples%window] = logRatio
	e.samples++
	n := min(e.samples, window)
	if n < minSamples {
		return
	}
	var sorted [window]float64
	copy(sorted[:n], e.logRatios[:n])
	slices.Sort(sorted[:n])
	shrunk := shrink(sorted[int(quantile*float64(n-1)+0.5)], n)
	e.ratio = math.Exp(shrunk)
	e.weight = math.Exp2(-math.Round(shrunk / math.Ln2))
}

// shrink draws a logarithm that rests on n answers towards 0: one that is no larger than its
// standard error is noise, as between identical endpoints, and a much larger one is kept.
func shrink(logRatio float64, n int) float64 {
	noise := sampleDeviation * sampleDeviation / float64(n)
	if logRatio*logRatio <= noise {
		return 0
	}
	shrunk := logRatio * (1 - noise/(logRatio*logRatio))
	return min(max(shrunk, -math.Log(maxRatio)), math.Log(maxRatio))
}

const (
	// unequalRatio and equalRatio are the ratios of the times of slow and fast endpoints from
	// which on a service's endpoints count as unequal, and below which as equal again. Estimates
	// of identical endpoints differ by 10 to 20 %.
	unequalRatio, equalRatio = 1.8, 1.5
	// comparedSamples is the number of answers from which on an endpoint is compared. Estimates
	// that rest on fewer differ as much between identical endpoints.
	comparedSamples = 10
	// slowQuantile and fastQuantile select the endpoints that are compared.
	slowQuantile, fastQuantile = 0.85, 0.15
	// minKnownShare is the share of the endpoints that must be known.
	minKnownShare = 0.5
)

// CompareEndpoints finds out whether the endpoints, which are all of the service, are unequal.
func (s *Service) CompareEndpoints(endpoints []*Endpoint) {
	var ratios []float64
	for _, e := range endpoints {
		if e.samples >= comparedSamples {
			ratios = append(ratios, e.timeRatio())
		}
	}
	if len(ratios) == 0 || float64(len(ratios)) < minKnownShare*float64(len(endpoints)) {
		return
	}
	slices.Sort(ratios)
	last := float64(len(ratios) - 1)
	spread := ratios[int(slowQuantile*last+0.5)] / ratios[int(fastQuantile*last+0.5)]
	switch {
	case spread >= unequalRatio:
		s.unequal = true
	case spread < equalRatio:
		s.unequal = false
	}
}

// IsUnequal reports whether the service's endpoints are known to differ in speed by more than the
// estimates of identical ones.
func (s *Service) IsUnequal() bool { return s.unequal }

// timeRatio returns how long the endpoint takes in relation to the service.
func (e *Endpoint) timeRatio() float64 {
	if e.ratio == 0 {
		return 1
	}
	return e.ratio
}

// Weight returns the endpoint's speed in relation to its service, as a power of 2: instances whose
// estimates differ a little agree on it.
func (e *Endpoint) Weight() float64 {
	if e.weight == 0 {
		return 1
	}
	return e.weight
}

// MSPerToken returns the time, in milliseconds, that the endpoint takes for a token of work.
func (s *Service) MSPerToken(e *Endpoint) float64 { return s.msPerToken * e.timeRatio() }

// ExpectedMS returns the endpoint's TTFT, without a queue, for a prompt of which this many tokens are
// not cached, in milliseconds.
func (s *Service) ExpectedMS(e *Endpoint, tokens float64) float64 {
	return s.BaseMS(e) + Work(tokens, tokens)*s.MSPerToken(e)
}

// BaseMS returns the endpoint's TTFT for a prompt without work, in milliseconds.
func (s *Service) BaseMS(e *Endpoint) float64 { return s.baseMS * e.timeRatio() }
