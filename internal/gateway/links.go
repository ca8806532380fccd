package gateway

import (
	"errors"
	"syscall"

	"guavapier/internal/placement"
)

// links records in the placement table which endpoints this instance reaches by its own
// network link. It implements tunnel.Links.
type links struct {
	*placement.Table
	// onSilent is called when the link to an endpoint has been lost without an answer of any
	// host. Requests on its idle connections would be lost as well.
	onSilent func(endpoint string)
}

// RecordLink implements tunnel.Links.
func (l *links) RecordLink(endpoint string, err error) {
	changed := l.Table.RecordLink(endpoint, err == nil)
	if err != nil && changed && !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET) {
		l.onSilent(endpoint)
	}
}
