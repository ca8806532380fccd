package config

import (
	"strings"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// TeamEndpoint is an endpoint that a team's operators added for it alone.
type TeamEndpoint struct {
	Engine
	Team    record.Team
	Name    string // Team and name, so that teams cannot take each other's names.
	URL     string
	Zone    record.Zone
	Model   string
	Service string
}

// TeamRows is what the settings say about the teams, as far as placement needs
// it.
type TeamRows struct {
	// Weights has the teams whose share differs from 1.
	Weights   map[record.Team]float64
	Endpoints []TeamEndpoint
}

// TeamRowsOf reads all teams' weights and endpoints. It costs a walk over the
// teams' subtree, so callers read it again only after a change.
func TeamRowsOf(c *fold.Config) TeamRows {
	rows := TeamRows{Weights: map[record.Team]float64{}}
	for _, v := range c.List(TeamsPath) {
		parts := strings.Split(v.Path, "/") // Empty, teams, team, ...
		switch {
		case len(parts) == 4 && parts[3] == "weight":
			rows.Weights[record.Team(parts[2])] = float64(number(c, v.Path))
		case len(parts) == 6 && parts[3] == "endpoints" && parts[5] == "url":
			rows.Endpoints = append(rows.Endpoints, teamEndpoint(c, record.Team(parts[2]), parts[4], v.Value))
		}
	}
	return rows
}

func teamEndpoint(c *fold.Config, team record.Team, name, url string) TeamEndpoint {
	at := join(TeamPath(team), "endpoints", name)
	return TeamEndpoint{
		Engine:  Engine{Slots: number(c, join(at, "slots")), Weight: number(c, join(at, "weight"))},
		Team:    team,
		Name:    string(team) + "/" + name,
		URL:     url,
		Zone:    record.Zone(text(c, join(at, "zone"), "")),
		Model:   text(c, join(at, "model"), ""),
		Service: text(c, join(at, "service"), ""),
	}
}
