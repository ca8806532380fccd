package prefillspeed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// answer returns the number of tokens of a prompt and its TTFT at an endpoint of this speed. A
// seventh of the time endpoints take 2.5 times as long, and a fifth of the prompts wait.
func answer(rng *rand.Rand, speed float64) (tokens float64, ttft time.Duration) {
	const tokensPerMS = 66.0
	tokens = 600 * rng.ExpFloat64()
	if rng.IntN(2) == 0 {
		tokens = 1500 + 5000*rng.ExpFloat64()
	}
	ms := (20 + Work(tokens, tokens)/tokensPerMS) / speed
	if rng.Float64() < 0.15 {
		ms *= 2.5
	}
	if rng.Float64() < 0.2 {
		ms += 100 * rng.ExpFloat64()
	}
	return tokens, time.Duration((ms + 5) * float64(time.Millisecond))
}

// observe returns the estimates after so many answers of each endpoint.
func observe(speeds []float64, answers int) (*Service, []Endpoint) {
	rng := rand.New(rand.NewPCG(1, 2))
	s, endpoints := NewService(), make([]Endpoint, len(speeds))
	for range answers {
		for i, speed := range speeds {
			tokens, ttft := answer(rng, speed)
			s.Observe(&endpoints[i], tokens, ttft)
		}
	}
	return s, endpoints
}

// Of 120 endpoints two thirds are 0.7 and one third 1.7 times as fast as usual. After 30 answers
// each, eight seconds of their load, nine of ten are known within a quarter.
func TestEndpointsOfUnequalSpeedAreToldApart(t *testing.T) {
	speeds := make([]float64, 120)
	for i := range speeds {
		speeds[i] = []float64{0.7, 0.7, 1.7}[i%3]
	}
	s, endpoints := observe(speeds, 30)
	wrong := 0
	for i := range endpoints {
		ratio := s.MSPerToken(&endpoints[i]) * 66 * speeds[i]
		if ratio < 0.8 || ratio > 1.25 {
			wrong++
		}
		if want := []float64{1, 1, 2}[i%3]; endpoints[i].Weight() != want {
			t.Errorf("an endpoint of speed %.1f has weight %.1f, want %.0f", speeds[i], endpoints[i].Weight(), want)
		}
	}
	if wrong > len(speeds)/10 {
		t.Errorf("the speeds of %d of %d endpoints are wrong by more than a quarter", wrong, len(speeds))
	}
}

// The estimates of identical endpoints differ by chance. That must not move prompts.
func TestIdenticalEndpointsCountAsEqual(t *testing.T) {
	speeds := make([]float64, 120)
	for i := range speeds {
		speeds[i] = 1
	}
	for _, answers := range []int{10, 30, 100} {
		_, endpoints := observe(speeds, answers)
		sum, unequal := 0.0, 0
		for i := range endpoints {
			deviation := math.Abs(math.Log(endpoints[i].timeRatio()))
			sum += deviation
			if deviation > math.Log(1.35) || endpoints[i].Weight() != 1 {
				unequal++
			}
		}
		if mean := sum / float64(len(speeds)); mean > 0.1 || unequal > len(speeds)/20 {
			t.Errorf("after %d answers estimates deviate by %.2f on average, %d by more than a third", answers, mean, unequal)
		}
	}
}

// An endpoint that slows down for half a second gives two or three answers in that time.
func TestAShortSlowdownDoesNotTurnTheEstimate(t *testing.T) {
	s, endpoints := observe([]float64{1, 1, 1, 1}, 40)
	before := s.MSPerToken(&endpoints[0])
	for range 3 {
		s.Observe(&endpoints[0], 4000, 250*time.Millisecond)
	}
	if ratio := s.MSPerToken(&endpoints[0]) / before; ratio > 1.25 {
		t.Errorf("the estimate grows %.2f times", ratio)
	}
}

// Whatever is observed, an estimate stays within its bounds.
func TestEstimatesAreBounded(t *testing.T) {
	s, e := NewService(), Endpoint{}
	var others Endpoint
	for range 1000 {
		s.Observe(&e, 5000, time.Hour)
		s.Observe(&others, 5000, 0)
	}
	if r := e.timeRatio(); r > maxRatio*1.001 {
		t.Errorf("ratio %.1f", r)
	}
	if r := others.timeRatio(); r < 0.999/maxRatio {
		t.Errorf("ratio %.3f", r)
	}
	if ms := s.MSPerToken(&e); ms <= 0 || math.IsInf(ms, 0) || math.IsNaN(ms) {
		t.Errorf("%f ms per token", ms)
	}
}

// Endpoints of one speed, or of nearly one, stay equal whatever stalls and queues do, also as long as
// few answers are known and where two fifths of them were delayed on the way; those of which a third is
// 2.4 times as fast are unequal within eight seconds of their load.
func TestUnequalEndpointsAreNoticed(t *testing.T) {
	for _, test := range []struct {
		speeds  []float64
		answers int
		delayed float64 // Share of the answers.
		want    bool
	}{
		{[]float64{1, 1, 1}, 30, 0, false}, {[]float64{1, 1, 1.3}, 30, 0, false}, {[]float64{0.7, 0.7, 1.7}, 30, 0, true},
		{[]float64{1, 1, 1}, 30, 0.4, false}, {[]float64{1, 1, 1.3}, 30, 0.2, false}, {[]float64{0.7, 0.7, 1.7}, 30, 0.4, true},
	} {
		rng := rand.New(rand.NewPCG(1, 3))
		s, endpoints := NewService(), make([]Endpoint, 120)
		var all []*Endpoint
		for i := range endpoints {
			all = append(all, &endpoints[i])
		}
		for range test.answers {
			for i, e := range all {
				tokens, ttft := answer(rng, test.speeds[i%len(test.speeds)])
				if rng.Float64() < test.delayed {
					ttft += time.Duration(400 * rng.ExpFloat64() * float64(time.Millisecond))
				}
				s.Observe(e, tokens, ttft)
			}
			if s.CompareEndpoints(all); s.IsUnequal() && !test.want {
				t.Fatalf("endpoints of %+v count as unequal", test)
			}
		}
		if !s.IsUnequal() && test.want {
			t.Errorf("endpoints of %+v count as equal", test)
		}
	}
}
