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
	connectTimeout = time.Second
	// streamIdleTimeout bounds a stream without any byte. It is short because giving
	// up a connection costs little: the run is resumed on a new one and
	// nothing is generated anew.
	streamIdleTimeout = 2 * time.Second
	controlTimeout    = 2 * time.Second
	// loadPollInterval and loadsPerSecond bound the load polls: an endpoint leaves
	// the placement within 3 s of its own word, and the polls of one instance
	// take about 4 KB/s at most.
	loadPollInterval      = 500 * time.Millisecond
	maxLoadPollsPerSecond = 10
)

const (
	// maxEndpointsPerRun bounds how much of the fleet one bad request can touch.
	maxEndpointsPerRun = 3
	// maxResumesPerEndpoint allows one connection that a middlebox has lost track of; an
	// endpoint that is silent on a new one as well is given up.
	maxResumesPerEndpoint = 1
	// detachedRunTimeout is longer than the longest answer takes: 16,384 tokens at 38 ms.
	detachedRunTimeout = 15 * time.Minute
	// runCleanupTimeout bounds the work after a run's end, and so the end of a drain.
	runCleanupTimeout = 10 * time.Second
)

const (
	callerReadTimeout  = time.Minute
	callerWriteTimeout = 30 * time.Second
	// callerHeartbeatInterval is below the usual idle limits of middleboxes (30 s and
	// more). It also bounds how late a refusal can still have its status.
	callerHeartbeatInterval = 10 * time.Second
)

func runLimits(limits settings.Limits) run.Limits {
	return run.Limits{
		Endpoints: maxEndpointsPerRun, Resumes: maxResumesPerEndpoint, Progress: limits.Progress.D(), Linger: detachedRunTimeout, Control: runCleanupTimeout,
	}
}

// setEndpointLeaving takes an endpoint out of placement at its own word.
func (s *Server) setEndpointLeaving(name string) {
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
	configured := false
	r.config.View(func(f *fold.Config) { value, configured = f.Get(config.RepeatablePath(service)) })
	if !configured {
		return false
	}
	rules, err := config.ParseRepeatRules(value.Value)
	return err == nil && config.AnyRepeats(rules, method, path)
}

// endpointClients holds the clients of the endpoints and polls their load.
type endpointClients struct {
	counts   endpoint.Counters
	engines  *endpoint.HTTPEngines
	services *endpoint.HTTPServices
	poller   *endpoint.Poller
}

func newEndpointClients(limits settings.Limits, l linkTLS, table *endpointTable, d *dispatch.Dispatcher) *endpointClients {
	opts := endpoint.Options{
		ConnectTimeout: connectTimeout, IdleTimeout: min(streamIdleTimeout, limits.Progress.D()), ControlTimeout: controlTimeout, MaxAnswerBytes: limits.AnswerBytes,
	}
	if l.requiresTLS(settings.LinkEndpoints) {
		opts.DialTLS = l.outsideCA.Dial
	}
	e := &endpointClients{}
	e.engines = endpoint.NewHTTPEngines(opts, &e.counts)
	e.services = endpoint.NewHTTPServices(opts, &e.counts)
	e.poller = &endpoint.Poller{
		Loader: e.engines, Interval: loadPollInterval, MaxRequestsPerSecond: maxLoadPollsPerSecond,
		Targets: table.Targets,
		Report:  func(name string, load endpoint.Load) { applyLoadReport(d, name, load) },
	}
	return e
}

// applyLoadReport hands an endpoint's load applyLoadReport to the decisions. Its time is when
// the endpoint took it, so that a late applyLoadReport is known to be old.
func applyLoadReport(d *dispatch.Dispatcher, name string, load endpoint.Load) {
	sampledAt := d.Now() - time.Duration(load.AgeMs)*time.Millisecond
	d.Update(func(decider *decide.Decider) {
		decider.SetLoadReport(name, decide.LoadReport{Running: load.Running, Queued: load.Queued, At: sampledAt})
		if load.Leaving {
			decider.SetLeaving(name)
		}
	})
}
