// Package route holds the desired state that operators publish for the fleet:
// routes, services, organisations and limits. It finds the route and the
// organisation of a request. It does no input or output, and a Config is never
// changed after Compile: readers share it without locks.
package route

import (
	"time"

	"guavapier/internal/record"
)

// RepeatPolicy says what a failed request's instance may do with it.
type RepeatPolicy uint8

const (
	// AtMostOnce requests run once at most.
	AtMostOnce RepeatPolicy = iota
	// Idempotent requests may run again.
	Idempotent
)

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // Begins and ends with a slash.
	// Backends are the services that share the route's requests by weight.
	Backends []Backend
	Repeat   RepeatPolicy
	// Streams says that answers are event streams, measured to the first event.
	Streams bool
	// Resumable streams go on at another endpoint after the last event that
	// the caller has.
	Resumable bool
	// Timeout is the longest that a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer (a stream's first event) is on time.
	LatencyTarget time.Duration
	// MaxEventGap is the longest pause between two events of a stream on time.
	MaxEventGap time.Duration
	// Priority orders requests; 0 goes first.
	Priority int
	// MaxEndpoints is how many endpoints one request may be sent to.
	MaxEndpoints int
	// Public routes need no key.
	Public bool
}

// Backend is one service of a route.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of endpoints.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one endpoint.
	MaxConnections int
	// Slots is how many requests a model endpoint runs at once; 0 for a plain service.
	Slots int
	// TokensPerEvent is how many output tokens one event of a stream holds at most.
	TokensPerEvent int64
}

// Organisation is a customer with its keys and budget.
type Organisation struct {
	Name record.Team
	Keys []string
	// Priority goes before the route's; nil where none is set.
	Priority *int
	// PrepaidTotal is the total of tokens that may be spent; nil for no budget.
	PrepaidTotal *int64
}

// Limits bound what a caller may send and how long its connection may idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// State is one version of the desired state.
type State struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}
