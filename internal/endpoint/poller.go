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
	// Every is the mean time between two questions to one endpoint. Each pause
	// is drawn within half of it to either side, so that the instances that
	// poll the same endpoint do not fall into step.
	Every time.Duration
	// PerSecond bounds the questions of this instance to all endpoints
	// together; with many endpoints each is asked less often. A question and
	// its answer take about 400 bytes on the wire.
	PerSecond float64
}

// Run polls until ctx ends and all questions have ended.
func (p *Poller) Run(ctx context.Context) {
	var asked sync.WaitGroup
	defer asked.Wait()
	open := map[string]context.CancelFunc{}
	defer func() {
		for _, stop := range open {
			stop()
		}
	}()
	for {
		p.follow(ctx, &asked, open)
		if !pause(ctx, p.Every) {
			return
		}
	}
}

// interval returns the mean time between two questions to one of n endpoints.
func (p *Poller) interval(n int) time.Duration {
	bounded := time.Duration(float64(n) / p.PerSecond * float64(time.Second))
	return max(p.Every, bounded)
}

// follow starts a poll of each new target and stops those of targets gone.
func (p *Poller) follow(ctx context.Context, asked *sync.WaitGroup, open map[string]context.CancelFunc) {
	listed := map[string]bool{}
	for _, target := range p.Targets() {
		key := target.Name + " " + target.URL
		listed[key] = true
		if _, ok := open[key]; ok {
			continue
		}
		polling, stop := context.WithCancel(ctx)
		open[key] = stop
		asked.Go(func() { p.poll(polling, target) })
	}
	for key, stop := range open {
		if !listed[key] {
			stop()
			delete(open, key)
		}
	}
}

func (p *Poller) poll(ctx context.Context, target Target) {
	for ctx.Err() == nil {
		if load, err := p.Loader.Load(ctx, target.URL); err == nil {
			p.Report(target.Name, load)
		}
		every := p.interval(len(p.Targets()))
		if !pause(ctx, every/2+rand.N(every)) {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
