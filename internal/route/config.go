package route

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"guavapier/internal/record"
)

// Config is a State compiled for look-ups. It is immutable.
type Config struct {
	State
	routesByHost        map[string][]*Route // By host, the longest prefix first.
	servicesByName      map[string]*Service
	organisationsByKey  map[string]*Organisation
	organisationsByName map[record.Team]*Organisation
	// priorities are all that requests can have, the most urgent first.
	priorities []int
}

// Compile builds the look-up tables of a State.
func Compile(s State) *Config {
	c := &Config{
		State: s, routesByHost: map[string][]*Route{}, servicesByName: map[string]*Service{},
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

// Match returns the route with the longest prefix of the path among those of
// the host, or nil. A port in host is ignored.
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

// OrganisationByKey returns the organisation that holds the key, or nil.
func (c *Config) OrganisationByKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return c.organisationsByKey[key]
}

// NeedsKey says whether a request of the route must carry a known key.
func (c *Config) NeedsKey(r *Route) bool { return !r.Public && len(c.Organisations) > 0 }

// AllowsService says whether requests of the route may run at the service.
func (r *Route) AllowsService(service string) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service && b.Weight > 0 })
}

// PickService returns the service for a draw in [0, 1), by weight; "" if the route
// has no service with a weight.
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

// EffectivePriority returns the organisation's priority if it has one, else
// the route's.
func EffectivePriority(r *Route, org *Organisation) int {
	if org != nil && org.Priority != nil {
		return *org.Priority
	}
	return r.Priority
}
