package gateway

import (
	"github.com/rs/zerolog"

	"guavapier/internal/placement"
)

// share is how many of a service's endpoints have a property.
type share string

// Values of share; log lines have their text.
const (
	shareAll  share = "all"
	shareSome share = "some"
	shareNone share = "none"
)

// shareLeft returns the share that is left of all without those that lack the property.
func shareLeft(all, lacking int) share {
	switch {
	case lacking == 0:
		return shareAll
	case lacking < all:
		return shareSome
	}
	return shareNone
}

// reachState is what is logged of a service when it changes: to which of its endpoints the
// instance has links, and which it reaches, through other instances too.
type reachState struct{ linked, reached share }

// reachLogger logs when the links to a service's endpoints are lost or restored, and when the
// endpoints become unreachable or reachable again.
type reachLogger struct {
	log    zerolog.Logger
	states map[string]reachState // By service.
}

// update logs the services whose state has changed since the last call.
func (l *reachLogger) update(byService map[string]placement.Reach) {
	for service := range l.states {
		if _, listed := byService[service]; !listed {
			delete(l.states, service)
		}
	}
	for service, reach := range byService {
		state := reachState{linked: shareLeft(reach.Listed, reach.WithoutLink), reached: shareLeft(reach.Listed, reach.Unreachable)}
		previous, known := l.states[service]
		l.states[service] = state
		if state == previous || !known && state == (reachState{shareAll, shareAll}) {
			continue
		}
		l.log.Warn().Str("service", service).Str("linked", string(state.linked)).Str("reached", string(state.reached)).
			Int("listed", reach.Listed).Int("without_link", reach.WithoutLink).Int("unreachable", reach.Unreachable).Msg("gateway: endpoints reached")
	}
}
