package gateway

import "guavapier/internal/placement"

// links records in the placement table which endpoints this instance reaches by its own
// network link. It implements tunnel.Links.
type links struct {
	*placement.Table
	// onLost is called when the link to an endpoint has been lost. Requests on its idle
	// connections would be lost as well.
	onLost func(endpoint string)
}

// RecordLink implements tunnel.Links.
func (l *links) RecordLink(endpoint string, connected bool) {
	if l.Table.RecordLink(endpoint, connected) && !connected {
		l.onLost(endpoint)
	}
}
