package server

import (
	"time"

	"guavapier/internal/config"
	"guavapier/internal/decide"
	"guavapier/internal/dispatch"
	"guavapier/internal/endpoint"
	"guavapier/internal/fold"
	"guavapier/internal/replica"
	"guavapier/internal/run"
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

const (
	// runEndpoints bounds how much of the fleet one bad request can touch.
	runEndpoints = 3
	// runResumes allows one connection that a middlebox has lost track of; an
	// endpoint that is silent on a new one as well is given up.
	runResumes = 1
	// runLinger is longer than the longest answer takes: 16,384 tokens at 38 ms.
	runLinger = 15 * time.Minute
	// runControl bounds the work after a run's end, and so the end of a drain.
	runControl = 10 * time.Second
)

const (
	readWithin  = time.Minute
	writeWithin = 30 * time.Second
	// callerHeartbeat is below the usual idle limits of middleboxes (30 s and
	// more). It also bounds how late a refusal can still have its status.
	callerHeartbeat = 10 * time.Second
)

func runLimits(limits settings.Limits) run.Limits {
	return run.Limits{
		MaxEndpoints: runEndpoints, MaxResumes: runResumes, ProgressTimeout: limits.Progress.D(), LingerTimeout: runLinger, ControlTimeout: runControl,
	}
}

// leaving takes an endpoint out of placement at its own word.
func (s *Server) leaving(name string) {
	s.log.Info().Str("endpoint", name).Msg("run: endpoint refuses, it is leaving")
	s.dispatcher.Update(func(d *decide.Decider) { d.SetLeaving(name) })
}

// repeatRules reads the rules for repeatable calls from the settings.
type repeatRules struct {
	config *replica.Replica[*fold.Config]
}

// Repeatable implements run.RepeatRules.
func (r repeatRules) Repeatable(service, method, path string) bool {
	var value fold.Value
	known := false
	r.config.View(func(f *fold.Config) { value, known = f.Get(config.RepeatablePath(service)) })
	if !known {
		return false
	}
	rules, err := config.ParseRepeatRules(value.Value)
	return err == nil && config.AnyRepeats(rules, method, path)
}

// endpointClients holds the clients of the endpoints and polls their load.
type endpointClients struct {
	counts   endpoint.Counts
	engines  *endpoint.HTTPEngines
	services *endpoint.HTTPServices
	poller   *endpoint.Poller
}

func newEndpointClients(limits settings.Limits, l links, table *endpointTable, d *dispatch.Dispatcher) *endpointClients {
	opts := endpoint.Options{
		Connect: connectWithin, Silence: min(silentAfter, limits.Progress.D()), Control: controlWithin, AnswerBytes: limits.AnswerBytes,
	}
	if l.secured(settings.LinkEndpoints) {
		opts.DialTLS = l.outside.Dial
	}
	e := &endpointClients{}
	e.engines = endpoint.NewHTTPEngines(opts, &e.counts)
	e.services = endpoint.NewHTTPServices(opts, &e.counts)
	e.poller = &endpoint.Poller{
		Loader: e.engines, Every: loadEvery, PerSecond: loadsPerSecond,
		Targets: table.Targets,
		Report:  func(name string, load endpoint.Load) { report(d, name, load) },
	}
	return e
}

// report hands an endpoint's load report to the decisions. Its time is when
// the endpoint took it, so that a late report is known to be old.
func report(d *dispatch.Dispatcher, name string, load endpoint.Load) {
	taken := d.Now() - time.Duration(load.AgeMs)*time.Millisecond
	d.Update(func(decider *decide.Decider) {
		decider.SetLoadReport(name, decide.LoadReport{Running: load.Running, Queued: load.Queued, At: taken})
		if load.Leaving {
			decider.SetLeaving(name)
		}
	})
}
