// Package config reads typed settings out of the paths on the platform's log,
// and validates changes of them. Paths lists every known path. Static
// settings, which an instance needs to start, are in package settings.
package config

import (
	"strconv"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// Team is what the settings say about a team.
type Team struct {
	Name record.Team
	// Budget is the budget that requests draw on by default.
	Budget record.BudgetID
	// Priority is the class of requests that name none, MaxPriority the highest
	// that a request may name; see PriorityBatch.
	Priority, MaxPriority string
}

// The priority classes, lowest first.
const (
	PriorityBatch       = "batch"
	PriorityInteractive = "interactive"
	PriorityCall        = "call"
)

// The subtrees and names in use.
const (
	TeamsPath = "/teams"
	FleetPath = "/fleet"

	apiKeysSegment       = "api_keys"
	operatorKeysSegment  = "operator_keys"
	expiresSegment       = "expires"
	defaultBudgetSegment = "default_budget"
	defaultBudgetName    = "main"
)

// DefaultBudgetPath returns the path of a team's default budget.
func DefaultBudgetPath(team record.Team) string {
	return joinPath(TeamPath(team), defaultBudgetSegment)
}

// Authenticate returns the team of an API key. Keys have the form team:secret,
// so that one look-up finds them.
func Authenticate(c *fold.Config, key string) (Team, bool) {
	team, ok := TeamFromKey(key)
	if !ok {
		return Team{}, false
	}
	if _, err := findCredential(c, APIKeyPath(team, key), time.Now()); err != nil {
		return Team{}, false
	}
	budget := record.BudgetID{Team: team, Name: defaultBudgetName}
	if v, ok := c.Get(DefaultBudgetPath(team)); ok {
		budget.Name = v.Value
	}
	return Team{
		Name: team, Budget: budget,
		Priority:    stringAt(c, joinPath(TeamPath(team), "priorities", "default"), PriorityInteractive),
		MaxPriority: stringAt(c, joinPath(TeamPath(team), "priorities", "max"), PriorityCall),
	}, true
}

// text returns the value at a path, or a default.
func stringAt(c *fold.Config, path, fallback string) string {
	if v, ok := c.Get(path); ok {
		return v.Value
	}
	return fallback
}

// number returns the value at a path, or 0. It was validated before it was
// accepted.
func intAt(c *fold.Config, path string) int {
	v, _ := c.Get(path)
	n, _ := strconv.Atoi(v.Value)
	return max(n, 0)
}

// EndpointCapacity is what the settings say about an endpoint; 0 where they are silent.
type EndpointCapacity struct {
	Slots, Weight int
}

// FleetEndpointCapacity returns the settings of an endpoint.
func FleetEndpointCapacity(c *fold.Config, name string) EndpointCapacity {
	base := joinPath(FleetPath, "engines", name)
	return EndpointCapacity{Slots: intAt(c, joinPath(base, "slots")), Weight: intAt(c, joinPath(base, "weight"))}
}
