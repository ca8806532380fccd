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
	// streamIdleTimeout bounds the time without data on an engine's stream. It is
	// short because abandoning a connection costs little: the run is resumed on a
	// new one and no token is generated twice.
	streamIdleTimeout = 2 * time.Second
	controlTimeout    = 2 * time.Second
	// With loadPollInterval and maxLoadPollsPerSecond, placement stops using an
	// endpoint within 3 s of its announcement that it is leaving, and the polls of
	// one instance take at most about 4 KB/s.
	loadPollInterval      = 500 * time.Millisecond
	maxLoadPollsPerSecond = 10
)

const (
	// maxEndpointsPerRun bounds the number of endpoints at which one run is tried,
	// and so the part of the fleet that one harmful request can affect.
	maxEndpointsPerRun = 3
	// maxResumesPerEndpoint allows for one connection that a middlebox has lost
	// track of. If the new connection brings no token either, the endpoint is given
	// up.
	maxResumesPerEndpoint = 1
	// detachedRunTimeout bounds how long a run with an Idempotency-Key continues
	// after its caller has disconnected. The longest answer takes less: 16,384
	// tokens at 38 ms each are 10.4 minutes.
	detachedRunTimeout = 15 * time.Minute
	// runCleanupTimeout bounds the work that follows a run's end, and so the last
	// phase of a drain.
	runCleanupTimeout = 10 * time.Second
)

const (
	callerReadTimeout  = time.Minute
	callerWriteTimeout = 30 * time.Second
	// callerHeartbeatInterval is the interval of comments on a stream without
	// tokens. It is below the usual idle timeouts of middleboxes (30 s and more). A
	// refusal later than this can no longer set the HTTP status.
	callerHeartbeatInterval = 10 * time.Second
)

// runLimits returns the limits of runs, from constants and the settings.
func runLimits(limits settings.Limits) run.Limits {
	return run.Limits{
		MaxEndpoints: maxEndpointsPerRun, MaxResumes: maxResumesPerEndpoint, ProgressTimeout: limits.Progress.D(), LingerTimeout: detachedRunTimeout, ControlTimeout: runCleanupTimeout,
	}
}

// setEndpointLeaving removes an endpoint from placement after it has announced that
// it is leaving.
func (s *Server) setEndpointLeaving(name string) {
	s.log.Info().Str("endpoint", name).Msg("run: endpoint refused a request because it is leaving")
	s.dispatcher.Update(func(d *decide.Decider) { d.SetLeaving(name) })
}

// repeatRules implements run.RepeatRules with the services' settings.
type repeatRules struct {
	config *replica.Replica[*fold.Config]
}

// Repeatable implements run.RepeatRules. Without valid rules for the service it
// returns false.
func (r repeatRules) Repeatable(service, method, path string) bool {
	var value fold.Value
	configured := false
	r.config.View(func(f *fold.Config) { value, configured = f.Get(config.RepeatablePath(service)) })
	if !configured {
		return false
	}
	rules, err := config.ParseRepeatRules(value.Value)
	return err == nil && config.IsRepeatable(rules, method, path)
}

// endpointClients holds the clients for endpoints, their counters and the poller
// of endpoint load.
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
	if l.requiresTLS(settings.InterfaceEndpoints) {
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

// applyLoadReport passes an endpoint's load report to the Decider, with the time
// at which the endpoint took it, so that a delayed report counts as old.
func applyLoadReport(d *dispatch.Dispatcher, name string, load endpoint.Load) {
	sampledAt := d.Now() - time.Duration(load.AgeMs)*time.Millisecond
	d.Update(func(decider *decide.Decider) {
		decider.SetLoadReport(name, decide.LoadReport{Running: load.Running, Queued: load.Queued, At: sampledAt})
		if load.Leaving {
			decider.SetLeaving(name)
		}
	})
}
