package configcheck

import (
	"fmt"
	"strings"
	"time"

	"guavapier/internal/record"
	"guavapier/internal/route"
)

// Instance holds what the check needs to know of the instances that are to serve by the desired
// state. A value of 0 is not known and not checked.
type Instance struct {
	MemoryBytes    int64
	MaxHeaderBytes int // The most that an instance reads of a request's head.
}

// Check returns what is wrong with a desired state, in the order of its entries.
func Check(s route.DesiredState, instance Instance) []Finding {
	var out findings
	if s.Version <= 0 {
		out.add(KindError, "desired state", "version", "is %d, must be above 0", s.Version)
	}
	checkRoutes(&out, s)
	checkServices(&out, s)
	checkOrganisations(&out, s)
	checkLimits(&out, s.Limits, instance)
	return out
}

// places of entries in findings and differences.
func routePlace(name string) string             { return fmt.Sprintf("route %q", name) }
func servicePlace(name string) string           { return fmt.Sprintf("service %q", name) }
func organisationPlace(name record.Team) string { return fmt.Sprintf("organisation %q", name) }

// limitsPlace is the place of the limits, of which there is one table.
const limitsPlace = "limits"

// match is what a request has to have in common with a route.
type match struct{ host, prefix string }

// checkRoutes checks each route, and those against each other that the same requests match.
func checkRoutes(out *findings, s route.DesiredState) {
	services := map[string]bool{}
	for _, service := range s.Services {
		services[service.Name] = true
	}
	names, byMatch := map[string]bool{}, map[match]string{}
	for _, r := range s.Routes {
		place := routePlace(r.Name)
		checkName(out, place, r.Name, names)
		checkMatch(out, place, r)
		m := match{strings.ToLower(r.Host), r.Prefix}
		if first, taken := byMatch[m]; taken {
			out.add(KindUnmatched, place, "", "route %q has the same host %q and prefix %q and comes first", first, r.Host, r.Prefix)
		} else {
			byMatch[m] = r.Name
		}
		checkBackends(out, place, r, services)
		checkTimes(out, place, r)
	}
}

// checkName adds a finding if a name is empty or taken, and takes it.
func checkName(out *findings, place, name string, taken map[string]bool) {
	switch {
	case name == "":
		out.add(KindError, place, "name", "is empty")
	case taken[name]:
		out.add(KindError, place, "name", "is used twice")
	}
	taken[name] = true
}

// checkMatch checks a route's host and prefix.
func checkMatch(out *findings, place string, r route.Route) {
	if r.Host == "" {
		out.add(KindUnmatched, place, "host", "is empty; each request names a host")
	}
	if strings.Contains(r.Host, ":") {
		out.add(KindUnmatched, place, "host", "%q has a port, which is not compared", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		out.add(KindError, place, "prefix", "%q must begin and end with a slash", r.Prefix)
	}
}

// checkBackends checks the services of a route.
func checkBackends(out *findings, place string, r route.Route, services map[string]bool) {
	total := 0
	for _, b := range r.Backends {
		if !services[b.Service] {
			out.add(KindError, place, "backends", "service %q does not exist", b.Service)
		}
		if b.Weight <= 0 {
			out.add(KindUnmatched, place, "backends", "service %q has weight %d and gets no requests", b.Service, b.Weight)
			continue
		}
		total += b.Weight
	}
	if total == 0 {
		out.add(KindError, place, "backends", "no service has a weight above 0; each request is refused")
	}
}

// checkTimes checks a route's times, attempts and type against each other.
func checkTimes(out *findings, place string, r route.Route) {
	for _, field := range []struct {
		name  string
		value time.Duration
	}{{"timeout", r.Timeout}, {"latency target", r.LatencyTarget}, {"event gap", r.MaxEventGap}} {
		if field.value < 0 {
			out.add(KindError, place, field.name, "is %s, must not be negative", field.value)
		}
	}
	if r.Timeout > 0 && r.LatencyTarget > r.Timeout {
		out.add(KindContradiction, place, "latency target", "%s is above the timeout of %s", r.LatencyTarget, r.Timeout)
	}
	if r.Timeout > 0 && r.MaxEventGap > r.Timeout {
		out.add(KindContradiction, place, "event gap", "%s is above the timeout of %s", r.MaxEventGap, r.Timeout)
	}
	if attempts := r.AttemptsWithinTimeout(); attempts < r.MaxEndpoints {
		out.add(KindContradiction, place, "attempts", "only %d of %d fit the timeout of %s with a latency target of %s", attempts, r.MaxEndpoints, r.Timeout, r.LatencyTarget)
	}
	if r.Resumable && !r.Streams {
		out.add(KindContradiction, place, "resumable", "the route has no streams to resume")
	}
	if r.MaxEventGap > 0 && !r.Streams {
		out.add(KindContradiction, place, "event gap", "the route has no streams")
	}
}

// checkServices checks each service and finds those that no route uses.
func checkServices(out *findings, s route.DesiredState) {
	used := map[string]bool{}
	for _, r := range s.Routes {
		for _, b := range r.Backends {
			used[b.Service] = used[b.Service] || b.Weight > 0
		}
	}
	names := map[string]bool{}
	for _, service := range s.Services {
		place := servicePlace(service.Name)
		checkName(out, place, service.Name, names)
		if !used[service.Name] {
			out.add(KindUnmatched, place, "", "no route sends requests to it")
		}
		if service.MaxConnections > 0 && service.MaxConnections < service.Slots {
			out.add(KindContradiction, place, "connections", "%d are fewer than the %d slots of an endpoint", service.MaxConnections, service.Slots)
		}
		if (service.WarmUp > 0) != (service.WarmUpRate > 0) {
			out.add(KindContradiction, place, "warm-up", "has a time of %s and a rate of %g; one without the other has no effect", service.WarmUp, service.WarmUpRate)
		}
	}
}

// checkOrganisations checks each organisation, and that no API key belongs to two of them.
func checkOrganisations(out *findings, s route.DesiredState) {
	names, owners := map[string]bool{}, map[string]record.Team{}
	for _, org := range s.Organisations {
		place := organisationPlace(org.Name)
		checkName(out, place, string(org.Name), names)
		if len(org.Keys) == 0 {
			out.add(KindUnmatched, place, "keys", "there are none; no request belongs to it")
		}
		for i, key := range org.Keys {
			owner, taken := owners[key]
			switch {
			case strings.TrimSpace(key) == "":
				out.add(KindUnmatched, place, "keys", "key %d is empty and never matches", i+1)
			case taken && owner != org.Name:
				out.add(KindError, place, "keys", "key %d belongs to organisation %q as well", i+1, owner)
			case taken:
				out.add(KindUnmatched, place, "keys", "key %d is listed twice", i+1)
			}
			owners[key] = org.Name
		}
		if org.PrepaidTotal != nil && *org.PrepaidTotal < 0 {
			out.add(KindError, place, "prepaid total", "is %d, must not be negative", *org.PrepaidTotal)
		}
	}
}

// checkLimits checks what callers may send against what an instance can hold.
func checkLimits(out *findings, l route.Limits, instance Instance) {
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		out.add(KindError, limitsPlace, "", "a limit is negative: %+v", l)
	}
	if instance.MaxHeaderBytes > 0 && l.MaxHeaderBytes > instance.MaxHeaderBytes {
		out.add(KindContradiction, limitsPlace, "header bytes", "%d are more than the %d that an instance reads", l.MaxHeaderBytes, instance.MaxHeaderBytes)
	}
	if instance.MemoryBytes > 0 && l.MaxBodyBytes > instance.MemoryBytes {
		out.add(KindContradiction, limitsPlace, "body bytes", "%d are more than the memory of an instance, %d", l.MaxBodyBytes, instance.MemoryBytes)
	}
}
