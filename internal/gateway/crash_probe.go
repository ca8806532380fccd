package gateway

import (
	"context"
	"errors"
	"syscall"

	"guavapier/internal/quarantine"
	"guavapier/internal/tunnel"
	"guavapier/internal/upstream"
)

// newCrashProbe returns the probe that shows whether an endpoint has crashed. Where the own link
// to the endpoint counts as lost it is tried beside the other ways: a crash that was noticed
// before looks like a lost link.
func newCrashProbe(pool *upstream.Pool, dialer *tunnel.Dialer) quarantine.Probe {
	return func(ctx context.Context, endpoint, address string) error {
		if dialer.Links.HasLink(endpoint) {
			return pool.Probe(ctx, endpoint, address)
		}
		results := make(chan error, 2)
		go func() { results <- probeOwnLink(ctx, pool, dialer, endpoint, address) }()
		go func() { results <- pool.Probe(ctx, endpoint, address) }()
		err := <-results
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
		return <-results
	}
}

// errNoLinks is the error of a refused connection that may be due to the own network link.
var errNoLinks = errors.New("gateway: connection refused, but the instance reaches no endpoint by its own link")

func probeOwnLink(ctx context.Context, pool *upstream.Pool, dialer *tunnel.Dialer, endpoint, address string) error {
	err := pool.ProbeWith(ctx, dialer.DialDirect, endpoint, address)
	if errors.Is(err, syscall.ECONNREFUSED) && !dialer.Links.HasAnyLink() {
		return errNoLinks
	}
	return err
}
