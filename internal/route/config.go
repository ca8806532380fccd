package route

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"guavapier/internal/record"
)

// Config is a DesiredState with indexes for look-ups. It is immutable.
type Config struct {
	DesiredState
	routesByHost        map[string][]*Route // By host in lower case, the longest path prefix first.
	servicesByName      map[string]*Service
	organisationsByKey  map[string]*Organisation
	organisationsByName map[record.Team]*Organisation
	// priorities are the distinct priorities that requests can have, the most urgent first.
	priorities []int
}

// Compile returns the Config of a DesiredState, whose slices must not be changed afterwards.
func Compile(s DesiredState) *Config {
	c := &Config{
		DesiredState: s, routesByHost: map[string][]*Route{}, servicesByName: map[string]*Service{},
		organisationsByKey: map[string]*Organisation{}, organisationsByName: map[record.Team]*Organisation{}, priorities: distinctPriorities(s),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		c.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		org := &c.Organisations[i]
		c.organisationsByName[org.Name] = org
		for _, key := range org.Keys {
			c.organisationsByKey[key] = org
		}
	}
	return c
}

// Match returns the route of the host with the longest prefix of the path, or nil if none
// matches. The host's case and port are ignored.
func (c *Config) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (c *Config) Service(name string) *Service { return c.servicesByName[name] }

// Organisation returns the organisation of that name, or nil.
func (c *Config) Organisation(name record.Team) *Organisation { return c.organisationsByName[name] }

// OrganisationByKey returns the organisation that the API key belongs to, or nil.
func (c *Config) OrganisationByKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return c.organisationsByKey[key]
}

// NeedsKey reports whether the route's requests must carry a known API key. Public routes
// don't need one, and neither do any routes while there are no organisations.
func (c *Config) NeedsKey(r *Route) bool { return !r.Public && len(c.Organisations) > 0 }

// AllowsService reports whether the service is a backend of the route with a weight above 0.
func (r *Route) AllowsService(service string) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service && b.Weight > 0 })
}

// PickService selects one of the route's services in proportion to their weights, given a
// random number in [0, 1). It returns "" if no service has a weight above 0.
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += max(0, b.Weight)
	}
	remaining := draw * float64(total)
	for _, b := range r.Backends {
		remaining -= float64(max(0, b.Weight))
		if b.Weight > 0 && remaining < 0 {
			return b.Service
		}
	}
	return ""
}

// EffectivePriority returns the priority of an organisation's requests on the route: the
// organisation's if it has one, else the route's. org may be nil.
func EffectivePriority(r *Route, org *Organisation) int {
	if org != nil && org.Priority != nil {
		return *org.Priority
	}
	return r.Priority
}
