package endpointload_test

import (
	"fmt"
	"slices"
	"testing"

	"guavapier/internal/endpointload"
)

// fleet returns 2 zones of n instances, of which two of each have fast links.
func fleet(n int) []endpointload.Instance {
	var list []endpointload.Instance
	for _, zone := range []string{"a", "b"} {
		for i := range n {
			instance := endpointload.Instance{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone, LinkMbps: 10}
			if i == 5 || i == 9 {
				instance.LinkMbps = 200
			}
			list = append(list, instance)
		}
	}
	return list
}

// All instances find the same collectors, whatever the order of their lists, and about half of a
// zone's instances call each.
func TestCollectorsAreTheInstancesWithTheFastestLinks(t *testing.T) {
	list := fleet(20)
	c := endpointload.NewCollectors(list)
	slices.Reverse(list)
	reversed := endpointload.NewCollectors(list)
	calls := map[string]int{}
	for _, i := range list {
		order := c.For(i.Zone, i.Name)
		if !slices.Equal(order, reversed.For(i.Zone, i.Name)) || len(order) != 4 {
			t.Errorf("%s calls %v or %v", i.Name, order, reversed.For(i.Zone, i.Name))
		}
		calls[order[0].Name]++
		if c.IsCollector(i.Zone, i.Name) && order[0].Name != i.Name {
			t.Errorf("the collector %s calls %s", i.Name, order[0].Name)
		}
	}
	for _, name := range []string{"a-5", "a-9", "b-5", "b-9"} {
		if calls[name] < 4 {
			t.Errorf("%d instances call %s first", calls[name], name)
		}
	}
	if len(calls) != 4 || len(c.All()) != 4 {
		t.Errorf("calls go to %v first, of the collectors %v", calls, c.All())
	}
}

func TestAnEndpointHasOneReader(t *testing.T) {
	c := endpointload.NewCollectors(fleet(20))
	if reader := c.Reader("e", "b"); reader != "b-5" && reader != "b-9" {
		t.Errorf("%s reads the reports of an endpoint of zone b", reader)
	}
	if reader := c.Reader("e", "without instances"); reader == "" {
		t.Error("an endpoint of a zone without instances has no reader")
	}
	if reader := endpointload.NewCollectors(nil).Reader("e", "b"); reader != "" {
		t.Errorf("%s reads in a fleet without instances", reader)
	}
}
