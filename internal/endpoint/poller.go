package endpoint

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Target is an endpoint whose load is asked for.
type Target struct {
	Name string
	URL  string
}

// Loader asks an endpoint for its load; see HTTPEngines.
type Loader interface {
	Load(ctx context.Context, base string) (Load, error)
}

// Poller asks every endpoint for its load, each on its own time. A silent
// endpoint delays no other one's report.
type Poller struct {
	Loader Loader
	// Targets returns the endpoints to ask now.
	Targets func() []Target
	// Report takes each answer. An endpoint that does not answer gets none, so
	// its last report grows old.
	Report func(name string, load Load)
	// Interval is the mean time between two questions to one endpoint. Each pause
	// is drawn within half of it to either side, so that the instances that
	// poll the same endpoint do not fall into step.
	Interval time.Duration
	// MaxRequestsPerSecond bounds the questions of this instance to all endpoints
	// together; with many endpoints each is asked less often. A question and
	// its answer take about 400 bytes on the wire.
	MaxRequestsPerSecond float64
}

// Run polls until ctx ends and all questions have ended.
func (p *Poller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	polls := map[string]context.CancelFunc{}
	defer func() {
		for _, stop := range polls {
			stop()
		}
	}()
	for {
		p.updateTargets(ctx, &wg, polls)
		if !sleep(ctx, p.Interval) {
			return
		}
	}
}

// meanInterval returns the mean time between two questions to one of n endpoints.
func (p *Poller) meanInterval(n int) time.Duration {
	rateLimited := time.Duration(float64(n) / p.MaxRequestsPerSecond * float64(time.Second))
	return max(p.Interval, rateLimited)
}

// updateTargets starts a poll of each new target and stops those of targets gone.
func (p *Poller) updateTargets(ctx context.Context, wg *sync.WaitGroup, polls map[string]context.CancelFunc) {
	listed := map[string]bool{}
	for _, target := range p.Targets() {
		key := target.Name + " " + target.URL
		listed[key] = true
		if _, ok := polls[key]; ok {
			continue
		}
		pollCtx, stop := context.WithCancel(ctx)
		polls[key] = stop
		wg.Go(func() { p.poll(pollCtx, target) })
	}
	for key, stop := range polls {
		if !listed[key] {
			stop()
			delete(polls, key)
		}
	}
}

func (p *Poller) poll(ctx context.Context, target Target) {
	for ctx.Err() == nil {
		if load, err := p.Loader.Load(ctx, target.URL); err == nil {
			p.Report(target.Name, load)
		}
		interval := p.meanInterval(len(p.Targets()))
		if !sleep(ctx, interval/2+rand.N(interval)) {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
