package endpoint

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Target is an endpoint whose load is polled. URL is its base URL.
type Target struct {
	Name string
	URL  string
}

// Loader requests an endpoint's load report. HTTPEngines implements it.
type Loader interface {
	Load(ctx context.Context, base string) (Load, error)
}

// Poller polls the load of all endpoints, each in its own goroutine, so that an
// endpoint that doesn't respond doesn't delay the others.
type Poller struct {
	Loader Loader
	// Targets returns the endpoints to poll. It is called repeatedly.
	Targets func() []Target
	// Report is called with each load report. It isn't called for a failed poll,
	// so the endpoint's last report becomes stale.
	Report func(name string, load Load)
	// Interval is the mean pause between two polls of one endpoint. Each pause is
	// drawn uniformly from 50 to 150 per cent of it, so that the instances that
	// poll the same endpoint do not synchronise.
	Interval time.Duration
	// MaxRequestsPerSecond bounds the rate of polls to all endpoints together.
	// With many endpoints each is polled less often than Interval. A poll takes
	// about 400 bytes on the wire, request and response together.
	MaxRequestsPerSecond float64
}

// Run polls until ctx is done. It returns after all polls have ended.
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

// meanInterval returns the mean pause between two polls of one of n endpoints.
func (p *Poller) meanInterval(n int) time.Duration {
	rateLimited := time.Duration(float64(n) / p.MaxRequestsPerSecond * float64(time.Second))
	return max(p.Interval, rateLimited)
}

// updateTargets starts polling new targets and stops polling removed ones. polls
// maps a target's name and URL to the function that stops its polling.
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

// sleep waits for d and reports whether it elapsed before ctx was done.
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
