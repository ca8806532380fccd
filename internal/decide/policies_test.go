package decide

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"
)

var (
	// GPUs of each engine.
	mixedSizes = []int{1, 1, 2, 2, 2, 3, 3, 4, 5, 5, 6, 6}
	equalSizes = []int{4, 4, 4, 4, 4, 4, 4, 4, 4, 4}
)

const (
	// Results count after policyWarmup, for policyWindow. Measured weights
	// change with each weightWindow.
	policyWarmup = 90 * time.Second
	policyWindow = 60 * time.Second
	instances    = 6
	weightWindow = 5 * time.Second
)

type policy struct {
	name   string
	build  func(seed uint64) router
	weight func(*engineModel) float64 // Nil means the configured capacity.
	// measuredWeight computes the weight again after each window, from the
	// throughput; before the first window it is 1.
	measuredWeight bool
}

func policies() []policy {
	simple := func(pick func(*baseline, *Request) int) func(uint64) router {
		return func(seed uint64) router { return newBaseline(seed, pick) }
	}
	ours := func(seed uint64) router { return New(Options{Seed: seed, Zone: "z0"}) }
	return []policy{
		{name: "decide", build: ours},
		{name: "round robin", build: simple(roundRobin)},
		{name: "least in flight", build: simple(leastInFlight)},
		{name: "power of two", build: simple(powerOfTwo)},
		{name: "plain affinity", build: simple(plainAffinity)},
		{name: "decide, weight 1", build: ours, weight: func(*engineModel) float64 { return 1 }},
		{name: "decide, max input", build: ours, measuredWeight: true, weight: func(e *engineModel) float64 { return float64(max(1, e.input.maxPerWindow)) }},
		{name: "decide, uncached", build: ours, measuredWeight: true, weight: func(e *engineModel) float64 { return float64(max(1, e.uncached.maxPerWindow)) }},
		{name: "weighted affinity", build: simple(weightedAffinity)},
	}
}

// cell holds the results of one policy at one load, for all seeds. load is a
// multiple of the capacity.
type cell struct {
	policy, shape string
	load          float64
	runs          []*sim
}

func (p policy) run(seed uint64, sizes []int, load float64) *sim {
	s := newSim(seed, sizes, instances, func(i int) router { return p.build(seed*100 + uint64(i)) })
	if p.weight != nil {
		s.publishEndpoints(p.weight)
		if p.measuredWeight {
			s.every(weightWindow, func() { s.updateWeights(p.weight) })
		}
	}
	s.windowStart, s.windowEnd = policyWarmup, policyWarmup+policyWindow
	gpus := 0
	for _, n := range sizes {
		gpus += n
	}
	s.startSessions(load*capacity(gpus), policyWarmup+policyWindow)
	s.run(policyWarmup + policyWindow)
	return s
}

// updateWeights ends a window of the throughput counts and publishes the
// weights from it.
func (s *sim) updateWeights(weight func(*engineModel) float64) {
	for _, e := range s.engines {
		e.input.endWindow()
		e.uncached.endWindow()
	}
	s.publishEndpoints(weight)
}

// BenchmarkPolicies prints the comparison of policies in
// docs/measurements/decide.md. The environment variables POLICY (prefix of a
// name) and LOADS (multiples of the capacity, separated by commas) narrow it;
// REPORTS sets the interval of load reports.
func BenchmarkPolicies(b *testing.B) {
	for range b.N {
		cells := runCells(b)
		printCells(cells)
		for _, c := range cells {
			name := strings.ReplaceAll(fmt.Sprintf("%s/%s/%.0f%%:goodput", c.policy, c.shape, c.load*100), " ", "-")
			b.ReportMetric(c.mean(goodput), name)
		}
	}
}

func runCells(b *testing.B) []*cell {
	loads := []float64{0.6, 0.9, 1.1, 1.5}
	if v := os.Getenv("LOADS"); v != "" {
		loads = nil
		for _, f := range strings.Split(v, ",") {
			x, err := strconv.ParseFloat(f, 64)
			if err != nil {
				b.Fatal(err)
			}
			loads = append(loads, x)
		}
	}
	if v := os.Getenv("REPORTS"); v != "" {
		every, err := time.ParseDuration(v)
		if err != nil {
			b.Fatal(err)
		}
		reportInterval = every
	}
	var cells []*cell
	var group sync.WaitGroup
	limit := make(chan struct{}, 3)
	for _, shape := range []string{"mixed", "equal"} {
		for _, load := range loads {
			for _, p := range policies() {
				if !strings.HasPrefix(p.name, os.Getenv("POLICY")) {
					continue
				}
				c := &cell{policy: p.name, shape: shape, load: load, runs: make([]*sim, 3)}
				cells = append(cells, c)
				for i := range c.runs {
					group.Go(func() {
						limit <- struct{}{}
						c.runs[i] = p.run(uint64(i+1), map[string][]int{"mixed": mixedSizes, "equal": equalSizes}[shape], load)
						<-limit
					})
				}
			}
		}
	}
	group.Wait()
	return cells
}

func goodput(s *sim) float64 {
	return float64(s.classes[PriorityInteractive].answered) / policyWindow.Seconds()
}

func (c *cell) mean(of func(*sim) float64) float64 {
	sum := 0.0
	for _, s := range c.runs {
		sum += of(s)
	}
	return sum / float64(len(c.runs))
}

func (c *cell) formatRange(of func(*sim) float64) string {
	lo, hi := of(c.runs[0]), of(c.runs[0])
	for _, s := range c.runs {
		lo, hi = min(lo, of(s)), max(hi, of(s))
	}
	return fmt.Sprintf("%.1f-%.1f", lo, hi)
}

func printCells(cells []*cell) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(w, "\nsizes\t| load\t| policy\t| goodput/s\t| (seeds)\t| reuse %\t| p50 ms\t| p95 ms\t| p99 ms\t| refused/s\t| late %\t| vain/s")
	for _, c := range cells {
		t := func(s *sim) *tally { return &s.classes[PriorityInteractive] }
		per := policyWindow.Seconds()
		fmt.Fprintf(w, "%s\t| %.0f\t| %s\t| %.1f\t| %s\t| %.1f\t| %.0f\t| %.0f\t| %.0f\t| %.1f\t| %.1f\t| %.2f\n",
			c.shape, c.load*100, c.policy, c.mean(goodput), c.formatRange(goodput),
			c.mean(func(s *sim) float64 { return 100 * float64(t(s).cached) / float64(max(1, t(s).prompt)) }),
			c.mean(func(s *sim) float64 { return 1e3 * quantile(t(s).firstTokens, 0.5) }),
			c.mean(func(s *sim) float64 { return 1e3 * quantile(t(s).firstTokens, 0.95) }),
			c.mean(func(s *sim) float64 { return 1e3 * quantile(t(s).firstTokens, 0.99) }),
			c.mean(func(s *sim) float64 { return float64(t(s).refused) / per }),
			c.mean(func(s *sim) float64 { return 100 * float64(t(s).refusedLate) / float64(max(1, t(s).refused)) }),
			c.mean(func(s *sim) float64 { return float64(t(s).unanswered) / per }))
	}
	_ = w.Flush()
	for _, c := range cells {
		for _, s := range c.runs {
			if len(s.violations) > 0 {
				fmt.Println(c.policy, c.shape, c.load, len(s.violations), s.violations[0])
			}
		}
	}
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sorted := slices.Clone(v)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
