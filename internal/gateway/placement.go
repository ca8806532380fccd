package gateway

import (
	"guavapier/internal/placement"
	"guavapier/internal/settings"
)

// byTime returns for which services requests are placed by the load of all instances.
func byTime(s settings.Placement) placement.ByTime {
	switch s.ByTime {
	case settings.PlaceByTimeAlways:
		return placement.ByTimeAlways
	case settings.PlaceByTimeUnequal:
		return placement.ByTimeUnequal
	default:
		return placement.ByTimeNever
	}
}
