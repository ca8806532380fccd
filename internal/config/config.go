// Package config reads typed settings out of the paths on the platform's log.
// Static settings, which an instance needs to start, are in package settings.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// Team is what the settings say about a team.
type Team struct {
	Name record.Team
	// Budget is the budget that requests draw on by default.
	Budget record.BudgetID
}

// The paths in use.
const (
	TeamsPath   = "/teams"
	apiKeysName = "api_keys"
	budgetName  = "default_budget"
)

// HashKey returns the form in which a credential stands in the settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// APIKeyPath returns the path that makes key a credential of team. The value
// is a note for people.
func APIKeyPath(team record.Team, key string) string {
	return strings.Join([]string{TeamsPath, string(team), apiKeysName, HashKey(key)}, "/")
}

// DefaultBudgetPath returns the path of a team's default budget.
func DefaultBudgetPath(team record.Team) string {
	return strings.Join([]string{TeamsPath, string(team), budgetName}, "/")
}

// Authenticate returns the team of an API key. Keys have the form team:secret,
// so that one look-up finds them.
func Authenticate(c *fold.Config, key string) (Team, bool) {
	name, _, ok := strings.Cut(key, ":")
	if !ok || name == "" || strings.Contains(name, "/") {
		return Team{}, false
	}
	team := record.Team(name)
	if _, ok := c.Get(APIKeyPath(team, key)); !ok {
		return Team{}, false
	}
	budget := record.BudgetID{Team: team, Name: "main"}
	if v, ok := c.Get(DefaultBudgetPath(team)); ok {
		budget.Name = v.Value
	}
	return Team{Name: team, Budget: budget}, true
}
