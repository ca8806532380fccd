package server

import (
	"time"

	"guavapier/internal/decide"
	"guavapier/internal/dispatch"
	"guavapier/internal/endpoint"
	"guavapier/internal/settings"
)

const (
	connectWithin = time.Second
	// silentAfter bounds a stream without any byte. It is short because giving
	// up a connection costs little: the run is resumed on a new one and
	// nothing is generated anew.
	silentAfter   = 2 * time.Second
	controlWithin = 2 * time.Second
	// loadEvery and loadsPerSecond bound the load polls: an endpoint leaves
	// the placement within 3 s of its own word, and the polls of one instance
	// take about 4 KB/s at most.
	loadEvery      = 500 * time.Millisecond
	loadsPerSecond = 10
)

// endpoints holds the clients of the endpoints and polls their load.
type endpoints struct {
	counts   endpoint.Counts
	engines  *endpoint.HTTPEngines
	services *endpoint.HTTPServices
	poller   *endpoint.Poller
}

func newEndpoints(limits settings.Limits, m *members, d *dispatch.Dispatcher) *endpoints {
	opts := endpoint.Options{
		Connect: connectWithin, Silence: min(silentAfter, limits.Progress.D()), Control: controlWithin, AnswerBytes: limits.AnswerBytes,
	}
	e := &endpoints{}
	e.engines = endpoint.NewHTTPEngines(opts, &e.counts)
	e.services = endpoint.NewHTTPServices(opts, &e.counts)
	e.poller = &endpoint.Poller{
		Loader: e.engines, Every: loadEvery, PerSecond: loadsPerSecond,
		Targets: func() []endpoint.Target { return targets(m) },
		Report:  func(name string, load endpoint.Load) { report(d, name, load) },
	}
	return e
}

func targets(m *members) []endpoint.Target {
	var out []endpoint.Target
	for _, e := range m.list().Endpoints {
		out = append(out, endpoint.Target{Name: e.Name, URL: e.URL})
	}
	return out
}

// report hands an endpoint's load report to the decisions. Its time is when
// the endpoint took it, so that a late report is known to be old.
func report(d *dispatch.Dispatcher, name string, load endpoint.Load) {
	taken := d.Now() - time.Duration(load.AgeMs)*time.Millisecond
	d.Update(func(decider *decide.Decider) {
		decider.SetReport(name, decide.Report{Running: load.Running, Queued: load.Queued, At: taken})
		if load.Leaving {
			decider.SetLeaving(name)
		}
	})
}
