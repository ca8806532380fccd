// Package route represents the desired state that operators publish for the fleet: routes,
// services, organisations and limits. A Config looks up the route and the organisation of a
// request. It never changes after Compile, so readers share it without locks. The package
// does no I/O.
package route

import (
	"time"

	"guavapier/internal/record"
)

// RepeatPolicy states whether a request that may have run may be sent again.
type RepeatPolicy uint8

const (
	// AtMostOnce requests must not run more than once.
	AtMostOnce RepeatPolicy = iota
	// Idempotent requests may run several times.
	Idempotent
)

// Route assigns the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string // Without a port; case doesn't matter.
	Prefix string // Path prefix; begins and ends with a slash.
	// Backends are the services among which the route's requests are divided by weight.
	Backends []Backend
	Repeat   RepeatPolicy
	// Streams reports whether answers are event streams, whose latency is measured to the
	// first event.
	Streams bool
	// Resumable reports whether a stream that breaks off may be continued by another
	// endpoint after the last event that the caller received.
	Resumable bool
	// Timeout bounds the time to the end of the answer; 0 for no bound but the caller's.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer should begin; for a stream, its first
	// event. 0 for no target.
	LatencyTarget time.Duration
	// MaxEventGap is the longest time that should pass between two events of a stream.
	MaxEventGap time.Duration
	// Priority orders requests in endpoints' queues; 0 is served first.
	Priority int
	// MaxEndpoints is the number of endpoints that one request may be sent to. One that was
	// replaced, so that another endpoint refused the request, does not count.
	MaxEndpoints int
	// Public reports whether requests need no API key and are not charged to an
	// organisation.
	Public bool
}

// Backend is a service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  int // Relative to the route's other backends; 0 or less for no requests.
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one endpoint, of all callers together.
	MaxConnections int
	// Slots is the number of requests that an endpoint of a model runs at once; 0 for a
	// service without a model.
	Slots int
	// WarmUp is how long an endpoint is cold after its start; 0 if it never is. A cold one bears
	// WarmUpRate requests a second from all instances together.
	WarmUp     time.Duration
	WarmUpRate float64
	// TokensPerEvent is the maximum number of output tokens in one event of a stream; 0
	// counts as 1.
	TokensPerEvent int64
}

// Organisation is a customer with its API keys and budget.
type Organisation struct {
	Name record.Team
	Keys []string
	// Priority overrides the route's; nil if not set.
	Priority *int
	// PrepaidTotal is the number of tokens that may be spent in total; nil for no budget.
	PrepaidTotal *int64
}

// Limits bounds what a caller may send and how long its connection may take or idle. A value
// of 0 means that the limit is not set.
type Limits struct {
	MaxHeaderBytes int // Request line and header.
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// DesiredState is one version of the fleet's configuration as its operators want it.
type DesiredState struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}
