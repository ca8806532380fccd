package server

import (
	"cmp"
	"slices"
	"sync"

	"guavapier/internal/config"
	"guavapier/internal/decide"
	"guavapier/internal/dispatch"
	"guavapier/internal/endpoint"
	"guavapier/internal/fold"
	"guavapier/internal/logstore"
	"guavapier/internal/record"
	"guavapier/internal/replica"
)

// defaultSlots is the number of requests that an endpoint without the setting runs
// concurrently.
const defaultSlots = 16

// endpointTable combines the platform's endpoint list with the settings and passes
// the result to the Decider. It is recomputed with each list, so a changed setting
// takes effect with the next list.
type endpointTable struct {
	config     *replica.Replica[*fold.Config]
	dispatcher *dispatch.Dispatcher
	// links decides whether endpoints without TLS may be used.
	links linkTLS

	mu      sync.RWMutex // Guards all below.
	targets []endpoint.Target
	// weights are the team weights last passed to the Decider.
	weights map[record.Team]float64
	// teams holds the teams' settings as of the config stream's offset teamsOffset.
	teams       config.PlacementSettings
	teamsOffset uint64
}

// update recomputes the endpoints and team weights from a newly read list.
func (t *endpointTable) update(list logstore.MemberList) {
	rows := make([]decide.Endpoint, 0, len(list.Endpoints))
	targets := make([]endpoint.Target, 0, len(list.Endpoints))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config.View(func(f *fold.Config) {
		t.refreshTeams(f)
		for _, e := range list.Endpoints {
			if !t.links.allowsEndpointURL(e.URL) {
				continue
			}
			rows = append(rows, platformEndpoint(f, e))
			targets = append(targets, endpoint.Target{Name: e.Name, URL: e.URL})
		}
	})
	for _, e := range t.teams.Endpoints {
		if !t.links.allowsEndpointURL(e.URL) {
			continue
		}
		rows = append(rows, teamEndpoint(e))
		targets = append(targets, endpoint.Target{Name: e.Name, URL: e.URL})
	}
	t.targets = targets
	t.dispatcher.Update(func(d *decide.Decider) {
		d.SetEndpoints(rows)
		t.applyTeamWeights(d)
	})
}

// refreshTeams reads the teams' settings again if the config stream has advanced.
func (t *endpointTable) refreshTeams(f *fold.Config) {
	if t.teams.Weights != nil && f.NextOffset() == t.teamsOffset {
		return
	}
	t.teams, t.teamsOffset = config.ReadPlacementSettings(f), f.NextOffset()
}

// applyTeamWeights passes the team weights to the Decider. A team whose weight was
// removed from the settings returns to the default of 1.
func (t *endpointTable) applyTeamWeights(d *decide.Decider) {
	for team := range t.weights {
		if _, set := t.teams.Weights[team]; !set {
			d.SetTeamWeight(team, 1)
		}
	}
	for team, weight := range t.teams.Weights {
		d.SetTeamWeight(team, weight)
	}
	t.weights = t.teams.Weights
}

// platformEndpoint returns the Decider's row for an endpoint of the platform's list.
func platformEndpoint(f *fold.Config, e logstore.Endpoint) decide.Endpoint {
	row := decide.Endpoint{Name: e.Name, Zone: e.Zone, Service: e.Service, Leaving: e.Leaving}
	return setCapacity(row, e.Model, config.FleetEndpointCapacity(f, e.Name))
}

// teamEndpoint returns the Decider's row for an endpoint that a team has configured.
func teamEndpoint(e config.TeamEndpoint) decide.Endpoint {
	row := decide.Endpoint{Name: e.Name, Zone: e.Zone, Service: e.Service, Team: e.Team}
	return setCapacity(row, e.Model, e.EndpointCapacity)
}

// setCapacity sets a row's model, slots and weight. Without a configured weight
// the number of slots is the weight: with equal weights, a fleet of endpoints of
// different sizes lost a fifth of its goodput at 90 to 110 per cent load
// (docs/measurements/decide.md).
func setCapacity(row decide.Endpoint, model string, capacity config.EndpointCapacity) decide.Endpoint {
	if model != "" {
		row.Models = []string{model}
	}
	row.Slots = cmp.Or(capacity.Slots, defaultSlots)
	row.Weight = float64(cmp.Or(capacity.Weight, row.Slots))
	return row
}

// Targets returns the names and URLs of all usable endpoints. The slice must not
// be modified.
func (t *endpointTable) Targets() []endpoint.Target {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.targets
}

// URL implements run.EndpointDirectory. It returns false for an unknown endpoint.
func (t *endpointTable) URL(name string) (string, bool) {
	targets := t.Targets()
	i := slices.IndexFunc(targets, func(e endpoint.Target) bool { return e.Name == name })
	if i < 0 {
		return "", false
	}
	return targets[i].URL, true
}
