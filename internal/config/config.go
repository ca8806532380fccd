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

	apiKeysName      = "api_keys"
	operatorKeysName = "operator_keys"
	expiresName      = "expires"
	budgetName       = "default_budget"
	defaultBudget    = "main"
)

// DefaultBudgetPath returns the path of a team's default budget.
func DefaultBudgetPath(team record.Team) string { return join(TeamPath(team), budgetName) }

// Authenticate returns the team of an API key. Keys have the form team:secret,
// so that one look-up finds them.
func Authenticate(c *fold.Config, key string) (Team, bool) {
	team, ok := TeamOfKey(key)
	if !ok {
		return Team{}, false
	}
	if _, err := credential(c, APIKeyPath(team, key), time.Now()); err != nil {
		return Team{}, false
	}
	budget := record.BudgetID{Team: team, Name: defaultBudget}
	if v, ok := c.Get(DefaultBudgetPath(team)); ok {
		budget.Name = v.Value
	}
	return Team{
		Name: team, Budget: budget,
		Priority:    text(c, join(TeamPath(team), "priorities", "default"), PriorityInteractive),
		MaxPriority: text(c, join(TeamPath(team), "priorities", "max"), PriorityCall),
	}, true
}

// text returns the value at a path, or a default.
func text(c *fold.Config, path, otherwise string) string {
	if v, ok := c.Get(path); ok {
		return v.Value
	}
	return otherwise
}

// number returns the value at a path, or 0. It was validated before it was
// accepted.
func number(c *fold.Config, path string) int {
	v, _ := c.Get(path)
	n, _ := strconv.Atoi(v.Value)
	return max(n, 0)
}

// Engine is what the settings say about an endpoint; 0 where they are silent.
type Engine struct {
	Slots, Weight int
}

// EngineOf returns the settings of an endpoint.
func EngineOf(c *fold.Config, name string) Engine {
	at := join(FleetPath, "engines", name)
	return Engine{Slots: number(c, join(at, "slots")), Weight: number(c, join(at, "weight"))}
}
