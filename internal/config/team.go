package config

import (
	"strings"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// TeamEndpoint is an endpoint that a team's operators added for it alone.
type TeamEndpoint struct {
	EndpointCapacity
	Team    record.Team
	Name    string // Team and name, so that teams cannot take each other's names.
	URL     string
	Zone    record.Zone
	Model   string
	Service string
}

// PlacementSettings is what the settings say about the teams, as far as placement needs
// it.
type PlacementSettings struct {
	// Weights has the teams whose share differs from 1.
	Weights   map[record.Team]float64
	Endpoints []TeamEndpoint
}

// ReadPlacementSettings reads all teams' weights and endpoints. It costs a walk over the
// teams' subtree, so callers read it again only after a change.
func ReadPlacementSettings(c *fold.Config) PlacementSettings {
	placement := PlacementSettings{Weights: map[record.Team]float64{}}
	for _, v := range c.List(TeamsPath) {
		segments := strings.Split(v.Path, "/") // Empty, teams, team, ...
		switch {
		case len(segments) == 4 && segments[3] == "weight":
			placement.Weights[record.Team(segments[2])] = float64(intAt(c, v.Path))
		case len(segments) == 6 && segments[3] == "endpoints" && segments[5] == "url":
			placement.Endpoints = append(placement.Endpoints, readTeamEndpoint(c, record.Team(segments[2]), segments[4], v.Value))
		}
	}
	return placement
}

func readTeamEndpoint(c *fold.Config, team record.Team, name, url string) TeamEndpoint {
	base := joinPath(TeamPath(team), "endpoints", name)
	return TeamEndpoint{
		EndpointCapacity: EndpointCapacity{Slots: intAt(c, joinPath(base, "slots")), Weight: intAt(c, joinPath(base, "weight"))},
		Team:             team,
		Name:             string(team) + "/" + name,
		URL:              url,
		Zone:             record.Zone(stringAt(c, joinPath(base, "zone"), "")),
		Model:            stringAt(c, joinPath(base, "model"), ""),
		Service:          stringAt(c, joinPath(base, "service"), ""),
	}
}
