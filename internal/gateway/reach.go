package gateway

import (
	"github.com/rs/zerolog"

	"guavapier/internal/placement"
)

// reachLevel is how many of a service's endpoints this instance can't connect to.
type reachLevel string

// Values of reachLevel; log lines have their text.
const (
	reachesAll  reachLevel = "all"
	reachesSome reachLevel = "some"
	reachesNone reachLevel = "none"
)

// levelOf returns the level of a service's reach.
func levelOf(r placement.Reach) reachLevel {
	switch {
	case r.Unreachable == 0:
		return reachesAll
	case r.Unreachable < r.Listed:
		return reachesSome
	}
	return reachesNone
}

// reachLogger logs when a service's endpoints become unreachable from this instance or
// reachable again.
type reachLogger struct {
	log    zerolog.Logger
	levels map[string]reachLevel // By service; those of level reachesAll are left out.
}

// update logs the services whose level has changed since the last call.
func (l *reachLogger) update(byService map[string]placement.Reach) {
	for service := range l.levels {
		if _, listed := byService[service]; !listed {
			delete(l.levels, service)
		}
	}
	for service, reach := range byService {
		level, previous := levelOf(reach), l.levels[service]
		if previous == "" {
			previous = reachesAll
		}
		if level == previous {
			continue
		}
		l.levels[service] = level
		l.log.Warn().Str("service", service).Str("reached", string(level)).Int("listed", reach.Listed).Int("unreachable", reach.Unreachable).
			Msg("gateway: endpoints reached")
	}
}
