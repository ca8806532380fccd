package config

import (
	"strings"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// TeamEndpoint is an endpoint that a team's operators added and that serves only
// this team.
type TeamEndpoint struct {
	EndpointCapacity
	Team    record.Team
	Name    string // team/name: qualified, so that names of two teams can't collide.
	URL     string
	Zone    record.Zone
	Model   string
	Service string
}

// PlacementSettings holds the settings of all teams that request placement
// depends on.
type PlacementSettings struct {
	// Weights holds the teams with a weight set; the others have weight 1.
	Weights   map[record.Team]float64
	Endpoints []TeamEndpoint
}

// ReadPlacementSettings reads the weights and endpoints of all teams. It walks
// the whole subtree of teams, so callers should cache the result until the
// settings change.
func ReadPlacementSettings(c *fold.Config) PlacementSettings {
	placement := PlacementSettings{Weights: map[record.Team]float64{}}
	for _, v := range c.List(TeamsPath) {
		segments := strings.Split(v.Path, "/") // "", "teams", team name, ...
		switch {
		case len(segments) == 4 && segments[3] == "weight":
			placement.Weights[record.Team(segments[2])] = float64(intAt(c, v.Path))
		case len(segments) == 6 && segments[3] == "endpoints" && segments[5] == "url":
			placement.Endpoints = append(placement.Endpoints, readTeamEndpoint(c, record.Team(segments[2]), segments[4], v.Value))
		}
	}
	return placement
}

// readTeamEndpoint reads the settings of a team's endpoint other than its URL.
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
