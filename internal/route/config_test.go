package route_test

import (
	"testing"

	"guavapier/internal/route"
)

// newTestConfig returns a Config with four routes on two hosts and two organisations, the
// first of which has a priority.
func newTestConfig() *route.Config {
	priority := 0
	return route.Compile(route.DesiredState{
		Version: 1,
		Routes: []route.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Priority: 2, Backends: []route.Backend{{Service: "s", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Backends: []route.Backend{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}, {Service: "u"}}},
			{Name: "x", Host: "a.example", Prefix: "/x/", Public: true},
			{Name: "other", Host: "B.example", Prefix: "/x/"},
		},
		Services:      []route.Service{{Name: "s", Slots: 4}},
		Organisations: []route.Organisation{{Name: "o", Keys: []string{"k1", "k2"}, Priority: &priority}, {Name: "p", Keys: []string{"k3"}}},
	})
}

func TestTheLongestPrefixOfTheHostMatches(t *testing.T) {
	c := newTestConfig()
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"}, {"A.EXAMPLE:8080", "/x/yz", "x"}, {"a.example", "/x", "all"},
		{"b.example", "/x/", "other"}, {"b.example", "/y/", ""}, {"c.example", "/x/", ""}, {"", "", ""},
	} {
		got := ""
		if r := c.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("host %q, path %q matches route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestServicesByWeight(t *testing.T) {
	deep := newTestConfig().Match("a.example", "/x/y/")
	for draw, want := range map[float64]string{0: "s", 0.89: "s", 0.91: "t", 0.999: "t"} {
		if got := deep.PickService(draw); got != want {
			t.Errorf("random number %g selects service %q, want %q", draw, got, want)
		}
	}
	if !deep.AllowsService("t") || deep.AllowsService("u") || deep.AllowsService("v") {
		t.Error("AllowsService allows a service without weight or refuses one with weight")
	}
	if got := (&route.Route{}).PickService(0.5); got != "" {
		t.Errorf("a route without services selects %q, want none", got)
	}
}

func TestKeysSelectOrganisationsWhosePriorityOverridesTheRoutes(t *testing.T) {
	c := newTestConfig()
	o, p := c.OrganisationByKey("k2"), c.OrganisationByKey("k3")
	if o.Name != "o" || p.Name != "p" || c.OrganisationByKey("") != nil || c.OrganisationByKey("k4") != nil {
		t.Error("a key is mapped to the wrong organisation, or an unknown key to any")
	}
	all, x := c.Match("a.example", "/"), c.Match("a.example", "/x/")
	if !c.NeedsKey(all) || c.NeedsKey(x) || route.Compile(route.DesiredState{}).NeedsKey(all) {
		t.Error("NeedsKey is wrong for a private route, a public route or a state without organisations")
	}
	if route.EffectivePriority(all, o) != 0 || route.EffectivePriority(all, p) != 2 || route.EffectivePriority(all, nil) != 2 {
		t.Error("the organisation's priority does not override the route's, or the route's does not apply without one")
	}
}
