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

// defaultSlots is how many requests an endpoint runs at once where the
// settings are silent.
const defaultSlots = 16

// endpointTable joins the platform's list of endpoints with the settings, and
// hands the result to the decisions. It is read again with each list, so a
// changed setting is in force with the next one.
type endpointTable struct {
	config     *replica.Replica[*fold.Config]
	dispatcher *dispatch.Dispatcher
	// links says whether endpoints without TLS may be used.
	links links

	mu      sync.RWMutex // Guards all below.
	targets []endpoint.Target
	// weights are the team weights last handed over.
	weights map[record.Team]float64
	// teams is as of the settings' offset teamsAt.
	teams   config.TeamRows
	teamsAt uint64
}

// take takes a newly read list.
func (t *endpointTable) take(list logstore.List) {
	rows := make([]decide.Endpoint, 0, len(list.Endpoints))
	targets := make([]endpoint.Target, 0, len(list.Endpoints))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config.View(func(f *fold.Config) {
		t.readTeams(f)
		for _, e := range list.Endpoints {
			if !t.links.mayUse(e.URL) {
				continue
			}
			rows = append(rows, listedRow(f, e))
			targets = append(targets, endpoint.Target{Name: e.Name, URL: e.URL})
		}
	})
	for _, e := range t.teams.Endpoints {
		if !t.links.mayUse(e.URL) {
			continue
		}
		rows = append(rows, teamRow(e))
		targets = append(targets, endpoint.Target{Name: e.Name, URL: e.URL})
	}
	t.targets = targets
	t.dispatcher.Update(func(d *decide.Decider) {
		d.SetEndpoints(rows)
		t.handWeights(d)
	})
}

// readTeams reads the teams' rows again after a change of the settings.
func (t *endpointTable) readTeams(f *fold.Config) {
	if t.teams.Weights != nil && f.Next() == t.teamsAt {
		return
	}
	t.teams, t.teamsAt = config.TeamRowsOf(f), f.Next()
}

func (t *endpointTable) handWeights(d *decide.Decider) {
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

func listedRow(f *fold.Config, e logstore.Endpoint) decide.Endpoint {
	row := decide.Endpoint{Name: e.Name, Zone: e.Zone, Service: e.Service, Leaving: e.Leaving}
	return withCapacity(row, e.Model, config.EngineOf(f, e.Name))
}

func teamRow(e config.TeamEndpoint) decide.Endpoint {
	row := decide.Endpoint{Name: e.Name, Zone: e.Zone, Service: e.Service, Team: e.Team}
	return withCapacity(row, e.Model, e.Engine)
}

// withCapacity sets slots and weight. Where no weight is set, the slots stand
// for the capacity: with equal weights a fleet of mixed sizes lost a fifth of
// its goodput at 90 to 110 per cent (docs/measurements/decide.md).
func withCapacity(row decide.Endpoint, model string, capacity config.Engine) decide.Endpoint {
	if model != "" {
		row.Models = []string{model}
	}
	row.Slots = cmp.Or(capacity.Slots, defaultSlots)
	row.Weight = float64(cmp.Or(capacity.Weight, row.Slots))
	return row
}

// Targets returns all endpoints' names and addresses.
func (t *endpointTable) Targets() []endpoint.Target {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.targets
}

// URL implements run.EndpointDirectory.
func (t *endpointTable) URL(name string) (string, bool) {
	targets := t.Targets()
	i := slices.IndexFunc(targets, func(e endpoint.Target) bool { return e.Name == name })
	if i < 0 {
		return "", false
	}
	return targets[i].URL, true
}
