package server

import (
	"testing"

	"guavapier/internal/config"
	"guavapier/internal/decide"
)

func TestCapacityOfAnEndpoint(t *testing.T) {
	for _, c := range []struct {
		set    config.EndpointCapacity
		slots  int
		weight float64
	}{
		{config.EndpointCapacity{}, defaultSlots, defaultSlots},
		{config.EndpointCapacity{Slots: 4}, 4, 4},
		{config.EndpointCapacity{Slots: 4, Weight: 9}, 4, 9},
		{config.EndpointCapacity{Weight: 9}, defaultSlots, 9},
	} {
		row := setCapacity(decide.Endpoint{}, "small", c.set)
		if row.Slots != c.slots || row.Weight != c.weight || len(row.Models) != 1 {
			t.Errorf("capacity %+v gives row %+v", c.set, row)
		}
	}
}
