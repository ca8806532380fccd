// Package config reads typed settings from the paths and values on the platform's
// log, authenticates callers and operators against them, and validates changes.
// Paths lists every known path. Static settings, which an instance needs to
// start, are in package settings.
package config

import (
	"strconv"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// Team holds the settings of a team that apply to its requests.
type Team struct {
	Name record.Team
	// Budget is charged for requests that name no budget.
	Budget record.BudgetID
	// Priority is the priority class of requests that name none, MaxPriority the
	// highest class that a request may name; see PriorityBatch.
	Priority, MaxPriority string
}

// The priority classes, lowest first.
const (
	PriorityBatch       = "batch"
	PriorityInteractive = "interactive"
	PriorityCall        = "call"
)

// The roots of the subtrees, and segments and values that several paths share.
const (
	TeamsPath = "/teams"
	FleetPath = "/fleet"

	apiKeysSegment       = "api_keys"
	operatorKeysSegment  = "operator_keys"
	expiresSegment       = "expires"
	defaultBudgetSegment = "default_budget"
	defaultBudgetName    = "main"
)

// DefaultBudgetPath returns the path of the name of a team's default budget.
func DefaultBudgetPath(team record.Team) string {
	return joinPath(TeamPath(team), defaultBudgetSegment)
}

// Authenticate returns the team of an API key, or false if the key is malformed,
// unknown or expired. Keys have the form team:secret, so that a single lookup
// finds them.
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

// stringAt returns the value at a path, or fallback if it is not set.
func stringAt(c *fold.Config, path, fallback string) string {
	if v, ok := c.Get(path); ok {
		return v.Value
	}
	return fallback
}

// intAt returns the value at a path as an integer, or 0 if it is not set. The
// value was validated before it was appended.
func intAt(c *fold.Config, path string) int {
	v, _ := c.Get(path)
	n, _ := strconv.Atoi(v.Value)
	return max(n, 0)
}

// EndpointCapacity holds the capacity settings of an endpoint; 0 stands for one
// that is not set.
type EndpointCapacity struct {
	// Slots is the number of requests that the endpoint processes at once, Weight
	// its capacity relative to other endpoints.
	Slots, Weight int
}

// FleetEndpointCapacity returns the capacity settings of an endpoint that serves
// the whole fleet.
func FleetEndpointCapacity(c *fold.Config, name string) EndpointCapacity {
	base := joinPath(FleetPath, "engines", name)
	return EndpointCapacity{Slots: intAt(c, joinPath(base, "slots")), Weight: intAt(c, joinPath(base, "weight"))}
}
